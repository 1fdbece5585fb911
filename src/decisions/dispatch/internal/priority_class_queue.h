#ifndef CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_PRIORITY_CLASS_QUEUE_H_
#define CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_PRIORITY_CLASS_QUEUE_H_

#include <vector>

#include "decisions/dispatch/internal/fair_share.h"
#include "decisions/dispatch/internal/request_record.h"

namespace citronferry::dispatch {

/// Waiting requests of one priority class in one pool: first in, first out within a team, and
/// weighted fair queueing by slot time between teams.
class PriorityClassQueue {
 public:
  bool empty() const { return m_size == 0; }
  size_t size() const { return m_size; }

  void SetWeight(uint32_t team, double weight) { m_share.SetWeight(team, weight); }
  void Push(RequestRecord& record);
  void Remove(RequestRecord& record);
  /// @return whether a team that is not held has a waiting request.
  bool HasStartable() const { return m_share.HasActive(); }
  /// Excludes a team from scheduling until Resume. Its requests keep their order.
  void Hold(uint32_t team);
  void Resume(uint32_t team);
  /// @return the request to start next; requires HasStartable.
  RequestRecord& Front() const { return *m_teams[m_share.Next()].waiting.front(); }
  /// Charges the team of the front request for an attempt that starts now.
  /// @param cost expected slot time in seconds.
  void Charge(uint32_t team, double cost) { m_share.Charge(team, cost); }
  /// Corrects an earlier charge.
  /// @param difference actual less charged slot time in seconds.
  void Correct(uint32_t team, double difference) { m_share.Correct(team, difference); }

  /// @return optimistic estimate of the slot time in seconds of the waiting requests of teams that
  ///   are not held.
  double work() const { return m_work; }
  /// @return estimated slot time in seconds that is served before a new request of the team.
  double WorkAhead(uint32_t team) const;

 private:
  struct TeamQueue {
    RecordList waiting;
    double work = 0;  ///< Optimistic slot time in seconds of the waiting requests.
    bool held = false;
  };

  FairShare m_share;
  std::vector<TeamQueue> m_teams;
  size_t m_size = 0;
  double m_work = 0;  ///< See work().
};

}  // namespace citronferry::dispatch

#endif  // CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_PRIORITY_CLASS_QUEUE_H_
