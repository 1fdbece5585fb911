#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <set>

#include "decisions/dispatch/dispatcher.h"

namespace citronferry::dispatch {
namespace {

// Makes the generated cases and the result the same in every run.
class FixedSeed : public ::testing::Environment {
 public:
  void SetUp() override { setenv("RC_PARAMS", "seed=20261204 max_success=300", 1); }
};
const auto* const kFixedSeed = ::testing::AddGlobalTestEnvironment(new FixedSeed);

/// Feeds random events to a dispatcher and checks each action against a model of the open requests
/// and the slots in use.
class Model {
 public:
  Model() { ChangePolicy(0b1111, 0b111); }

  void Step() {
    using Operation = void (Model::*)();
    static constexpr std::array<Operation, 12> kOperations{
        &Model::Arrive,     &Model::Arrive,          &Model::Arrive,     &Model::Arrive,
        &Model::EndAttempt, &Model::EndAttempt,      &Model::EndAttempt, &Model::EndAttempt,
        &Model::Cancel,     &Model::ChangeExecutors, &Model::Wait,       &Model::ChangePolicy};
    (this->*kOperations[static_cast<size_t>(Pick(0, kOperations.size()))])();
  }

  /// Ends all attempts, lets all deadlines pass and checks that no request is left.
  void Finish() {
    while (!m_running.empty()) EndAttempt();
    m_now += 24h;
    Feed(Tick{});
    while (!m_running.empty()) EndAttempt();
    RC_ASSERT(m_open_requests.empty());
    RC_ASSERT(m_dispatcher.queued() == 0u);
    RC_ASSERT(m_dispatcher.running() == 0u);
  }

 private:
  struct OpenRequest {
    bool idempotent = false;
    bool may_have_run = false;
    bool cancelled = false;
  };
  static constexpr std::array<const char*, 4> kQueues{"urgent", "interactive", "batch", "watcher"};

  static int Pick(int from, size_t to) { return *rc::gen::inRange(from, static_cast<int>(to)); }

  void ChangePolicy() { ChangePolicy(Pick(1, 16), Pick(1, 8)); }
  void ChangePolicy(int queues, int teams) {
    Policy policy;
    for (int i = 0; i < 4; ++i) {
      if ((queues & (1 << i)) == 0) continue;
      policy.queues[QueueName(kQueues[i])] = {.pool = PoolName(i == 2 ? "q" : "p"),
                                              .priority = static_cast<Priority>(i),
                                              .idempotent = i % 2 == 1,
                                              .max_queued = 20};
    }
    for (int i = 0; i < 3; ++i) {
      if (teams & (1 << i)) policy.teams[TeamName(std::to_string(i))] = {.weight = 1.0 + i};
    }
    Feed(PolicyChanged{policy});
  }

  void ChangeExecutors() {
    ExecutorsChanged changed;
    m_slots.clear();
    for (int i = Pick(0, 6); i > 0; --i) {
      const ExecutorState state{.id = InstanceId(std::to_string(i)),
                                .pool = PoolName(Pick(0, 2) ? "p" : "q"),
                                .slots = Pick(0, 4),
                                .leaving = Pick(0, 4) == 0};
      m_slots[state.id] = state.leaving ? 0 : state.slots;
      changed.executors.push_back(state);
    }
    Feed(changed);
  }

  void Arrive() {
    const size_t queue = Pick(0, kQueues.size());
    m_open_requests[++m_last] = {.idempotent = queue % 2 == 1};
    Feed(RequestArrived{{.number = m_last,
                         .queue = QueueName(kQueues[queue]),
                         .team = TeamName(std::to_string(Pick(0, 3))),
                         .deadline = m_now + std::chrono::seconds(Pick(0, 60))}});
  }

  void Cancel() {
    if (m_last == 0) return;
    const RequestNumber number = Pick(1, m_last + 1);
    const auto open = m_open_requests.find(number);
    if (open != m_open_requests.end()) open->second.cancelled = true;
    if (!m_running.contains(number)) m_open_requests.erase(number);
    Feed(RequestCancelled{number});
  }

  void EndAttempt() {
    if (m_running.empty()) return;
    const auto item = std::next(m_running.begin(), Pick(0, m_running.size()));
    const RequestNumber number = item->first;
    const auto outcome = static_cast<AttemptOutcome>(Pick(0, kAttemptOutcomeCount));
    --m_in_use[item->second];
    m_running.erase(item);
    OpenRequest& open = m_open_requests.at(number);
    const bool ran = outcome != AttemptOutcome::kNotRun && outcome != AttemptOutcome::kWithdrawn;
    open.may_have_run |= ran;
    if (open.cancelled) m_open_requests.erase(number);
    m_now += 10ms;
    Feed(AttemptEnded{.number = number, .outcome = outcome});
  }

  void Wait() {
    m_now += std::chrono::milliseconds(Pick(1, 5000));
    Feed(Tick{});
  }

  void Feed(const Event& event) {
    for (const Action& action : m_dispatcher.Handle(event, m_now)) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        CheckStart(*start);
      } else {
        CheckEnd(std::get<EndRequest>(action));
      }
    }
  }

  void CheckStart(const StartAttempt& start) {
    const OpenRequest& open = m_open_requests.at(start.number);
    RC_ASSERT(!open.cancelled);
    RC_ASSERT(open.idempotent || !open.may_have_run);
    RC_ASSERT(m_running.emplace(start.number, start.executor).second);
    RC_ASSERT(++m_in_use[start.executor] <= m_slots[start.executor]);
  }

  void CheckEnd(const EndRequest& end) {
    RC_ASSERT(!m_running.contains(end.number));
    const auto open = m_open_requests.find(end.number);
    RC_ASSERT(open != m_open_requests.end());
    RC_ASSERT(end.verdict != Verdict::kNotRun || !open->second.may_have_run);
    RC_ASSERT(end.verdict == Verdict::kAnswered || !end.reason.empty());
    m_open_requests.erase(open);
  }

  Dispatcher m_dispatcher;
  TimePoint m_now{1000s};
  RequestNumber m_last = 0;
  std::map<RequestNumber, OpenRequest> m_open_requests;
  std::map<RequestNumber, InstanceId> m_running;
  std::map<InstanceId, int> m_slots;
  std::map<InstanceId, int> m_in_use;
};

// Guards against violations of these invariants under any order of events and failures:
// - no executor runs more attempts than it has slots, and one that is leaving gets no new attempt;
// - a non-idempotent request that may have run gets no other attempt;
// - each request ends exactly once;
// - a request that may have run is never reported as not run.
RC_GTEST_PROP(DispatcherProperties, InvariantsHoldUnderAnyOrderOfEvents, ()) {
  Model model;
  const int steps = *rc::gen::inRange(0, 400);
  for (int i = 0; i < steps; ++i) model.Step();
  model.Finish();
}

}  // namespace
}  // namespace citronferry::dispatch
