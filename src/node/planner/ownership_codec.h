#ifndef CITRONFERRY_NODE_PLANNER_OWNERSHIP_CODEC_H_
#define CITRONFERRY_NODE_PLANNER_OWNERSHIP_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "decisions/ownership/types.h"

namespace citronferry::node {

inline constexpr char kInstancesTable[] = "instances";

/// @return the JSON text of an instance's row.
std::string EncodeInstanceRow(const ownership::InstanceRow& row);
/// @return the content of an instance's row, or nothing if the text is not one.
std::optional<ownership::InstanceRow> DecodeInstanceRow(std::string_view text);

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_PLANNER_OWNERSHIP_CODEC_H_
