#ifndef CITRONFERRY_PEERING_INTERNAL_CODEC_H_
#define CITRONFERRY_PEERING_INTERNAL_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "peering/messages.h"

namespace citronferry::peering {

/// Largest encoded message, in bytes: a document of the size that the platform's HTTP limits allow.
inline constexpr size_t kMaxMessageBytes = 1024 * 1024 + 4096;
/// Largest encoded message without a document or a relayed batch, in bytes.
inline constexpr size_t kMaxControlBytes = 16 * 1024;

/// @return the message as serialized protobuf.
std::string Encode(const Envelope& envelope);

/// @return the message, or nothing if it is malformed, oversized or out of range.
std::optional<Envelope> Decode(std::string_view bytes);

}  // namespace citronferry::peering

#endif  // CITRONFERRY_PEERING_INTERNAL_CODEC_H_
