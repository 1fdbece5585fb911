#ifndef CITRONFERRY_DOCUMENT_ROLLOUT_H_
#define CITRONFERRY_DOCUMENT_ROLLOUT_H_

#include <optional>
#include <vector>

#include "document/document.h"

namespace citronferry::document {

/// Computes how many instances of a pool a maintenance wave may take out of service at a time while
/// no instance is down: the smallest max_unavailable - reserve of the services on the pool.
/// @return the number of instances, at least 0; 1 if no service uses the pool.
int AllowedDisruptions(const Document& document, const PoolName& pool);

/// Estimate of a maintenance wave in one pool; the durations are lower bounds.
struct PoolRollout {
  PoolName pool;
  int instances = 0;
  int max_concurrent = 0;  ///< Instances that are out of service at a time.
  Duration
      maintenance_duration{};  ///< ceil(instances / max_concurrent) times the maintenance time.
  Duration total_duration{};   ///< maintenance_duration plus the waits between daily windows.
};

/// Estimates how long a wave takes in each of its pools. Pools proceed in parallel, so the wave
/// takes at least the longest total_duration.
/// @return the estimates. Undeclared and empty pools are left out, and so are pools in which no
///   instance may be taken out of service.
std::vector<PoolRollout> EstimateWave(const Document& document, const Wave& wave);

/// @return the length of the daily window of a wave. The window may extend past midnight.
Duration DailyWindowLength(const Wave& wave);

}  // namespace citronferry::document

#endif  // CITRONFERRY_DOCUMENT_ROLLOUT_H_
