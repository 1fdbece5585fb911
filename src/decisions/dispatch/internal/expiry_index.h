#ifndef CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_EXPIRY_INDEX_H_
#define CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_EXPIRY_INDEX_H_

#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "decisions/dispatch/types.h"

namespace citronferry::dispatch {

/// Waiting requests ordered by expiry time, for each queue and over all queues.
class ExpiryIndex {
 public:
  void Add(uint32_t queue, TimePoint expires, RequestNumber number);
  void Remove(uint32_t queue, TimePoint expires, RequestNumber number);
  /// @return the request that expired first, or nothing if none has expired.
  std::optional<RequestNumber> FindExpired(TimePoint now) const;
  /// @return the request of a queue that expires first, or nothing if the queue is empty.
  std::optional<RequestNumber> First(uint32_t queue) const;

 private:
  using Entries = std::set<std::pair<TimePoint, RequestNumber>>;

  std::vector<Entries> m_queues;
  std::set<std::pair<TimePoint, uint32_t>> m_heads;  ///< Earliest expiry of each queue.
};

}  // namespace citronferry::dispatch

#endif  // CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_EXPIRY_INDEX_H_
