#ifndef CITRONFERRY_NODE_PLANNER_INTERNAL_ROW_CODEC_H_
#define CITRONFERRY_NODE_PLANNER_INTERNAL_ROW_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "decisions/leadership/lease.h"
#include "decisions/maintenance/types.h"
#include "decisions/ownership/types.h"
#include "provider/table_service.h"

namespace citronferry::node {

/// @return the JSON text of the lease row.
std::string EncodeLeaseRow(const leadership::LeaseRow& row);
/// @return the lease; a lease without holder if the text is not valid.
leadership::LeaseRow DecodeLeaseRow(std::string_view text);

/// @return the JSON text of a pool row.
std::string EncodePoolRow(const maintenance::PoolRow& row);
/// @return the content of a pool row, or nothing if the text is not a JSON object.
std::optional<maintenance::PoolRow> DecodePoolRow(std::string_view text);

/// Extracts from a roster row which ownership changes the entry has acknowledged and which requests
/// it still has in flight. An invalid row acknowledges nothing.
ownership::EntryReport DecodeEntryReport(const provider::Row& row);

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_PLANNER_INTERNAL_ROW_CODEC_H_
