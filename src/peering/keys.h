#ifndef CITRONFERRY_PEERING_KEYS_H_
#define CITRONFERRY_PEERING_KEYS_H_

#include <string>
#include <vector>

#include "base/ret.h"

namespace citronferry::peering {

/// CURVE keys of an entry, in Z85.
struct PeerKeys {
  std::string public_key;
  std::string secret_key;
  /// Keys of peers that are accepted before the roster could be read.
  std::vector<std::string> trusted;
};

/// @return new random keys.
PeerKeys GenerateKeys();

/// Reads a key file: the secret key on the first line, then any number of public keys of peers.
/// Empty lines and lines that start with '#' are skipped.
/// @return kInvalidArgument without the content of the file when it is not valid.
RetVal<PeerKeys> LoadKeyFile(const std::string& path);

}  // namespace citronferry::peering

#endif  // CITRONFERRY_PEERING_KEYS_H_
