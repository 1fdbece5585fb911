#ifndef CITRONFERRY_NODE_PLANNER_OWNERSHIP_CODEC_H_
#define CITRONFERRY_NODE_PLANNER_OWNERSHIP_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "decisions/ownership/types.h"

namespace citronferry::node {

/// Table of the ownership rows, one for each instance.
inline constexpr char kInstancesTable[] = "instances";

/// @return the JSON text of an ownership row.
std::string EncodeInstanceRow(const ownership::InstanceRow& row);
/// @return the content of an ownership row, or nothing if the text is not valid.
std::optional<ownership::InstanceRow> DecodeInstanceRow(std::string_view text);

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_PLANNER_OWNERSHIP_CODEC_H_
