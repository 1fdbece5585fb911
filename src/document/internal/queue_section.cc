#include <array>

#include "document/internal/sections.h"

namespace citronferry::document {
namespace {

constexpr Duration kMaxDuration = 24h * 28;
constexpr std::array<std::string_view, 4> kPriorities{"urgent", "interactive", "batch", "watcher"};

constexpr std::array<Field<Queue>, 15> kFields{{
    {"name", RequiredName<&Queue::name>(), "", "Identifies the queue in the caller API."},
    {"service", RequiredName<&Queue::service>(), "", "Service that the queue's work belongs to."},
    {"priority", ChoiceOf<&Queue::priority>(kPriorities), "",
     "Class of the work. Urgent work may use the reserved slots; watcher jobs run for long."},
    {"idempotent", BoolType<Queue>{&Queue::idempotent}, "",
     "Whether a request may run more than once. Otherwise it runs at most once."},
    {"durable", BoolType<Queue>{&Queue::durable}, "",
     "Whether work is accepted as jobs that survive the loss of every entry."},
    {"deadline", DurationType<Queue>{&Queue::deadline, 10ms, kMaxDuration}, "",
     "Deadline of a request that names none."},
    {"wait_limit", DurationType<Queue>{&Queue::wait_limit, 10ms, kMaxDuration}, "",
     "Longest time in the queue, whatever the deadline."},
    {"declared_run_time", DurationType<Queue>{&Queue::declared_run_time, 1ms, kMaxDuration}, "",
     "First estimate of the run time, until run times were observed."},
    {"max_queued", IntegerType<Queue>{&Queue::max_queued, 1, 1'000'000}, "requests",
     "Requests that wait at each entry; more are refused as not run."},
    {"max_attempts", IntegerType<Queue>{&Queue::max_attempts, 1, 100}, "attempts",
     "Attempts of one request on different executors."},
    {"processors", IntegerType<Queue>{&Queue::processors, 0, 4096}, "processors",
     "Processors that one request needs. 0 means not declared."},
    {"memory", SizeType<Queue>{&Queue::memory}, "",
     "Memory that one request needs. 0 means not declared."},
    {"mean_load", NumberType<Queue>{&Queue::mean_load, 0, 10000}, "instances",
     "Instances that the queue keeps busy on average. 0 means not declared."},
    {"surge_factor", NumberType<Queue>{&Queue::surge_factor, 1, 1000}, "times the mean",
     "Load during a surge."},
    {"surge_length", DurationType<Queue>{&Queue::surge_length, 1ms, 24h}, "",
     "Length of one surge."},
}};

const Pool* PoolOf(const Document& document, const Queue& queue) {
  const Service* service = FindByName(document.services, queue.service);
  return service ? FindByName(document.pools, service->pool) : nullptr;
}

std::vector<ValidationError> RequireService(const Document& document, const Queue& queue) {
  if (FindByName(document.services, queue.service)) return {};
  return {{"service", "names an undeclared service \"" + queue.service.str() +
                          "\"; declared: " + ListNames(document.services)}};
}

std::vector<ValidationError> RequireDeadlineAboveRunTime(const Document&, const Queue& queue) {
  if (queue.deadline >= queue.declared_run_time) return {};
  return {{"deadline", "is " + FormatDuration(queue.deadline) +
                           "; it must not be shorter than declared_run_time, which is " +
                           FormatDuration(queue.declared_run_time)}};
}

/// Rule: watcher queues are durable, since their jobs must never be lost. Urgent and interactive
/// queues are not, since their callers wait for the response, which a durable job returns later.
std::vector<ValidationError> RequireDurabilityByPriority(const Document&, const Queue& queue) {
  if (queue.priority == Priority::kWatcher && !queue.durable) {
    return {{"durable", "must be true in a watcher queue, since watcher jobs must not be lost"}};
  }
  const bool asynchronous =
      queue.priority == Priority::kBatch || queue.priority == Priority::kWatcher;
  if (!queue.durable || asynchronous) return {};
  return {{"durable",
           "is allowed in batch and watcher queues only, since the answer to a durable "
           "job comes later"}};
}

std::vector<ValidationError> RequireFitOnInstance(const Document& document, const Queue& queue) {
  const Pool* pool = PoolOf(document, queue);
  if (!pool) return {};
  std::vector<ValidationError> errors;
  if (pool->processors > 0 && queue.processors > pool->processors) {
    errors.push_back({"processors", "is " + std::to_string(queue.processors) +
                                        "; an instance of pool \"" + pool->name.str() + "\" has " +
                                        std::to_string(pool->processors)});
  }
  if (pool->memory > 0 && queue.memory > pool->memory) {
    errors.push_back({"memory", "is " + FormatSize(queue.memory) + "; an instance of pool \"" +
                                    pool->name.str() + "\" has " + FormatSize(pool->memory)});
  }
  return errors;
}

constexpr std::array<ValidationRule<Queue>, 5> kRules{
    &RequireUniqueName<Queue, &Document::queues>,
    &RequireService,
    &RequireDeadlineAboveRunTime,
    &RequireDurabilityByPriority,
    &RequireFitOnInstance,
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
