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

/// Table of the executors' registry.
inline constexpr std::string_view kRegistryTable = "servers";

/// A value and its name on the wire.
template <typename Value>
using WireName = std::pair<std::string_view, Value>;

/// @return the value with this name, or nothing if the name is unknown.
template <typename Value, size_t kSize>
std::optional<Value> FindByWireName(const std::array<WireName<Value>, kSize>& names,
                                    std::string_view wanted) {
  for (const auto& [name, value] : names) {
    if (name == wanted) return value;
  }
  return std::nullopt;
}

inline std::string_view BodyText(const http::Response& response) {
  return {response.body.constData(), static_cast<size_t>(response.body.size())};
}

/// @return the rack of an executor or instance, which is the last of its labels; the label before
/// it is the kind.
inline RackName RackFromLabels(const boost::json::array* labels) {
  if (!labels || labels->empty()) return {};
  return RackName(json::AsText(labels->back()));
}

}  // namespace citronferry::platform

#endif  // CITRONFERRY_PLATFORM_INTERNAL_WIRE_H_
