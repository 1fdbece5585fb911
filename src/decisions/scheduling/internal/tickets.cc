// PoolScheduler: obtains tickets from the placement adviser for queues whose policy requires them.
#include <algorithm>
#include <map>
#include <string_view>
#include <tuple>
#include <utility>

#include "decisions/scheduling/pool_scheduler.h"

namespace citronferry::scheduling {
namespace {

// Callers allow for one call with 30 executors in the expected time of a step.
constexpr size_t kExecutorsPerCall = 30;
// Upper limit of the adviser.
constexpr size_t kMaxExecutorsPerCall = 100;
// Calls are handled one after the other; this allows for those queued before.
constexpr Duration kAdviceQueueAllowance = 2s;
// Interval at which executors are looked for once all have been asked about.
constexpr Duration kSearchInterval = 100ms;

// Runs of a step by executor, if they count against the step's limit.
std::map<std::string_view, int> CountRuns(const StepSpec& spec, const Step& step) {
  std::map<std::string_view, int> counts;
  if (spec.max_per_executor <= 0) return counts;
  for (const Task& task : step.tasks) {
    for (const Run& run : task.runs) ++counts[run.executor.view()];
  }
  return counts;
}

}  // namespace

/// An executor that the adviser may be asked about for a step.
struct PoolScheduler::AdviceOption {
  const Candidate* candidate = nullptr;
  bool has_room = false;  ///< A task of the step could be started there now.
  bool allowed = false;   ///< Only its ticket has to be renewed.
};

std::vector<PoolScheduler::AdviceOption> PoolScheduler::FindAdviceOptions(
    const StepSpec& spec, const Step& step, std::span<const Candidate> candidates,
    TimePoint now) const {
  std::vector<AdviceOption> options;
  const Resources request = CountedRequest(spec);
  const std::map<std::string_view, int> runs = CountRuns(spec, step);
  for (const Candidate& candidate : candidates) {
    const ExecutorState& executor = *candidate.executor;
    const int64_t incarnation = executor.incarnation_number;
    if (!HasRequiredLabel(executor.info, spec) || !Fits(request, executor.info.capacity)) continue;
    if (step.tickets.IsRefused(incarnation) || step.tickets.Find(incarnation, now)) continue;
    const auto count = runs.find(executor.info.id.view());
    const bool below_limit = count == runs.end() || count->second < spec.max_per_executor;
    options.push_back(
        {.candidate = &candidate,
         .has_room = below_limit && candidate.starts_left > 0 && Fits(request, candidate.free),
         .allowed = step.tickets.IsAllowed(incarnation)});
  }
  return options;
}

TicketRequest PoolScheduler::MakeTicketRequest(const TaskId& id, Step& step,
                                               std::vector<AdviceOption> options) const {
  const Job& job = *m_jobs.at(id.job);
  const StepSpec& spec = job.spec(id.step);
  // Tasks run slower off the rack of their data, or spread over racks.
  std::map<std::string_view, int64_t> rack_preference;
  if (!spec.data_rack.empty()) {
    rack_preference[spec.data_rack.view()] = 1;
  } else if (spec.same_rack) {
    for (const AdviceOption& option : options) {
      if (!option.has_room) continue;
      rack_preference[option.candidate->executor->info.rack.view()] +=
          option.candidate->free.cpu_millicores;
    }
  }
  const auto preference = [&](const AdviceOption& option) {
    const auto rack = rack_preference.find(option.candidate->executor->info.rack.view());
    return std::tuple(option.has_room, option.allowed,
                      rack == rack_preference.end() ? 0 : rack->second,
                      option.candidate->free.cpu_millicores);
  };
  std::sort(options.begin(), options.end(), [&](const AdviceOption& a, const AdviceOption& b) {
    return preference(a) > preference(b);
  });
  // Each executor adds to the duration of the call. The members of a gang need their tickets at the
  // same time.
  const size_t needed = spec.gang_scheduled ? step.tasks.size() : 0;
  const size_t limit = std::clamp(needed, kExecutorsPerCall, kMaxExecutorsPerCall);
  if (options.size() > limit) options.resize(limit);

  TicketRequest request{.step = id};
  for (const AdviceOption& option : options) {
    const ExecutorState& executor = *option.candidate->executor;
    request.candidates.push_back(
        {.executor = executor.info.id, .incarnation_number = executor.incarnation_number});
  }
  const QueuePolicy& queue = PolicyOf(job);
  request.timeout = queue.advice_delay +
                    queue.advice_per_executor * static_cast<int64_t>(request.candidates.size()) +
                    kAdviceQueueAllowance;
  step.tickets.OnRequested();
  return request;
}

std::optional<TicketRequest> PoolScheduler::NextTicketRequest(TimePoint now) {
  if (m_steps_without_ticket.empty()) return std::nullopt;
  struct WaitingStep {
    TaskId id;
    Step* step = nullptr;
    TimePoint since{};
  };
  std::vector<WaitingStep> waiting;
  for (const TaskId& id : m_steps_without_ticket) {
    Step* step = m_open_jobs.contains(id.job) ? FindStep(id) : nullptr;
    if (!step || !step->tickets.MayRequest(now)) continue;
    waiting.push_back(
        {.id = id,
         .step = step,
         .since = std::max(step->ready_since.value_or(now), step->tickets.last_call_at())});
  }
  // Steps take turns. Those of equal age stay in the order of their jobs' ranks.
  std::stable_sort(waiting.begin(), waiting.end(),
                   [](const WaitingStep& a, const WaitingStep& b) { return a.since < b.since; });
  const std::vector<Candidate> candidates = MakeCandidates(now);
  const WaitingStep* without_room = nullptr;
  for (const WaitingStep& entry : waiting) {
    const StepSpec& spec = m_jobs.at(entry.id.job)->spec(entry.id.step);
    std::vector<AdviceOption> options = FindAdviceOptions(spec, *entry.step, candidates, now);
    if (options.empty()) {
      entry.step->tickets.PostponeSearch(now + kSearchInterval);
    } else if (std::any_of(options.begin(), options.end(),
                           [](const AdviceOption& option) { return option.has_room; })) {
      return MakeTicketRequest(entry.id, *entry.step, std::move(options));
    } else if (!without_room) {
      without_room = &entry;
    }
  }
  if (!without_room) return std::nullopt;
  const StepSpec& spec = m_jobs.at(without_room->id.job)->spec(without_room->id.step);
  return MakeTicketRequest(without_room->id, *without_room->step,
                           FindAdviceOptions(spec, *without_room->step, candidates, now));
}

void PoolScheduler::SetTickets(const TicketRequest& request,
                               const std::map<ExecutorId, std::string>& tickets,
                               TimePoint valid_until, TimePoint now) {
  Step* step = FindStep(request.step);
  if (!step) return;
  step->tickets.OnResponse(request.candidates, tickets, valid_until, now);
  std::erase(m_steps_without_ticket, request.step);
  m_plan_needed = true;
}

void PoolScheduler::OnAdviceFailed(const TicketRequest& request, TimePoint now) {
  Step* step = FindStep(request.step);
  if (!step) return;
  step->tickets.OnFailure(now);
  std::erase(m_steps_without_ticket, request.step);
  m_plan_needed = true;
}

}  // namespace citronferry::scheduling
