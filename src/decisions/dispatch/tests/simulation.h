#ifndef CITRONFERRY_DECISIONS_DISPATCH_TESTS_SIMULATION_H_
#define CITRONFERRY_DECISIONS_DISPATCH_TESTS_SIMULATION_H_

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "decisions/dispatch/dispatcher.h"

namespace citronferry::dispatch {

/// Runs a dispatcher against backend servers in virtual time.
class Simulation {
 public:
  /// Behaviour of a backend server for one attempt.
  struct Result {
    Duration run_time{};
    AttemptOutcome outcome = AttemptOutcome::kAnswered;
  };
  /// What happened to a request.
  struct Trace {
    QueueName queue;
    TeamName team;
    TimePoint arrived{};
    std::vector<InstanceId> attempts;
    TimePoint started{};  ///< Start of the first attempt.
    std::vector<EndRequest> ends;
  };

  void Feed(const Event& event) {
    for (const Action& action : dispatcher.Handle(event, now)) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        Trace& trace = traces[start->number];
        if (trace.attempts.empty()) trace.started = now;
        trace.attempts.push_back(start->executor);
        const Result result = backend(trace, start->executor);
        m_ends.emplace(now + result.run_time, AttemptEnded{start->number, result.outcome});
      } else {
        const auto& end = std::get<EndRequest>(action);
        traces[end.number].ends.push_back(end);
      }
    }
  }

  RequestNumber Arrive(std::string_view queue, std::string_view team, Duration time_left = 60s) {
    const RequestNumber number = traces.size() + 1;
    traces[number] = {.queue = QueueName(queue), .team = TeamName(team), .arrived = now};
    Feed(RequestArrived{{.number = number,
                         .queue = QueueName(queue),
                         .team = TeamName(team),
                         .deadline = now + time_left}});
    return number;
  }

  /// Advances the virtual time: ends attempts that are due and sends a Tick every 100 ms.
  void Advance(Duration duration) {
    const TimePoint end = now + duration;
    while (now < end) {
      const TimePoint tick = std::min(end, now + 100ms);
      while (!m_ends.empty() && m_ends.begin()->first <= tick) {
        const auto node = m_ends.extract(m_ends.begin());
        now = node.key();
        Feed(node.mapped());
      }
      now = tick;
      Feed(Tick{});
    }
  }

  void SetExecutors(int count, int slots) {
    ExecutorsChanged changed;
    for (int i = 1; i <= count; ++i) {
      changed.executors.push_back(
          {.id = InstanceId("i" + std::to_string(i)), .pool = PoolName("p"), .slots = slots});
    }
    Feed(changed);
  }

  Dispatcher dispatcher;
  TimePoint now{100s};
  std::map<RequestNumber, Trace> traces;
  std::function<Result(const Trace&, const InstanceId&)> backend;

 private:
  std::multimap<TimePoint, AttemptEnded> m_ends;
};

}  // namespace citronferry::dispatch

#endif  // CITRONFERRY_DECISIONS_DISPATCH_TESTS_SIMULATION_H_
