#include "node/node_context.h"

#include <sodium.h>

#include <array>

namespace citronferry::node {
namespace {

template <size_t N>
std::string ToHex(const std::array<unsigned char, N>& bytes) {
  std::array<char, 2 * N + 1> text{};
  sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
  return text.data();
}

}  // namespace

std::map<InstanceId, PoolName> PoolsInService(const NodeContext& context) {
  std::map<InstanceId, PoolName> pools;
  const auto& document = context.configuration.Get().document;
  if (!document) return pools;
  const auto& rows = context.fleet.Get().ownership;
  for (const document::Pool& pool : document->pools) {
    for (const InstanceId& instance : pool.instances) {
      const auto row = rows.find(instance);
      if (row != rows.end() && row->second.serving) pools[instance] = row->second.pool;
    }
  }
  return pools;
}

std::string RandomToken() {
  std::array<unsigned char, 8> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  return ToHex(bytes);
}

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, crypto_hash_sha256_BYTES> digest{};
  crypto_hash_sha256(digest.data(), reinterpret_cast<const unsigned char*>(text.data()),
                     text.size());
  return ToHex(digest);
}

}  // namespace citronferry::node
