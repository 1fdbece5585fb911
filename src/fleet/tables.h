#ifndef CITRONFERRY_FLEET_TABLES_H_
#define CITRONFERRY_FLEET_TABLES_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/ret.h"
#include "decisions/quotas/types.h"
#include "decisions/scheduling/move_planner.h"
#include "decisions/scheduling/pool_scheduler.h"
#include "decisions/scheduling/types.h"
#include "fleet/change_feed.h"
#include "fleet/fleet_context.h"
#include "fleet/interfaces/row_store.h"

namespace citronferry::fleet {

// Keys and encodings of the rows in the store.
//
// A pool's owner writes its rows to the partition named after the pool, so that one transaction can
// contain all of them. Jobs are in other partitions: a partition takes 200 transactions a second,
// and the submissions of a surge must not delay the transactions that renew the ownership. These
// partitions are the same for all pools, so that the transaction of a submission can make sure that
// no pool has the job.

RowKey OwnerKey(const PoolName& pool);
RowKey LinkKey(const PoolName& pool, const scheduling::ExecutorId& executor);
RowKey JobKey(const PoolName& pool, const JobId& job);
/// @return the key of the row with the name of the pool that has accepted a job. It is written and
///   removed together with the definition of the job.
RowKey JobPoolKey(const JobId& job);
RowKey CancelKey(const PoolName& pool, const JobId& job);
RowKey ProgressKey(const PoolName& pool, const JobId& job);
RowKey QueueKey(const PoolName& pool, const QueueName& queue);
/// @return the key of the row that announces the release of a pool. It has the value of the owner
///   row and is written with it.
RowKey ReleaseKey(const PoolName& pool);
/// @param part number of the row, from 0.
RowKey HandoverKey(const PoolName& pool, int part);
RowKey MaintenanceWaveKey(int64_t wave);
RowKey DemandKey(const PoolName& pool);
RowKey EntryKey(const EntryId& entry);
RowKey GrantsKey(const PoolName& pool);
/// @return the key of the row that is rewritten with the first row of each pool.
RowKey GrantMembersKey();
/// @param key of a row in the table `quotas`.
/// @return the pool whose grants the row holds, or nothing.
std::optional<PoolName> GrantsPool(std::string_view key);

inline constexpr const char* kOwnersTable = "owners";
inline constexpr const char* kLinksTable = "links";
inline constexpr const char* kProgressTable = "progress";
inline constexpr const char* kQueuesTable = "queues";
inline constexpr const char* kJobPoolsTable = "job-pools";
inline constexpr const char* kReleasesTable = "releases";
inline constexpr const char* kHandoversTable = "handovers";
inline constexpr const char* kDemandTable = "demand";    ///< Its only partition has the same name.
inline constexpr const char* kEntriesTable = "entries";  ///< Its only partition has the same name.
inline constexpr const char* kQuotasTable = "quotas";    ///< Its only partition has the same name.
/// @return the table of a pool's job definitions and cancellations. Each pool has its own table,
///   since a feed covers a whole table.
std::string JobsTable(const PoolName& pool);
/// @return the partitions over which the jobs of all pools are distributed by a hash of their ids.
std::vector<std::string> JobPartitions();
/// @param key of a row in a jobs table.
/// @return the cancelled job, or nothing if the key is that of a job definition.
std::optional<JobId> CancelledJob(std::string_view key);

/// Reads a snapshot of some partitions of a table.
/// @return the rows as changes, or an error if no partition is given, since no read then returns a
///   version to continue from.
QCoro::Task<RetVal<RowChanges>> ReadTable(RowStore& rows, std::string table,
                                          std::vector<std::string> partitions);
/// Creates the feed of a table.
/// @param partitions read in snapshots; changes are followed in all partitions.
/// @param wait longest time to wait for a change.
ChangeFeed<RowChanges> MakeTableFeed(RowStore& rows, std::string table,
                                     std::vector<std::string> partitions, Duration wait);

/// Value of a row in the table `owners`.
struct OwnerRecord {
  std::string holder;       ///< Name of the owning entry; empty after the ownership was released.
  std::string incarnation;  ///< Process of the owning entry.
  int64_t commit = 0;       ///< Number of the owner's last commit, counted from its takeover.
  std::string relay_key;    ///< Public key of the owning entry in Z85; may be empty.
  std::string address;      ///< Where the owning process listens for calls to relay; may be empty.
  bool loading = false;     ///< The owner has not read the state of the pool yet.
  EntryId successor;        ///< After a release: the entry that bids first; empty for any.
  /// Instances with an order that may still be carried out. Nothing if that is not known: the row
  /// was written by a build that does not have this field, or its owner replaced such a row.
  std::optional<std::vector<InstanceId>> ordered_instances;
  /// The store's clock at a time up to which the numbers of pending jobs count all accepted jobs.
  /// Nothing if that is not known, as in rows of earlier builds.
  std::optional<int64_t> jobs_clock_ms;
};

/// Maintenance of an instance that the platform has accepted, and from which the instance was not
/// back yet when the owner released the pool.
struct OrderedMaintenance {
  int64_t wave = 0;
  InstanceId instance;
  scheduling::ExecutorId executor;  ///< That was on the instance; empty if it was off.

  friend bool operator==(const OrderedMaintenance&, const OrderedMaintenance&) = default;
};

/// What an owner that releases its pool leaves to its successor.
struct HandoverRecord {
  scheduling::PoolHandover pool;
  std::vector<OrderedMaintenance> maintenance;
};

/// Encodes a handover as the values of one or more rows, each within the size that the store takes.
/// @return nothing if there would be more than kMaxHandoverRows.
std::vector<std::string> EncodeHandover(const HandoverRecord& record);
/// @param rows of the table `handovers`, in any order.
/// @param version of the transaction that wrote the handover; other rows are of earlier releases.
/// @return kNotFound if a row is missing.
RetVal<HandoverRecord> DecodeHandover(std::span<const Row> rows, int64_t version);
/// Largest number of rows of a handover; larger pools are taken over as after the loss of an owner.
inline constexpr size_t kMaxHandoverRows = 6;

std::string EncodeOwner(const OwnerRecord& record);
RetVal<OwnerRecord> DecodeOwner(std::string_view text);
std::string EncodeEntry(const EntryRecord& entry);
RetVal<EntryRecord> DecodeEntry(const EntryId& entry, std::string_view text);
std::string EncodeJob(const scheduling::JobDefinition& job);
RetVal<scheduling::JobDefinition> DecodeJob(const JobId& id, std::string_view text);
/// @param further_rows number of rows with the rest of the progress; see progress_rows.h.
std::string EncodeProgress(const scheduling::JobProgress& progress, size_t further_rows = 0);
/// @param further_rows set to the number of rows with the rest of the progress; optional.
RetVal<scheduling::JobProgress> DecodeProgress(std::string_view text,
                                               size_t* further_rows = nullptr);
std::string EncodeLink(const scheduling::LinkRecord& link);
RetVal<scheduling::LinkRecord> DecodeLink(const scheduling::ExecutorId& id, std::string_view text);
std::string EncodeQueue(const scheduling::QueueSummary& queue);
RetVal<scheduling::QueueSummary> DecodeQueue(const QueueName& name, std::string_view text);
std::string EncodeDemand(const scheduling::PoolDemand& demand);
RetVal<scheduling::PoolDemand> DecodeDemand(const PoolName& pool, std::string_view text);
std::string EncodeGrants(const quotas::GrantRow& row);
RetVal<quotas::GrantRow> DecodeGrants(std::string_view text);

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_TABLES_H_
