#include "peering/keys.h"

#include <zmq.h>

#include <array>
#include <fstream>

namespace citronferry::peering {
namespace {

constexpr size_t kKeyBytes = 32;
constexpr size_t kKeyCharacters = 40;
using KeyText = std::array<char, kKeyCharacters + 1>;

bool IsKey(const std::string& text) {
  std::array<uint8_t, kKeyBytes> bytes{};
  return text.size() == kKeyCharacters && zmq_z85_decode(bytes.data(), text.c_str()) != nullptr;
}

}  // namespace

PeerKeys GenerateKeys() {
  KeyText public_key{};
  KeyText secret_key{};
  zmq_curve_keypair(public_key.data(), secret_key.data());
  return {.public_key = public_key.data(), .secret_key = secret_key.data()};
}

RetVal<PeerKeys> LoadKeyFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) return Ret(ErrorCode::kNotFound, path + ": cannot be read");
  PeerKeys keys;
  int number = 0;
  for (std::string line; std::getline(file, line);) {
    ++number;
    if (line.empty() || line.front() == '#') continue;
    if (!IsKey(line)) {
      return Ret(ErrorCode::kInvalidArgument,
                 path + ":" + std::to_string(number) + ": not a CURVE key in Z85");
    }
    if (keys.secret_key.empty()) {
      keys.secret_key = line;
    } else {
      keys.trusted_keys.push_back(line);
    }
  }
  KeyText public_key{};
  if (keys.secret_key.empty() ||
      zmq_curve_public(public_key.data(), keys.secret_key.c_str()) != 0) {
    return Ret(ErrorCode::kInvalidArgument, path + ": has no secret key");
  }
  keys.public_key = public_key.data();
  return keys;
}

}  // namespace citronferry::peering
