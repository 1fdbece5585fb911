#ifndef CITRONFERRY_DECISIONS_SCHEDULING_PLAN_PACER_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_PLAN_PACER_H_

#include "base/time.h"

namespace citronferry::scheduling {

/// Spaces the plans of a pool, so that they leave the owner time for everything else that it does:
/// it reads jobs, their cancellations and reports, renews leases and commits. A plan visits every
/// open job, so with thousands of them it takes longer than the events that call for the next one.
class PlanPacer {
 public:
  /// Share of the owner's time that plans may take.
  static constexpr double kShare = 0.2;
  /// Longest interval between the beginnings of two plans. A plan in which the process was
  /// suspended does not delay the next one by more.
  static constexpr Duration kMaxInterval = 500ms;

  /// @param min_interval between the beginnings of two plans.
  explicit PlanPacer(Duration min_interval) : m_min_interval(min_interval) {}

  /// @return how long the next plan has to wait; zero or less if it may begin now.
  Duration TimeUntilNext(TimePoint now) const { return m_next_at - now; }
  /// Records a plan.
  void OnPlanned(TimePoint began, TimePoint ended);

 private:
  Duration m_min_interval;
  TimePoint m_next_at{};
};

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_PLAN_PACER_H_
