#include "decisions/access/key_ring.h"

#include <sodium.h>

#include <cstring>

namespace citronferry::access {
namespace {

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

KeyRing::KeyRing() { randombytes_buf(m_hash_key.data(), m_hash_key.size()); }

size_t KeyRing::DigestHash::operator()(const Digest& digest) const noexcept {
  size_t hash = 0;
  std::memcpy(&hash, digest.data(), sizeof(hash));
  return hash;
}

KeyRing::Digest KeyRing::DigestOf(std::string_view key) const {
  Digest digest{};
  crypto_generichash(digest.data(), digest.size(), Bytes(key), key.size(), m_hash_key.data(),
                     m_hash_key.size());
  return digest;
}

void KeyRing::SetKeys(std::span<const TeamKeys> teams) {
  m_teams.clear();
  for (const TeamKeys& team : teams) {
    for (const std::string& key : team.keys) {
      if (!key.empty()) m_teams.emplace(DigestOf(key), team.team);
    }
  }
}

const TeamName* KeyRing::Find(std::string_view key) const {
  const auto found = m_teams.find(DigestOf(key));
  return found == m_teams.end() ? nullptr : &found->second;
}

std::string Fingerprint(std::string_view key) {
  std::array<unsigned char, crypto_hash_sha256_BYTES> digest{};
  crypto_hash_sha256(digest.data(), Bytes(key), key.size());
  constexpr size_t kBytes = 4;
  std::array<char, 2 * kBytes + 1> text{};
  sodium_bin2hex(text.data(), text.size(), digest.data(), kBytes);
  return text.data();
}

}  // namespace citronferry::access
