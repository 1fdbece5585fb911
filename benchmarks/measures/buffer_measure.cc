// Prints the buffer cost of each rule for the two deployments, and the smallest pool with which the
// dispatcher answers every request of the surge trace in time.

#include <cmath>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "decisions/capacity/buffer_plan.h"
#include "replay/replay.h"

namespace citronferry {
namespace {

constexpr int kSlots = 8;
constexpr int kQueues = 5;  // They surge in turn, so each surges for a fifth of the time.

struct Deployment {
  std::string name;
  double mean_slots = 0;
  Duration run_time{};
  Duration surge_length{};
  Duration wait_limit{};
};

/// Requests of one queue: two surges of five times the mean, a twentieth of the mean in between.
std::string MakeTrace(const Deployment& deployment, int instances) {
  const double mean_rate = deployment.mean_slots / ToSeconds(deployment.run_time);
  const double surge_seconds = ToSeconds(deployment.surge_length);
  const int surge = static_cast<int>(5 * mean_rate * surge_seconds);
  const int trough = static_cast<int>(mean_rate / 20 * surge_seconds * (kQueues - 1));
  const auto deadline = ToMilliseconds(deployment.wait_limit + deployment.run_time);
  std::ostringstream trace;
  trace << R"({"at_ms":0,"event":"policy","queues":[{"name":"q","pool":"p","idempotent":true,)"
        << R"("declared_run_ms":)" << ToMilliseconds(deployment.run_time) << R"(,"wait_limit_ms":)"
        << ToMilliseconds(deployment.wait_limit)
        << R"(,"max_queued":1000000}],"pools":[{"name":"p","urgent_reserve":0}],)"
        << R"("teams":[{"name":"a"}]})" << '\n';
  trace << R"({"at_ms":0,"event":"executors","executors":[)";
  for (int i = 0; i < instances; ++i) {
    trace << (i > 0 ? "," : "") << R"({"id":"i)" << i << R"(","pool":"p","slots":)" << kSlots
          << '}';
  }
  trace << "]}\n";
  const auto cycle = ToMilliseconds(deployment.surge_length) * kQueues;
  const auto add = [&](int64_t at, int first, int count, int64_t over) {
    trace << R"({"at_ms":)" << at << R"(,"event":"requests","first_id":)" << first << R"(,"count":)"
          << count << R"(,"over_ms":)" << over << R"(,"queue":"q","team":"a","deadline_ms":)"
          << deadline << R"(,"run_ms":)" << ToMilliseconds(deployment.run_time) << "}\n";
  };
  for (int round = 0; round < 2; ++round) {
    const int base = 1 + round * (surge + trough);
    const int64_t start = round * cycle;
    add(start, base, trough, cycle / kQueues * (kQueues - 1));
    add(start + cycle / kQueues * (kQueues - 1), base + trough, surge, cycle / kQueues);
  }
  trace << R"({"event":"expect","what":"requests","verdict":"answered","at_least":)"
        << 2 * (surge + trough) << "}\n"
        << R"({"event":"expect","what":"answered_late","at_most":0})" << '\n';
  return trace.str();
}

int SmallestPoolOfDispatcher(const Deployment& deployment, int from, int to) {
  for (int instances = from; instances <= to; ++instances) {
    if (replay::ReplayTrace(MakeTrace(deployment, instances)).ok()) return instances;
  }
  return -1;
}

void Measure(const Deployment& deployment) {
  const capacity::QueueDemand queue{.mean_slots = deployment.mean_slots,
                                    .surge_length = deployment.surge_length,
                                    .wait_limit = deployment.wait_limit};
  const capacity::PoolDemand demand{.queues = std::span(&queue, 1), .failure_reserve = 0};
  const int bound = static_cast<int>(
      std::ceil(5 * deployment.mean_slots * ToSeconds(deployment.surge_length) /
                ToSeconds(deployment.surge_length + deployment.wait_limit) / kSlots));
  const int mean = capacity::PlanForPeak(demand).for_mean;
  const int peak = capacity::PlanForPeak(demand).total();
  std::cout << "| " << deployment.name << " | " << mean << " | " << bound << " |";
  for (const capacity::NamedBufferRule& rule : capacity::BufferRules()) {
    std::cout << ' ' << rule.rule(demand).total() << " |";
  }
  const int smallest = SmallestPoolOfDispatcher(deployment, bound, peak);
  std::cout << ' ' << smallest << " | " << std::setprecision(3)
            << static_cast<double>(capacity::PlanForDrainedSurge(demand).buffer()) / (peak - mean)
            << " |\n";
}

}  // namespace
}  // namespace citronferry

int main() {
  using namespace citronferry;  // NOLINT(google-build-using-namespace)
  std::cout << "| deployment | mean | lower bound | drained_surge | peak | smallest pool that "
               "answers all in time | buffer ratio |\n|---|---|---|---|---|---|---|\n";
  Measure({.name = "Cariboo, interactive",
           .mean_slots = 20,
           .run_time = 200ms,
           .surge_length = 5s,
           .wait_limit = 5s});
  Measure({.name = "Ndiaye, field jobs",
           .mean_slots = 16,
           .run_time = 500ms,
           .surge_length = 8s,
           .wait_limit = 10s});
  return 0;
}
