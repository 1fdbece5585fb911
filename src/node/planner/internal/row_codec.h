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

std::string EncodeLeaseRow(const leadership::LeaseRow& row);
/// @return the lease; text that is not one yields a lease without holder.
leadership::LeaseRow DecodeLeaseRow(std::string_view text);

std::string EncodePoolRow(const maintenance::PoolRow& row);
/// @return the content of a pool's row, or nothing if the text is not one.
std::optional<maintenance::PoolRow> DecodePoolRow(std::string_view text);

/// Reads what an entry's row says about ownership. An unreadable row acknowledges nothing.
ownership::EntryReport DecodeEntryReport(const provider::Row& row);

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_PLANNER_INTERNAL_ROW_CODEC_H_
