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
constexpr size_t kWave = 100000;

/// Size of the fleet as one entry sees it.
struct Scale {
  size_t executors;
  size_t teams;
  size_t queues;
};

Scale ScaleOf(const benchmark::State& state) {
  return {.executors = static_cast<size_t>(state.range(0)),
          .teams = static_cast<size_t>(state.range(1)),
          .queues = static_cast<size_t>(state.range(2))};
}

PoolName PoolAt(size_t index) { return PoolName("pool" + std::to_string(index % kPools)); }

/// A dispatcher with its declared fleet and names that need not be built in the measured loop.
class Fleet {
 public:
  explicit Fleet(const Scale& scale) {
    PolicyChanged policy;
    for (size_t i = 0; i < scale.queues; ++i) {
      m_queues.emplace_back("queue" + std::to_string(i));
      policy.policy.queues[m_queues.back()] = {.pool = PoolAt(i),
                                               .priority = static_cast<Priority>(i / kPools % 4),
                                               .idempotent = true,
                                               .wait_limit = 24h,
                                               .max_queued = kWave};
    }
    for (size_t i = 0; i < scale.teams; ++i) {
      m_teams.emplace_back("team" + std::to_string(i));
      policy.policy.teams[m_teams.back()] = {.weight = 1.0 + static_cast<double>(i % 3)};
    }
    for (size_t i = 0; i < scale.executors; ++i) {
      m_executors.executors.push_back(
          {.id = InstanceId("executor" + std::to_string(i)), .pool = PoolAt(i), .slots = 2});
    }
    Feed(policy);
    Feed(m_executors);
  }

  void Feed(const Event& event) {
    m_now += Duration(1);
    for (const Action& action : m_dispatcher.Handle(event, m_now)) {
      if (const auto* start = std::get_if<StartAttempt>(&action))
        m_running.push_back(start->number);
      benchmark::DoNotOptimize(action);
    }
  }

  void Arrive() {
    const size_t number = ++m_last;
    Feed(RequestArrived{{.number = number,
                         .queue = m_queues[number % m_queues.size()],
                         .team = m_teams[number / m_queues.size() % m_teams.size()],
                         .deadline = m_now + 1h}});
  }

  void EndOldest() {
    const RequestNumber number = m_running.front();
    m_running.pop_front();
    Feed(AttemptEnded{.number = number, .outcome = AttemptOutcome::kAnswered});
  }

  void ListExecutors() { Feed(m_executors); }
  void PassTime(Duration duration) { m_now += duration; }
  RequestNumber last() const { return m_last; }
  size_t waiting() const { return m_dispatcher.queued(); }

 private:
  Dispatcher m_dispatcher;
  TimePoint m_now{1h};
  RequestNumber m_last = 0;
  std::vector<QueueName> m_queues;
  std::vector<TeamName> m_teams;
  ExecutorsChanged m_executors;
  std::deque<RequestNumber> m_running;
};

/// A request arrives, starts at once and ends: two events.
void MeasureIdleFleet(benchmark::State& state) {
  Fleet fleet(ScaleOf(state));
  for (auto _ : state) {
    fleet.Arrive();
    fleet.EndOldest();
  }
}

/// Every slot is in use and 20,000 requests wait: one arrives, one ends, and a waiting one starts.
void MeasureBacklog(benchmark::State& state) {
  Fleet fleet(ScaleOf(state));
  while (fleet.waiting() < 20000) fleet.Arrive();
  for (auto _ : state) {
    fleet.Arrive();
    fleet.EndOldest();
  }
}

/// The list of executors is read again.
void MeasureListExecutors(benchmark::State& state) {
  Fleet fleet(ScaleOf(state));
  for (auto _ : state) fleet.ListExecutors();
}

/// The callers of 100,000 waiting requests go away, oldest first.
void MeasureCancellationWave(benchmark::State& state) {
  for (auto _ : state) {
    Fleet fleet(ScaleOf(state));
    while (fleet.waiting() < kWave) fleet.Arrive();
    const auto start = std::chrono::steady_clock::now();
    for (RequestNumber number = 1; number <= fleet.last(); ++number) {
      fleet.Feed(RequestCancelled{number});
    }
    state.SetIterationTime(
        std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count());
  }
}

/// The deadlines of 100,000 waiting requests pass between two ticks.
void MeasureExpiryWave(benchmark::State& state) {
  for (auto _ : state) {
    Fleet fleet(ScaleOf(state));
    while (fleet.waiting() < kWave) fleet.Arrive();
    fleet.PassTime(2h);
    const auto start = std::chrono::steady_clock::now();
    fleet.Feed(Tick{});
    state.SetIterationTime(
        std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count());
  }
}

/// Today, ten times and 26 times as much, together and one dimension at a time.
void AllScales(benchmark::internal::Benchmark* benchmark) {
  benchmark->ArgNames({"executors", "teams", "queues"});
  for (const int64_t factor : {1, 10, 26}) benchmark->Args({50 * factor, 7 * factor, 10 * factor});
  benchmark->Args({1300, 7, 10});
  benchmark->Args({50, 182, 10});
  benchmark->Args({50, 7, 260});
}

void WholeScales(benchmark::internal::Benchmark* benchmark) {
  benchmark->ArgNames({"executors", "teams", "queues"});
  for (const int64_t factor : {1, 10, 26}) benchmark->Args({50 * factor, 7 * factor, 10 * factor});
}

BENCHMARK(MeasureIdleFleet)->Apply(AllScales);
BENCHMARK(MeasureBacklog)->Apply(AllScales);
BENCHMARK(MeasureListExecutors)->Apply(WholeScales)->Unit(benchmark::kMicrosecond);
BENCHMARK(MeasureCancellationWave)
    ->Apply(WholeScales)
    ->UseManualTime()
    ->Iterations(5)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(MeasureExpiryWave)
    ->Apply(WholeScales)
    ->UseManualTime()
    ->Iterations(5)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace citronferry::dispatch
