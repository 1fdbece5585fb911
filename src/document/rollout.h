#ifndef CITRONFERRY_DOCUMENT_ROLLOUT_H_
#define CITRONFERRY_DOCUMENT_ROLLOUT_H_

#include <optional>
#include <vector>

#include "document/document.h"

namespace citronferry::document {

/// @return how many instances of a pool a wave may take out at once when none is down: the smallest
///   max_unavailable - reserve of the services on the pool, 1 when no service uses it.
int AllowedOut(const Document& document, const PoolName& pool);

/// Lower bound on the time that a wave takes in one pool.
struct PoolRollout {
  PoolName pool;
  int instances = 0;
  int allowed = 0;     ///< Instances that are out at once.
  Duration work{};     ///< ceil(instances / allowed) times the maintenance time.
  Duration elapsed{};  ///< Work plus the waits between daily windows.
};

/// @return the bound for each declared pool of a wave; a pool that can not proceed is left out.
///   Pools proceed in parallel, so the wave takes at least the longest elapsed time.
std::vector<PoolRollout> EstimateWave(const Document& document, const Wave& wave);

/// @return the length of the daily window of a wave.
Duration DailyWindow(const Wave& wave);

}  // namespace citronferry::document

#endif  // CITRONFERRY_DOCUMENT_ROLLOUT_H_
