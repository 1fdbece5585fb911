#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <string>
#include <vector>

#include "decisions/dispatch/dispatcher.h"

namespace citronferry::dispatch {
namespace {

constexpr size_t kPools = 5;
constexpr size_t kBatchSize = 100000;  // Requests cancelled or expired at once.

/// Numbers of executors, teams and queues that one entry manages.
struct Scale {
  size_t executors;
  size_t teams;
  size_t queues;
};

Scale ReadScale(const benchmark::State& state) {
  return {.executors = static_cast<size_t>(state.range(0)),
          .teams = static_cast<size_t>(state.range(1)),
          .queues = static_cast<size_t>(state.range(2))};
}

PoolName PoolAt(size_t index) { return PoolName("pool" + std::to_string(index % kPools)); }

/// Dispatcher with a configured fleet. Builds all names in advance, to keep their cost out of the
/// measured loops.
class DispatcherSimulation {
 public:
  explicit DispatcherSimulation(const Scale& scale) {
    PolicyChanged policy;
    for (size_t i = 0; i < scale.queues; ++i) {
      m_queues.emplace_back("queue" + std::to_string(i));
      policy.policy.queues[m_queues.back()] = {.pool = PoolAt(i),
                                               .priority = static_cast<Priority>(i / kPools % 4),
                                               .idempotent = true,
                                               .wait_limit = 24h,
                                               .max_queued = kBatchSize};
    }
    for (size_t i = 0; i < scale.teams; ++i) {
      m_teams.emplace_back("team" + std::to_string(i));
      policy.policy.teams[m_teams.back()] = {.weight = 1.0 + static_cast<double>(i % 3)};
    }
    for (size_t i = 0; i < scale.executors; ++i) {
      m_executors.executors.push_back(
          {.id = InstanceId("executor" + std::to_string(i)), .pool = PoolAt(i), .slots = 2});
    }
    HandleEvent(policy);
    HandleEvent(m_executors);
  }

  /// Passes an event to the dispatcher and remembers the attempts that it starts.
  void HandleEvent(const Event& event) {
    m_now += Duration(1);
    for (const Action& action : m_dispatcher.Handle(event, m_now)) {
      if (const auto* start = std::get_if<StartAttempt>(&action))
        m_running.push_back(start->number);
      benchmark::DoNotOptimize(action);
    }
  }

  void SubmitRequest() {
    const size_t number = ++m_last_request;
    HandleEvent(RequestArrived{{.number = number,
                                .queue = m_queues[number % m_queues.size()],
                                .team = m_teams[number / m_queues.size() % m_teams.size()],
                                .deadline = m_now + 1h}});
  }

  void CompleteOldestAttempt() {
    const RequestNumber number = m_running.front();
    m_running.pop_front();
    HandleEvent(AttemptEnded{.number = number, .outcome = AttemptOutcome::kAnswered});
  }

  /// Passes the unchanged list of executors to the dispatcher again.
  void UpdateExecutors() { HandleEvent(m_executors); }
  void AdvanceTime(Duration duration) { m_now += duration; }
  RequestNumber last_request() const { return m_last_request; }
  size_t queued_requests() const { return m_dispatcher.queued(); }

 private:
  Dispatcher m_dispatcher;
  TimePoint m_now{1h};
  RequestNumber m_last_request = 0;
  std::vector<QueueName> m_queues;
  std::vector<TeamName> m_teams;
  ExecutorsChanged m_executors;
  std::deque<RequestNumber> m_running;
};

/// Two events with free slots: a request arrives and starts at once, then its attempt ends.
void MeasureIdleFleet(benchmark::State& state) {
  DispatcherSimulation simulation(ReadScale(state));
  for (auto _ : state) {
    simulation.SubmitRequest();
    simulation.CompleteOldestAttempt();
  }
}

/// Two events with all slots in use and 20,000 queued requests: a request arrives and is queued,
/// then an attempt ends and a queued request starts.
void MeasureBacklog(benchmark::State& state) {
  DispatcherSimulation simulation(ReadScale(state));
  while (simulation.queued_requests() < 20000) simulation.SubmitRequest();
  for (auto _ : state) {
    simulation.SubmitRequest();
    simulation.CompleteOldestAttempt();
  }
}

/// Handles an unchanged list of executors.
void MeasureListExecutors(benchmark::State& state) {
  DispatcherSimulation simulation(ReadScale(state));
  for (auto _ : state) simulation.UpdateExecutors();
}

/// Cancels 100,000 queued requests, oldest first, as when their callers disconnect.
void MeasureCancellationWave(benchmark::State& state) {
  for (auto _ : state) {
    DispatcherSimulation simulation(ReadScale(state));
    while (simulation.queued_requests() < kBatchSize) simulation.SubmitRequest();
    const auto start = std::chrono::steady_clock::now();
    for (RequestNumber number = 1; number <= simulation.last_request(); ++number) {
      simulation.HandleEvent(RequestCancelled{number});
    }
    state.SetIterationTime(
        std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count());
  }
}

/// Expires 100,000 queued requests in one tick.
void MeasureExpiryWave(benchmark::State& state) {
  for (auto _ : state) {
    DispatcherSimulation simulation(ReadScale(state));
    while (simulation.queued_requests() < kBatchSize) simulation.SubmitRequest();
    simulation.AdvanceTime(2h);
    const auto start = std::chrono::steady_clock::now();
    simulation.HandleEvent(Tick{});
    state.SetIterationTime(
        std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count());
  }
}

/// The present scale (50 executors, 7 teams, 10 queues), 10 and 26 times as much in all dimensions,
/// and 26 times as much in one dimension at a time.
void ApplyAllScales(benchmark::internal::Benchmark* benchmark) {
  benchmark->ArgNames({"executors", "teams", "queues"});
  for (const int64_t factor : {1, 10, 26}) benchmark->Args({50 * factor, 7 * factor, 10 * factor});
  benchmark->Args({1300, 7, 10});
  benchmark->Args({50, 182, 10});
  benchmark->Args({50, 7, 260});
}

/// The present scale, and 10 and 26 times as much in all dimensions.
void ApplyProportionalScales(benchmark::internal::Benchmark* benchmark) {
  benchmark->ArgNames({"executors", "teams", "queues"});
  for (const int64_t factor : {1, 10, 26}) benchmark->Args({50 * factor, 7 * factor, 10 * factor});
}

BENCHMARK(MeasureIdleFleet)->Apply(ApplyAllScales);
BENCHMARK(MeasureBacklog)->Apply(ApplyAllScales);
BENCHMARK(MeasureListExecutors)->Apply(ApplyProportionalScales)->Unit(benchmark::kMicrosecond);
BENCHMARK(MeasureCancellationWave)
    ->Apply(ApplyProportionalScales)
    ->UseManualTime()
    ->Iterations(5)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(MeasureExpiryWave)
    ->Apply(ApplyProportionalScales)
    ->UseManualTime()
    ->Iterations(5)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace citronferry::dispatch
