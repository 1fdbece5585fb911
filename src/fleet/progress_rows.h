#ifndef CITRONFERRY_FLEET_PROGRESS_ROWS_H_
#define CITRONFERRY_FLEET_PROGRESS_ROWS_H_

#include <qcoro/qcorotask.h>

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/ret.h"
#include "decisions/scheduling/types.h"
#include "fleet/interfaces/row_store.h"

namespace citronferry::fleet {

// Rows with the progress of a pool's jobs: one in the table `progress` for each job. What does not
// fit into it is in further rows of the table `progress-parts`, written in the same transaction.
// The first row alone tells the state of the job.

inline constexpr const char* kProgressPartsTable = "progress-parts";
/// Limit of a job's rows, so that a transaction has space for them.
inline constexpr size_t kMaxProgressRows = 9;

/// @param part number of the further row, from 1.
RowKey ProgressPartKey(const PoolName& pool, const JobId& job, size_t part);

/// Encoded progress of a job.
struct ProgressRows {
  std::vector<std::string> values;  ///< Of the first row and of the further ones.
  size_t omitted = 0;  ///< Failed runs and checkpoints for which the rows have no space.
};

/// Encodes progress in as many rows as are needed, up to kMaxProgressRows. Done tasks go first,
/// then failed runs, then checkpoints, without which only work is repeated.
ProgressRows EncodeProgressRows(const scheduling::JobProgress& progress);

/// Progress of all jobs of a pool.
struct StoredProgress {
  std::map<JobId, scheduling::JobProgress> jobs;
  std::set<JobId> unreadable;            ///< Jobs with a row that is damaged or missing.
  std::map<JobId, size_t> further_rows;  ///< Their number, of jobs that have some.
};

/// Reads the progress of all jobs of a pool. The owner of the pool must not change meanwhile.
QCoro::Task<RetVal<StoredProgress>> ReadProgress(RowStore& rows, PoolName pool);

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_PROGRESS_ROWS_H_
