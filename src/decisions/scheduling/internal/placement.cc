#include "decisions/scheduling/placement.h"

#include <algorithm>
#include <map>
#include <utility>

namespace citronferry::scheduling {
namespace {

// A task on another rack takes two to three times as long, so it pays to wait about the duration of
// a short task for capacity near its data.
constexpr Duration kMaxRackWait = 1s;

}  // namespace

Resources CountedRequest(const StepSpec& spec) {
  Resources request = spec.request;
  if (spec.uses_leftover_cpu) request.cpu_millicores = 0;
  return request;
}

bool HasRequiredLabel(const ExecutorDescription& executor, const StepSpec& spec) {
  const std::vector<std::string>& labels = executor.labels;
  return spec.required_label.empty() ||
         std::find(labels.begin(), labels.end(), spec.required_label) != labels.end();
}

int Placer::CountOnExecutor(const Step& step, const ExecutorId& executor) {
  int count = 0;
  for (const Task& task : step.tasks) {
    count +=
        static_cast<int>(std::count_if(task.runs.begin(), task.runs.end(),
                                       [&](const Run& run) { return run.executor == executor; }));
  }
  return count;
}

bool Placer::IsLastResort(const Candidate& candidate, const StepPlacement& placement) {
  if (candidate.slowness <= 1 || placement.spec.long_running) return false;
  if (placement.decides_end) return true;
  const auto capacity = static_cast<double>(candidate.executor->info.capacity.cpu_millicores);
  const auto used = static_cast<double>(candidate.executor->info.capacity.cpu_millicores -
                                        candidate.free.cpu_millicores +
                                        CountedRequest(placement.spec).cpu_millicores);
  return used > capacity / candidate.slowness;
}

bool Placer::HasRoomFor(const Candidate& candidate, const StepSpec& spec,
                        const Resources& request) {
  if (candidate.reserved && !spec.long_running) return false;
  // A gang starts together, so its members count as one.
  if (candidate.starts_left <= 0 && !spec.gang_scheduled) return false;
  return Fits(request, candidate.free);
}

bool Placer::HasRoom(const StepSpec& spec) const {
  const Resources request = CountedRequest(spec);
  return std::any_of(m_candidates.begin(), m_candidates.end(), [&](const Candidate& candidate) {
    return HasRoomFor(candidate, spec, request) && HasRequiredLabel(candidate.executor->info, spec);
  });
}

bool Placer::Permits(const Candidate& candidate, const StepPlacement& placement) {
  const StepSpec& spec = placement.spec;
  const ExecutorState& executor = *candidate.executor;
  if (!HasRequiredLabel(executor.info, spec)) return false;
  if (placement.tickets && !placement.tickets->IsAllowed(executor.incarnation_number)) return false;
  return spec.max_per_executor <= 0 ||
         CountOnExecutor(placement.step, executor.info.id) < spec.max_per_executor;
}

bool Placer::Allows(const Candidate& candidate, const StepPlacement& placement) const {
  const StepTickets* tickets = placement.tickets;
  if (tickets && !tickets->Find(candidate.executor->incarnation_number, m_now)) return false;
  return Permits(candidate, placement);
}

RackName Placer::RequiredRack(const StepPlacement& placement) const {
  const StepSpec& spec = placement.spec;
  if (m_now - placement.ready_since > kMaxRackWait) return {};
  const auto usable_in = [&](const RackName& rack) {
    return std::any_of(m_candidates.begin(), m_candidates.end(), [&](const Candidate& candidate) {
      return candidate.executor->info.rack == rack && Allows(candidate, placement);
    });
  };
  if (!spec.data_rack.empty()) return usable_in(spec.data_rack) ? spec.data_rack : RackName();
  if (!spec.same_rack) return {};
  for (const Task& task : placement.step.tasks) {
    for (const Run& run : task.runs) {
      const auto found = std::find_if(
          m_candidates.begin(), m_candidates.end(),
          [&](const Candidate& candidate) { return candidate.executor->info.id == run.executor; });
      if (found != m_candidates.end()) return found->executor->info.rack;
    }
  }
  std::map<RackName, int64_t> free_cpu;
  for (const Candidate& candidate : m_candidates) {
    if (Allows(candidate, placement)) {
      free_cpu[candidate.executor->info.rack] += candidate.free.cpu_millicores;
    }
  }
  const auto most_free =
      std::max_element(free_cpu.begin(), free_cpu.end(),
                       [](const auto& a, const auto& b) { return a.second < b.second; });
  return most_free == free_cpu.end() ? RackName() : most_free->first;
}

// Long-running tasks of one step are spread over executors, so that the loss of an executor affects
// few of them. Among equal executors, long-running tasks are packed on few executors, as other
// tasks are on the fullest one: this keeps whole executors free for large tasks, maintenance and
// moves.
std::tuple<int, int, int64_t> Placer::LongRunningOrder(const Candidate& candidate,
                                                       const Step& step) {
  return {CountOnExecutor(step, candidate.executor->info.id), -candidate.long_running_tasks,
          candidate.free.cpu_millicores};
}

ExecutorState* Placer::Place(const StepPlacement& placement, const ExecutorId& avoided) {
  const StepSpec& spec = placement.spec;
  const Resources request = CountedRequest(spec);
  const RackName rack = RequiredRack(placement);
  Candidate* best = nullptr;
  int best_reluctance = 0;
  for (Candidate& candidate : m_candidates) {
    if (!HasRoomFor(candidate, spec, request)) continue;
    if (!rack.empty() && candidate.executor->info.rack != rack) continue;
    if (!Allows(candidate, placement)) continue;
    const int reluctance = candidate.executor->info.id == avoided ? 2
                           : IsLastResort(candidate, placement)   ? 1
                                                                  : 0;
    if (best && reluctance != best_reluctance) {
      if (reluctance > best_reluctance) continue;
    } else if (best) {
      const bool better =
          spec.uses_leftover_cpu ? candidate.free.cpu_millicores > best->free.cpu_millicores
          : spec.long_running    ? LongRunningOrder(candidate, placement.step) <
                                    LongRunningOrder(*best, placement.step)
                              : candidate.free.cpu_millicores < best->free.cpu_millicores;
      if (!better) continue;
    }
    best = &candidate;
    best_reluctance = reluctance;
  }
  if (!best) return nullptr;
  best->free -= request;
  if (best->starts_left > 0) --best->starts_left;
  if (spec.long_running) {
    best->free_when_drained -= request;
    ++best->long_running_tasks;
  }
  return best->executor;
}

std::optional<std::vector<ExecutorState*>> Placer::PlaceGang(const StepPlacement& placement) {
  const std::vector<Candidate> before = m_candidates;
  Step tentative;  // Holds the runs placed so far, for the limit of tasks per executor.
  tentative.tasks.resize(placement.step.tasks.size());
  std::vector<ExecutorState*> executors;
  for (Task& task : tentative.tasks) {
    ExecutorState* executor = Place({.spec = placement.spec,
                                     .step = tentative,
                                     .ready_since = placement.ready_since,
                                     .tickets = placement.tickets,
                                     .decides_end = placement.decides_end},
                                    {});
    if (!executor) {
      m_candidates = before;
      return std::nullopt;
    }
    task.runs.push_back({.executor = executor->info.id});
    executors.push_back(executor);
  }
  return executors;
}

const ExecutorState* Placer::TakeWhenDrained(const StepPlacement& placement) {
  const Resources request = CountedRequest(placement.spec);
  const auto found =
      std::find_if(m_candidates.begin(), m_candidates.end(), [&](const Candidate& candidate) {
        return Fits(request, candidate.free_when_drained) && Permits(candidate, placement);
      });
  if (found == m_candidates.end()) return nullptr;
  found->free_when_drained -= request;
  return found->executor;
}

void Placer::Reserve(const StepPlacement& placement) {
  const Resources request = CountedRequest(placement.spec);
  const auto reserved = static_cast<size_t>(
      std::count_if(m_candidates.begin(), m_candidates.end(),
                    [](const Candidate& candidate) { return candidate.reserved; }));
  const bool may_add = reserved < std::max<size_t>(1, m_candidates.size() / 2);
  const auto preference = [](const Candidate& candidate) {
    return std::pair(!candidate.reserved, candidate.free.cpu_millicores);
  };
  Candidate* best = nullptr;
  for (Candidate& candidate : m_candidates) {
    if (!candidate.reserved && !may_add) continue;
    if (!Permits(candidate, placement) || !Fits(request, candidate.free_when_drained)) continue;
    if (!best || preference(candidate) > preference(*best)) best = &candidate;
  }
  if (!best) return;
  best->reserved = true;
  best->free_when_drained -= request;
}

}  // namespace citronferry::scheduling
