#ifndef CITRONFERRY_REPLAY_INTERNAL_DISPATCH_SIMULATOR_H_
#define CITRONFERRY_REPLAY_INTERNAL_DISPATCH_SIMULATOR_H_

#include <map>
#include <string>

#include "decisions/dispatch/dispatcher.h"
#include "replay/internal/dispatch_record.h"
#include "replay/trace.h"

namespace citronferry::replay {

/// Discrete-event simulation that runs the dispatcher on a trace. The trace determines the
/// responses of the executors: each request has its actual run time, and executor faults are
/// events.
class DispatchSimulator {
 public:
  /// Simulates all events of a trace.
  /// @return why an event is invalid, or an empty string.
  std::string Run(const Trace& trace);
  const DispatchRecord& record() const { return m_record; }

 private:
  /// Behaviour of an executor until its next fault event.
  struct ExecutorBehaviour {
    dispatch::AttemptOutcome outcome = dispatch::AttemptOutcome::kAnswered;
    double slowdown = 1.0;
    bool runs = true;  ///< Whether requests are executed, regardless of the outcome.
  };
  struct PendingCompletion {
    dispatch::RequestNumber number = 0;
    dispatch::AttemptOutcome outcome = dispatch::AttemptOutcome::kAnswered;
    InstanceId executor;
  };
  using EventHandler = void (DispatchSimulator::*)(const TraceLine&);

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

  void SubmitRequest(const TraceLine& line, dispatch::RequestNumber number, TimePoint at);
  void Cancel(dispatch::RequestNumber number, TimePoint at);
  void ScheduleArrival(TimePoint at, const TraceLine& line, dispatch::RequestNumber number);
  void AdvanceTo(TimePoint at);
  void ProcessEvent(const dispatch::Event& event, TimePoint at);
  void SimulateAttempt(const dispatch::StartAttempt& start, TimePoint at);
  void RecordVerdict(const dispatch::EndRequest& end, TimePoint at);
  void ProcessExecutorChange(TimePoint at);

  dispatch::Dispatcher m_dispatcher;
  dispatch::Policy m_policy;
  std::map<InstanceId, dispatch::ExecutorState> m_executors;
  std::map<InstanceId, ExecutorBehaviour> m_behaviours;
  std::map<InstanceId, int> m_slots_in_use;
  std::map<dispatch::RequestNumber, Duration> m_run_times;
  std::multimap<TimePoint, PendingCompletion> m_pending_completions;
  struct PendingArrival {
    TraceLine line;
    dispatch::RequestNumber number;
  };
  std::multimap<TimePoint, PendingArrival> m_pending_arrivals;
  TimePoint m_next_tick{};
  DispatchRecord m_record;
};

}  // namespace citronferry::replay

#endif  // CITRONFERRY_REPLAY_INTERNAL_DISPATCH_SIMULATOR_H_
