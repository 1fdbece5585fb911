// PoolScheduler: obtains tickets from the placement adviser for queues whose policy requires them.
#include <algorithm>
#include <utility>

#include "decisions/scheduling/pool_scheduler.h"

namespace citronferry::scheduling {
namespace {

// Callers allow for one call with 30 executors in the expected time of a step.
constexpr size_t kMaxAdvisedExecutors = 30;
// Calls are handled one after the other; this allows for those queued before.
constexpr Duration kAdviceQueueAllowance = 2s;

}  // namespace

std::vector<TicketRequest> PoolScheduler::TakeTicketRequests(TimePoint now) {
  std::vector<TicketRequest> requests;
  if (!m_advice_used) return requests;
  for (const JobId& id : m_open_jobs) {
    Job& job = *m_jobs.at(id);
    const QueuePolicy& queue = PolicyOf(job);
    if (!queue.needs_advice) continue;
    for (auto& [number, occurrence] : job.occurrences()) {
      for (size_t i = 0; i < occurrence.steps.size(); ++i) {
        Step& step = occurrence.steps[i];
        const bool valid = step.tickets_valid_until && *step.tickets_valid_until > now;
        const bool needs_placement =
            std::any_of(step.tasks.begin(), step.tasks.end(), [&](const Task& task) {
              return NeedsPlacement(task, job.spec(static_cast<int>(i)), now);
            });
        if (!Job::IsReady(step) || step.tickets_requested || !needs_placement ||
            (valid && !step.tickets.empty())) {
          continue;
        }
        TicketRequest request{
            .step = {.job = id, .occurrence = number, .step = static_cast<int>(i)}};
        // Only the emptiest executors, since each additional one adds to the call's duration.
        std::vector<const ExecutorState*> usable;
        for (const auto& [name, executor] : m_executors) {
          if (executor.Usable(now)) usable.push_back(&executor);
        }
        std::sort(usable.begin(), usable.end(), [](const auto* a, const auto* b) {
          return a->free().cpu_millicores > b->free().cpu_millicores;
        });
        if (usable.size() > kMaxAdvisedExecutors) usable.resize(kMaxAdvisedExecutors);
        if (usable.empty()) continue;
        for (const ExecutorState* executor : usable) {
          request.candidates.push_back(executor->info.id);
        }
        request.timeout =
            queue.advice_delay +
            queue.advice_per_executor * static_cast<int64_t>(request.candidates.size()) +
            kAdviceQueueAllowance;
        step.tickets_requested = true;
        requests.push_back(std::move(request));
      }
    }
  }
  return requests;
}

void PoolScheduler::SetTickets(const TaskId& id, std::map<ExecutorId, std::string> tickets,
                               TimePoint valid_until, TimePoint now) {
  Step* step = FindStep(id);
  if (!step) return;
  step->tickets_requested = false;
  step->tickets = std::move(tickets);
  // A response without a ticket has no validity: the step is requested again by the next call of
  // TakeTicketRequests. The caller delays such responses, so that this is not at once.
  step->tickets_valid_until = step->tickets.empty() ? now : valid_until;
  m_plan_needed = true;
}

}  // namespace citronferry::scheduling
