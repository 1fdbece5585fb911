#ifndef CITRONFERRY_PEERING_KEYS_H_
#define CITRONFERRY_PEERING_KEYS_H_

#include <string>
#include <vector>

#include "base/ret.h"

namespace citronferry::peering {

/// CURVE keys of an entry, each in Z85 encoding.
struct PeerKeys {
  std::string public_key;
  std::string secret_key;
  /// Public keys of peers that are accepted in addition to those of the roster, also before the
  /// roster can be read.
  std::vector<std::string> trusted_keys;
};

/// @return a new random key pair.
PeerKeys GenerateKeys();

/// Reads a key file: the secret key on the first line, then any number of public keys of peers.
/// Empty lines and lines that start with '#' are skipped.
/// @return kNotFound when the file cannot be read; kInvalidArgument when it is not valid, with a
///   message that does not contain its content.
RetVal<PeerKeys> LoadKeyFile(const std::string& path);

}  // namespace citronferry::peering

#endif  // CITRONFERRY_PEERING_KEYS_H_
