#ifndef CITRONFERRY_NODE_MEMBERSHIP_INTERNAL_ROSTER_ROW_H_
#define CITRONFERRY_NODE_MEMBERSHIP_INTERNAL_ROSTER_ROW_H_

#include <string>
#include <string_view>

#include "node/node_context.h"

namespace citronferry::node {

/// @return the JSON text of the roster row of an entry.
std::string EncodeRosterRow(const RosterEntry& entry);

/// @param key key of the row: the id of the entry.
/// @param value JSON text of the row.
/// @return the entry; missing or malformed fields keep their defaults.
RosterEntry DecodeRosterRow(std::string_view key, std::string_view value);

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_MEMBERSHIP_INTERNAL_ROSTER_ROW_H_
