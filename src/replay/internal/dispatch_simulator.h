#ifndef CITRONFERRY_REPLAY_INTERNAL_DISPATCH_SIMULATOR_H_
#define CITRONFERRY_REPLAY_INTERNAL_DISPATCH_SIMULATOR_H_

#include <map>
#include <string>

#include "decisions/dispatch/dispatcher.h"
#include "replay/internal/dispatch_record.h"
#include "replay/trace.h"

namespace citronferry::replay {

/// Feeds a trace to the dispatcher. The answers of executors are part of the trace: each request
/// carries its real run time, and faults of executors are events.
class DispatchPlayer {
 public:
  /// @return why an event is not valid, or an empty string.
  std::string Play(const Trace& trace);
  const DispatchRecord& record() const { return m_record; }

 private:
  /// How an executor behaves from now on.
  struct Behaviour {
    dispatch::AttemptOutcome outcome = dispatch::AttemptOutcome::kAnswered;
    double slowdown = 1.0;
    bool runs = true;  ///< Whether the request has an effect, whatever its outcome.
  };
  struct PendingEnd {
    dispatch::RequestNumber number = 0;
    dispatch::AttemptOutcome outcome = dispatch::AttemptOutcome::kAnswered;
    InstanceId executor;
  };
  using EventHandler = void (DispatchPlayer::*)(const TraceLine&);

  static EventHandler FindHandler(std::string_view event);

  void OnPolicy(const TraceLine& line);
  void OnExecutors(const TraceLine& line);
  void OnRequest(const TraceLine& line);
  void OnRequests(const TraceLine& line);
  void OnCancel(const TraceLine& line);
  void OnCancelRange(const TraceLine& line);
  void OnExecutorFault(const TraceLine& line);
  void OnExecutorLeaving(const TraceLine& line);
  void OnExecutorGone(const TraceLine& line);
  void OnEnd(const TraceLine& line);

  void Arrive(const TraceLine& line, dispatch::RequestNumber number, TimePoint at);
  void Cancel(dispatch::RequestNumber number, TimePoint at);
  void ScheduleArrival(TimePoint at, const TraceLine& line, dispatch::RequestNumber number);
  void AdvanceTo(TimePoint at);
  void Feed(const dispatch::Event& event, TimePoint at);
  void Start(const dispatch::StartAttempt& start, TimePoint at);
  void End(const dispatch::EndRequest& end, TimePoint at);
  void FeedExecutors(TimePoint at);

  dispatch::Dispatcher m_dispatcher;
  dispatch::Policy m_policy;
  std::map<InstanceId, dispatch::ExecutorState> m_executors;
  std::map<InstanceId, Behaviour> m_behaviours;
  std::map<InstanceId, int> m_in_use;
  std::map<dispatch::RequestNumber, Duration> m_run_times;
  std::multimap<TimePoint, PendingEnd> m_pending;
  struct PendingArrival {
    TraceLine line;
    dispatch::RequestNumber number;
  };
  std::multimap<TimePoint, PendingArrival> m_arrivals;
  TimePoint m_next_tick{};
  DispatchRecord m_record;
};

}  // namespace citronferry::replay

#endif  // CITRONFERRY_REPLAY_INTERNAL_DISPATCH_SIMULATOR_H_
