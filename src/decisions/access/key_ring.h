#ifndef CITRONFERRY_DECISIONS_ACCESS_KEY_RING_H_
#define CITRONFERRY_DECISIONS_ACCESS_KEY_RING_H_

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/ids.h"

namespace citronferry::access {

/// API keys of a team.
struct TeamKeys {
  TeamName team;
  std::span<const std::string> keys;
};

/// Looks up API keys by a keyed hash with a random key, so that the time of a lookup tells nothing
/// about the keys.
class KeyRing {
 public:
  KeyRing();

  /// Replaces all API keys. A key that several teams have belongs to the first of them.
  void SetKeys(std::span<const TeamKeys> teams);
  /// @return the team that has the key, or nullptr.
  const TeamName* Find(std::string_view key) const;

 private:
  using Digest = std::array<uint8_t, 16>;
  struct DigestHash {
    size_t operator()(const Digest& digest) const noexcept;
  };

  Digest DigestOf(std::string_view key) const;

  std::array<uint8_t, 32> m_hash_key{};
  std::unordered_map<Digest, TeamName, DigestHash> m_teams;
};

/// @return the first eight hexadecimal digits of the SHA-256 of an API key, by which log lines name
///   it.
std::string Fingerprint(std::string_view key);

}  // namespace citronferry::access

#endif  // CITRONFERRY_DECISIONS_ACCESS_KEY_RING_H_
