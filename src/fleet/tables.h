#ifndef CITRONFERRY_FLEET_TABLES_H_
#define CITRONFERRY_FLEET_TABLES_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ret.h"
#include "decisions/scheduling/move_planner.h"
#include "decisions/scheduling/pool_scheduler.h"
#include "decisions/scheduling/types.h"
#include "fleet/change_feed.h"
#include "fleet/interfaces/row_store.h"

namespace citronferry::fleet {

// Rows that a pool's owner writes are in the partition of the pool's name, so that one transaction
// can hold all of them. Jobs are in other partitions: a partition takes 200 transactions a second,
// and the submissions of a surge must not keep the owner from renewing its ownership.

RowKey OwnerKey(const PoolName& pool);
RowKey LinkKey(const PoolName& pool, const scheduling::ExecutorId& executor);
RowKey JobKey(const PoolName& pool, const JobId& job);
RowKey CancelKey(const PoolName& pool, const JobId& job);
RowKey ProgressKey(const PoolName& pool, const JobId& job);
RowKey QueueKey(const PoolName& pool, const QueueName& queue);
RowKey MaintenanceWaveKey(int64_t wave);
RowKey DemandKey(const PoolName& pool);

inline constexpr const char* kOwnersTable = "owners";
inline constexpr const char* kLinksTable = "links";
inline constexpr const char* kProgressTable = "progress";
inline constexpr const char* kQueuesTable = "queues";
inline constexpr const char* kDemandTable = "demand";  ///< Also the name of its one partition.
/// @return the table of a pool's definitions and cancellations. Each pool has its own, since a feed
///   covers a whole table.
std::string JobsTable(const PoolName& pool);
/// @return the partitions over which a pool's jobs are spread by their ids.
std::vector<std::string> JobPartitions(const PoolName& pool);
/// @return the job that a cancellation's key names, or nothing if the key is that of a definition.
std::optional<JobId> CancelledJob(std::string_view key);

/// Reads partitions of a table in the form in which a feed returns it.
/// @return an error if there is no partition, since there is no version to continue from.
QCoro::Task<RetVal<RowChanges>> ReadTable(RowStore& rows, std::string table,
                                          std::vector<std::string> partitions);
/// Makes the feed of a table.
/// @param partitions those that are read as a whole; changes of any partition are followed.
/// @param wait longest time to wait for a change.
ChangeFeed<RowChanges> MakeTableFeed(RowStore& rows, std::string table,
                                     std::vector<std::string> partitions, Duration wait);

/// Content of a row of `owners`.
struct OwnerRecord {
  std::string holder;  ///< Empty when the pool was given up.
  std::string incarnation;
  int64_t commit = 0;  ///< Rises with each commit of the owner.
};

std::string EncodeOwner(const OwnerRecord& record);
RetVal<OwnerRecord> DecodeOwner(std::string_view text);
std::string EncodeJob(const scheduling::JobDefinition& job);
RetVal<scheduling::JobDefinition> DecodeJob(const JobId& id, std::string_view text);
std::string EncodeProgress(const scheduling::JobProgress& progress);
RetVal<scheduling::JobProgress> DecodeProgress(std::string_view text);
std::string EncodeLink(const scheduling::LinkRecord& link);
RetVal<scheduling::LinkRecord> DecodeLink(const scheduling::ExecutorId& id, std::string_view text);
std::string EncodeQueue(const scheduling::QueueSummary& queue);
RetVal<scheduling::QueueSummary> DecodeQueue(const QueueName& name, std::string_view text);
std::string EncodeDemand(const scheduling::PoolDemand& demand);
RetVal<scheduling::PoolDemand> DecodeDemand(const PoolName& pool, std::string_view text);

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_TABLES_H_
