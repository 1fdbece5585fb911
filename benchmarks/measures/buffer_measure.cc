// Compares the capacity buffer rules for two deployments. Prints the pool size that each rule
// plans, and the smallest pool with which the dispatcher answers every request of a surge trace in
// time.

#include <cmath>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "decisions/capacity/buffer_plan.h"
#include "replay/replay.h"

namespace citronferry {
namespace {

constexpr int kSlots = 8;
constexpr int kQueues = 5;  // They surge in turn, each for a fifth of the time.

/// Load parameters of a deployment.
struct Deployment {
  std::string name;
  double mean_slots = 0;  ///< Mean number of slots in use.
  Duration run_time{};
  Duration surge_length{};
  Duration wait_limit{};
};

/// Generates a trace of one queue with two cycles, each of a trough at a twentieth of the mean rate
/// and a surge at five times the mean rate.
/// @return the trace in the JSON lines format of the replay module, with the expected outcomes.
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

/// @return the smallest number of instances with which the dispatcher answers every request of the
///     trace in time; -1 if max_instances are not enough.
int FindSmallestSufficientPool(const Deployment& deployment, int min_instances, int max_instances) {
  for (int instances = min_instances; instances <= max_instances; ++instances) {
    if (replay::ReplayTrace(MakeTrace(deployment, instances)).ok()) return instances;
  }
  return -1;
}

/// Prints the table row of a deployment.
void PrintRow(const Deployment& deployment) {
  const capacity::QueueDemand queue{.mean_slots = deployment.mean_slots,
                                    .surge_length = deployment.surge_length,
                                    .wait_limit = deployment.wait_limit};
  const capacity::PoolDemand demand{.queues = std::span(&queue, 1), .failure_reserve = 0};
  const int lower_bound = static_cast<int>(
      std::ceil(5 * deployment.mean_slots * ToSeconds(deployment.surge_length) /
                ToSeconds(deployment.surge_length + deployment.wait_limit) / kSlots));
  const int mean = capacity::PlanForPeak(demand).for_mean;
  const int peak = capacity::PlanForPeak(demand).total();
  std::cout << "| " << deployment.name << " | " << mean << " | " << lower_bound << " |";
  for (const capacity::NamedBufferRule& rule : capacity::BufferRules()) {
    std::cout << ' ' << rule.rule(demand).total() << " |";
  }
  const int smallest = FindSmallestSufficientPool(deployment, lower_bound, peak);
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
  PrintRow({.name = "Cariboo, interactive",
            .mean_slots = 20,
            .run_time = 200ms,
            .surge_length = 5s,
            .wait_limit = 5s});
  PrintRow({.name = "Ndiaye, field jobs",
            .mean_slots = 16,
            .run_time = 500ms,
            .surge_length = 8s,
            .wait_limit = 10s});
  return 0;
}
