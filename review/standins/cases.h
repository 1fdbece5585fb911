#ifndef REVIEW_STANDINS_CASES_H_
#define REVIEW_STANDINS_CASES_H_

#include "cluster.h"

namespace review {

/// Result of a case, and exit code of its script.
enum class Verdict { kHeld = 0, kBroken = 1, kNotRun = 2 };

/// An executor is cut off for a second, and crashes and starts again behind the cut.
Verdict RunRestartBehindCut(Cluster& cluster, bool trouble);
/// The store goes down while it holds submissions that it has not answered yet.
Verdict RunStoreDown(Cluster& cluster, bool trouble);
/// The entry that owns the pool is killed while an occurrence of a scheduled job is at work.
Verdict RunScheduledJob(Cluster& cluster, bool trouble);
/// The only executor of a kind is lost for good, for which jobs of the first priority wait.
Verdict RunLostKind(Cluster& cluster, bool trouble);
/// Lasting jobs come that can never be done, since each needs a whole executor.
Verdict RunWholeExecutors(Cluster& cluster, bool trouble);

}  // namespace review

#endif  // REVIEW_STANDINS_CASES_H_
