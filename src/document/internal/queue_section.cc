#include <array>

#include "document/internal/sections.h"

namespace citronferry::document {
namespace {

constexpr Duration kLongest = 24h * 28;
constexpr std::array<std::string_view, 4> kPriorities{"urgent", "interactive", "batch", "watcher"};

constexpr std::array<Field<Queue>, 15> kFields{{
    {"name", RequiredName<&Queue::name>(), "", "Identifies the queue in the caller API."},
    {"service", RequiredName<&Queue::service>(), "", "Service that the queue's work belongs to."},
    {"priority", ChoiceOf<&Queue::priority>(kPriorities), "",
     "Class of the work. Urgent work may use the reserved slots; watcher jobs run for long."},
    {"idempotent", FlagRule<Queue>{&Queue::idempotent}, "",
     "Whether a request may run more than once. Otherwise it runs at most once."},
    {"durable", FlagRule<Queue>{&Queue::durable}, "",
     "Whether work is accepted as jobs that survive the loss of every entry."},
    {"deadline", DurationRule<Queue>{&Queue::deadline, 10ms, kLongest}, "",
     "Deadline of a request that names none."},
    {"wait_limit", DurationRule<Queue>{&Queue::wait_limit, 10ms, kLongest}, "",
     "Longest time in the queue, whatever the deadline."},
    {"declared_run_time", DurationRule<Queue>{&Queue::declared_run_time, 1ms, kLongest}, "",
     "First estimate of the run time, until run times were observed."},
    {"max_queued", IntegerRule<Queue>{&Queue::max_queued, 1, 1'000'000}, "requests",
     "Requests that wait at each entry; more are refused as not run."},
    {"max_attempts", IntegerRule<Queue>{&Queue::max_attempts, 1, 100}, "attempts",
     "Attempts of one request on different executors."},
    {"processors", IntegerRule<Queue>{&Queue::processors, 0, 4096}, "processors",
     "Processors that one request needs. 0 means not declared."},
    {"memory", SizeRule<Queue>{&Queue::memory}, "",
     "Memory that one request needs. 0 means not declared."},
    {"mean_load", NumberRule<Queue>{&Queue::mean_load, 0, 10000}, "instances",
     "Instances that the queue keeps busy on average. 0 means not declared."},
    {"surge_factor", NumberRule<Queue>{&Queue::surge_factor, 1, 1000}, "times the mean",
     "Load during a surge."},
    {"surge_length", DurationRule<Queue>{&Queue::surge_length, 1ms, 24h}, "",
     "Length of one surge."},
}};

const Pool* PoolOf(const Document& document, const Queue& queue) {
  const Service* service = FindByName(document.services, queue.service);
  return service ? FindByName(document.pools, service->pool) : nullptr;
}

std::vector<Fault> RequireService(const Document& document, const Queue& queue) {
  if (FindByName(document.services, queue.service)) return {};
  return {{"service", "names an undeclared service \"" + queue.service.str() +
                          "\"; declared: " + ListNames(document.services)}};
}

std::vector<Fault> RequireDeadlineAboveRunTime(const Document&, const Queue& queue) {
  if (queue.deadline >= queue.declared_run_time) return {};
  return {{"deadline", "is " + FormatDuration(queue.deadline) +
                           "; it must not be shorter than declared_run_time, which is " +
                           FormatDuration(queue.declared_run_time)}};
}

/// Watcher jobs must never be lost. Urgent and interactive callers wait for the answer, which a
/// durable job does not give.
std::vector<Fault> RequireDurabilityOfClass(const Document&, const Queue& queue) {
  if (queue.priority == Priority::kWatcher && !queue.durable) {
    return {{"durable", "must be true in a watcher queue, since watcher jobs must not be lost"}};
  }
  const bool answered_later =
      queue.priority == Priority::kBatch || queue.priority == Priority::kWatcher;
  if (!queue.durable || answered_later) return {};
  return {{"durable",
           "is allowed in batch and watcher queues only, since the answer to a durable "
           "job comes later"}};
}

std::vector<Fault> RequireFittingInstance(const Document& document, const Queue& queue) {
  const Pool* pool = PoolOf(document, queue);
  if (!pool) return {};
  std::vector<Fault> faults;
  if (pool->processors > 0 && queue.processors > pool->processors) {
    faults.push_back({"processors", "is " + std::to_string(queue.processors) +
                                        "; an instance of pool \"" + pool->name.str() + "\" has " +
                                        std::to_string(pool->processors)});
  }
  if (pool->memory > 0 && queue.memory > pool->memory) {
    faults.push_back({"memory", "is " + FormatSize(queue.memory) + "; an instance of pool \"" +
                                    pool->name.str() + "\" has " + FormatSize(pool->memory)});
  }
  return faults;
}

constexpr std::array<Rule<Queue>, 5> kRules{
    &RequireUniqueName<Queue, &Document::queues>,
    &RequireService,
    &RequireDeadlineAboveRunTime,
    &RequireDurabilityOfClass,
    &RequireFittingInstance,
};

}  // namespace

Section<Queue> QueueSection() {
  return {.name = "queue",
          .purpose = "A queue of work that callers use.",
          .items = &Document::queues,
          .fields = kFields,
          .rules = kRules};
}

}  // namespace citronferry::document
