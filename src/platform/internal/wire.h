#ifndef CITRONFERRY_PLATFORM_INTERNAL_WIRE_H_
#define CITRONFERRY_PLATFORM_INTERNAL_WIRE_H_

#include <array>
#include <optional>
#include <string_view>
#include <utility>

#include "base/ids.h"
#include "http/message.h"
#include "json/reader.h"

namespace citronferry::platform {

/// A value and its word on the wire.
template <typename Value>
using Word = std::pair<std::string_view, Value>;

/// @return the value of a word, or nothing if it is unknown.
template <typename Value, size_t kSize>
std::optional<Value> FindWord(const std::array<Word<Value>, kSize>& words, std::string_view word) {
  for (const auto& [name, value] : words) {
    if (name == word) return value;
  }
  return std::nullopt;
}

inline std::string_view BodyText(const http::Response& response) {
  return {response.body.constData(), static_cast<size_t>(response.body.size())};
}

/// @return the rack of an executor or instance: the last of its labels, after its kind.
inline RackName RackOf(const boost::json::array* labels) {
  if (!labels || labels->empty()) return {};
  return RackName(json::AsText(labels->back()));
}

}  // namespace citronferry::platform

#endif  // CITRONFERRY_PLATFORM_INTERNAL_WIRE_H_
