#include "decisions/dispatch/internal/engine.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "decisions/dispatch/internal/admission.h"

namespace citronferry::dispatch {
namespace {

using State = RequestRecord::State;

// A request that failed on this many reliable executors is assumed to be the cause itself.
constexpr int kMaxFailedReliableExecutors = 3;
// Attempts on unreliable executors do not count against the request, but are limited to this
// multiple of max_attempts.
constexpr int kMaxTotalAttemptsFactor = 3;
// Bounds the cost of an event when many retries wait for executors other than the free ones.
constexpr int kMaxRetriesScanned = 16;
// Limit the correction of a charge, so that a team does not pay for long for a single outlier or
// for the use of idle slots.
constexpr double kMaxCorrectionSeconds = 10;
constexpr double kMaxCorrectionFactor = 4;
constexpr Duration kRetryAfterFailure = 1s;

/// @return the verdict after two attempts. The less certain one takes precedence, so that a request
///   which may have run is never reported as not run.
Verdict CombineVerdicts(Verdict earlier, Verdict later) {
  if (earlier == Verdict::kUnknown || later == Verdict::kNotRun) return earlier;
  return later;
}

std::string_view FailureReason(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "no backend server took the request";
    case Verdict::kFailed:
      return "the backend server failed";
    default:
      return "no answer from the backend server";
  }
}

/// @return why the request can no longer run after a change of the policy; empty if it can.
std::string_view RemovalReason(const RequestRecord& record) {
  if (!record.queue->declared) return "the queue was removed from the configuration";
  if (!record.team->declared) return "the team was removed from the configuration";
  if (!record.team->MayUse(record.queue->name)) {
    return "the queue was removed from the queues of the team";
  }
  return {};
}

}  // namespace

// In the order of AttemptOutcome.
const std::array<Engine::OutcomeRule, kAttemptOutcomeCount> Engine::kOutcomeRules{{
    {.handler = &Engine::Answer, .verdict = Verdict::kAnswered, .may_have_run = true},
    {.handler = &Engine::Retry},
    {.handler = &Engine::RetryIfIdempotent, .verdict = Verdict::kFailed, .may_have_run = true},
    {.handler = &Engine::RetryIfIdempotent, .verdict = Verdict::kUnknown, .may_have_run = true},
    {.handler = &Engine::GiveUp, .counts_for_health = false},
}};

std::vector<Action> Engine::Handle(const Event& event, TimePoint now) {
  using Handler = void (Engine::*)(const Event&);
  // In the order of the alternatives of Event.
  static constexpr std::array<Handler, std::variant_size_v<Event>> kHandlers{
      &Engine::OnPolicyChanged,    &Engine::OnExecutorsChanged, &Engine::OnRequestArrived,
      &Engine::OnRequestCancelled, &Engine::OnAttemptEnded,     &Engine::OnTick};
  m_now = now;
  (this->*kHandlers[event.index()])(event);
  ExpireWaiting();
  StartWaiting();
  return std::exchange(m_actions, {});
}

std::map<PoolName, size_t> Engine::WaitingByPool() const {
  std::map<PoolName, size_t> counts;
  for (const auto& [name, pool] : m_pools) counts.emplace(name, pool->waiting);
  return counts;
}

std::vector<QueueLoad> Engine::ReadQueues() const {
  std::vector<QueueLoad> loads;
  for (const auto& [name, queue] : m_queues) {
    if (!queue->declared) continue;
    const Duration typical = queue->run_times.Typical(queue->policy.declared_run_time);
    loads.push_back({.name = name, .waiting = queue->waiting, .typical_run_time = typical});
  }
  return loads;
}

void Engine::OnPolicyChanged(const Event& event) {
  const Policy& policy = std::get<PolicyChanged>(event).policy;
  std::vector<std::pair<RequestRecord*, State>> waiting;
  for (const auto& [number, record] : m_records) {
    if (record->state != State::kRunning) waiting.emplace_back(record.get(), record->state);
  }
  std::sort(waiting.begin(), waiting.end(),
            [](const auto& a, const auto& b) { return a.first->number < b.first->number; });
  for (const auto& [record, state] : waiting) Dequeue(*record);
  for (const auto& [name, team] : m_teams) ResumeTeam(*team);
  m_retry_ratio = policy.retry_budget;
  DeclareTeams(policy);
  DeclareQueues(policy);
  for (const auto& [record, state] : waiting) {
    const std::string_view removed = RemovalReason(*record);
    if (removed.empty()) {
      Enqueue(*record, state);
    } else {
      End(*record, std::string(removed));
    }
  }
}

void Engine::DeclareTeams(const Policy& policy) {
  m_accepts_any_team = policy.teams.empty();
  for (const auto& [name, team] : m_teams) {
    team->declared = m_accepts_any_team;
    team->weight = 1;
    team->max_in_flight = 0;
    team->queues.clear();
  }
  for (const auto& [name, declared] : policy.teams) {
    TeamState& team = TeamOf(name);
    team.weight = declared.weight;
    team.max_in_flight = declared.max_in_flight;
    team.queues = declared.queues;
    team.declared = true;
  }
}

void Engine::DeclareQueues(const Policy& policy) {
  for (const auto& [name, queue] : m_queues) queue->declared = false;
  for (const auto& [name, pool] : m_pools) pool->policy = {};
  for (const auto& [name, declared] : policy.pools) PoolOf(name).policy = declared;
  std::set<PoolState*> with_urgent_queue;
  for (const auto& [name, declared] : policy.queues) {
    QueueState& queue = QueueOf(name);
    queue.policy = declared;
    queue.pool = &PoolOf(declared.pool);
    queue.declared = true;
    if (declared.priority == Priority::kUrgent) with_urgent_queue.insert(queue.pool);
  }
  for (const auto& [name, pool] : m_pools) {
    const bool reserves = with_urgent_queue.contains(pool.get());
    pool->executors.SetReserve(reserves ? pool->policy.urgent_reserve : 0);
    MarkDirty(*pool);
  }
}

void Engine::OnExecutorsChanged(const Event& event) {
  m_executors.BeginList();
  for (const ExecutorState& state : std::get<ExecutorsChanged>(event).executors) {
    PoolState& pool = PoolOf(state.pool);
    if (m_executors.Update(state, pool, m_now)) MarkDirty(pool);
  }
  m_executors.EndList();
}

void Engine::OnRequestArrived(const Event& event) {
  const Request& request = std::get<RequestArrived>(event).request;
  const auto queue_item = m_queues.find(request.queue);
  if (queue_item == m_queues.end() || !queue_item->second->declared) {
    return Refuse(request.number, "unknown queue");
  }
  if (m_accepts_any_team) TeamOf(request.team).declared = true;
  const auto team_item = m_teams.find(request.team);
  if (team_item == m_teams.end() || !team_item->second->declared) {
    return Refuse(request.number, "unknown team");
  }
  if (!team_item->second->MayUse(request.queue)) {
    return Refuse(request.number, "the team may not use this queue");
  }
  QueueState& queue = *queue_item->second;
  TeamState& team = *team_item->second;
  if (queue.waiting >= queue.policy.max_queued) DropIfUnmeetable(queue);
  if (auto refusal = Admission(queue, team, request.deadline, m_now).Check()) {
    return Refuse(request.number, std::move(refusal->reason), refusal->retry_after);
  }
  auto record = std::make_unique<RequestRecord>();
  record->number = request.number;
  record->deadline = request.deadline;
  record->queue = &queue;
  record->team = &team;
  record->idempotent = queue.policy.idempotent;
  record->expires = std::min(request.deadline, m_now + queue.policy.wait_limit);
  const auto [item, added] = m_records.emplace(request.number, std::move(record));
  if (added) Enqueue(*item->second, State::kQueued);
}

void Engine::DropIfUnmeetable(const QueueState& queue) {
  const auto first = m_expiry.First(queue.index);
  if (!first) return;
  RequestRecord& record = *m_records.at(*first);
  if (CannotMeetDeadline(record, m_now)) {
    End(record, "the deadline can not be met", EstimateDrain(queue));
  }
}

void Engine::OnRequestCancelled(const Event& event) {
  const auto item = m_records.find(std::get<RequestCancelled>(event).number);
  if (item == m_records.end()) return;
  RequestRecord& record = *item->second;
  record.cancelled = true;
  if (record.state == State::kRunning) return;
  Dequeue(record);
  Erase(record);
}

void Engine::OnAttemptEnded(const Event& event) {
  const auto& ended = std::get<AttemptEnded>(event);
  const auto item = m_records.find(ended.number);
  if (item == m_records.end() || item->second->state != State::kRunning) return;
  RequestRecord& record = *item->second;
  const OutcomeRule& rule = kOutcomeRules[static_cast<size_t>(ended.outcome)];
  LearnRunTime(record, ended.outcome);
  ReleaseSlot(record, rule);
  if (record.cancelled) return Erase(record);
  record.verdict = CombineVerdicts(record.verdict, rule.verdict);
  (this->*rule.handler)(record);
}

void Engine::OnTick(const Event&) {
  for (const auto& [name, pool] : m_pools) MarkDirty(*pool);
}

void Engine::LearnRunTime(const RequestRecord& record, AttemptOutcome outcome) {
  RunTimeEstimator& run_times = record.queue->run_times;
  const Duration elapsed = m_now - record.started;
  // Failures are often immediate and say nothing about the run time.
  if (outcome == AttemptOutcome::kAnswered) run_times.Observe(elapsed, m_now);
  if (outcome == AttemptOutcome::kUnknown) run_times.ObserveAtLeast(elapsed);
}

void Engine::ReleaseSlot(RequestRecord& record, const OutcomeRule& rule) {
  Executor& executor = *std::exchange(record.executor, nullptr);
  record.state = State::kNone;
  const double difference =
      std::clamp(ToSeconds(m_now - record.started) - record.charged, -record.charged,
                 std::max(kMaxCorrectionSeconds, kMaxCorrectionFactor * record.charged));
  record.pool->classes[IndexOf(record.priority)].Correct(record.team->index, difference);
  record.pool->scheduler.Correct(record.priority, difference);

  --record.team->running;
  ResumeTeam(*record.team, record.pool);

  const bool success = rule.verdict == Verdict::kAnswered;
  if (!success) {
    const auto known =
        std::find_if(record.failed_executors.begin(), record.failed_executors.end(),
                     [&](const FailedExecutor& failed) { return failed.executor == executor.id; });
    FailedExecutor& failed =
        known != record.failed_executors.end()
            ? *known
            : record.failed_executors.emplace_back(FailedExecutor{.executor = executor.id});
    ++failed.attempts;
    failed.may_have_run |= rule.may_have_run;
  }
  // Attempts that end because their caller has gone away do not count, so that many cancellations
  // at once do not eject an executor.
  const bool ended_by_caller = record.cancelled && !success;
  const bool urgent = record.priority == Priority::kUrgent;
  const bool counts_for_health = rule.counts_for_health && !ended_by_caller;
  if (PoolState* pool = m_executors.Release(executor, urgent, counts_for_health, success, m_now)) {
    MarkDirty(*pool);
  }
}

void Engine::Answer(RequestRecord& record) {
  record.verdict = Verdict::kAnswered;
  End(record, {});
}

void Engine::RetryIfIdempotent(RequestRecord& record) {
  if (record.idempotent && record.queue->policy.idempotent) return Retry(record);
  End(record, std::string(FailureReason(record.verdict)));
}

void Engine::GiveUp(RequestRecord& record) {
  End(record, "the entry gave the request up before it was sent", kRetryAfterFailure);
}

void Engine::Retry(RequestRecord& record) {
  const int max_attempts = record.queue->policy.max_attempts;
  if (m_executors.CountFailedReliableExecutors(record) >= kMaxFailedReliableExecutors) {
    m_executors.RetractFailures(record, m_now);
    record.verdict = Verdict::kFailed;
    return End(record, "can never run: it failed on 3 different healthy executors");
  }
  if (m_executors.CountReliableAttempts(record) >= max_attempts ||
      record.attempts >= max_attempts * kMaxTotalAttemptsFactor) {
    return End(record, std::string(FailureReason(record.verdict)), kRetryAfterFailure);
  }
  const std::string_view removed = RemovalReason(record);
  if (!removed.empty()) return End(record, std::string(removed));
  if (m_now >= record.deadline || CannotMeetDeadline(record, m_now)) {
    return End(record, "the deadline leaves no time for another attempt", kRetryAfterFailure);
  }
  if (!record.queue->pool->retry_budget.Take(m_now)) {
    return End(record, "the pool's retry budget is used up", kRetryAfterFailure);
  }
  record.expires = std::min(record.deadline, m_now + record.queue->policy.wait_limit);
  Enqueue(record, State::kRetrying);
}

void Engine::ExpireWaiting() {
  while (const auto expired = m_expiry.FindExpired(m_now)) {
    RequestRecord& record = *m_records.at(*expired);
    End(record, "deadline passed in the queue", EstimateDrain(*record.queue));
  }
}

void Engine::StartWaiting() {
  for (PoolState* pool : std::exchange(m_dirty, {})) {
    pool->dirty = false;
    pool->executors.ProcessDuePauses(m_now);
    while (StartRetry(*pool) || StartQueued(*pool)) {
    }
  }
}

bool Engine::StartRetry(PoolState& pool) {
  RequestRecord* first_blocked = nullptr;
  for (int scanned = 0; scanned < kMaxRetriesScanned; ++scanned) {
    RequestRecord* record = pool.retries.front();
    const bool free = pool.executors.HasFree(true);
    if (!record || record == first_blocked || !free) return false;
    if (CannotMeetDeadline(*record, m_now)) {
      End(*record, "the deadline leaves no time for another attempt", kRetryAfterFailure);
      return true;
    }
    if (record->team->IsAtLimit()) {
      HoldRetry(*record);
      return true;
    }
    if (Executor* executor = ChooseExecutor(*record)) {
      Dequeue(*record);
      Start(*record, *executor);
      return true;
    }
    if (!first_blocked) first_blocked = record;
    pool.retries.Remove(*record);
    pool.retries.PushBack(*record);
  }
  return false;
}

bool Engine::StartQueued(PoolState& pool) {
  if (!pool.executors.HasFree(true)) return false;
  const bool non_urgent_may_start = pool.executors.HasFree(false);
  PriorityScheduler::Mask startable{};
  for (size_t index = 0; index < kPriorityCount; ++index) {
    const bool may_start = non_urgent_may_start || index == IndexOf(Priority::kUrgent);
    startable[index] = may_start && HasStartable(pool, static_cast<Priority>(index));
  }
  while (std::find(startable.begin(), startable.end(), true) != startable.end()) {
    const Priority priority = pool.scheduler.Next(startable);
    PriorityClassQueue& queue = pool.classes[IndexOf(priority)];
    RequestRecord& record = queue.Front();
    if (CannotMeetDeadline(record, m_now)) {
      End(record, "the deadline can not be met", EstimateDrain(*record.queue));
      return true;
    }
    Executor* executor = ChooseExecutor(record);
    if (!executor) {
      startable[IndexOf(priority)] = false;
      continue;
    }
    const QueueState& from = *record.queue;
    record.charged = ToSeconds(from.run_times.Typical(from.policy.declared_run_time));
    queue.Charge(record.team->index, record.charged);
    pool.scheduler.Charge(priority, record.charged, startable);
    Dequeue(record);
    pool.retry_budget.CountFirstAttempt(m_retry_ratio);
    Start(record, *executor);
    return true;
  }
  return false;
}

bool Engine::HasStartable(PoolState& pool, Priority priority) {
  PriorityClassQueue& queue = pool.classes[IndexOf(priority)];
  while (queue.HasStartable()) {
    TeamState& team = *queue.Front().team;
    if (!team.IsAtLimit()) return true;
    queue.Hold(team.index);
    team.held_classes.push_back({.pool = &pool, .priority = priority});
  }
  return false;
}

void Engine::HoldRetry(RequestRecord& record) {
  record.pool->retries.Remove(record);
  record.team->held_retries.PushBack(record);
  record.held = true;
}

void Engine::ResumeTeam(TeamState& team, PoolState* last) {
  for (const HeldClass& held : std::exchange(team.held_classes, {})) {
    PriorityClassQueue& queue = held.pool->classes[IndexOf(held.priority)];
    if (!queue.HasStartable()) held.pool->scheduler.Activate(held.priority);
    queue.Resume(team.index);
    if (held.pool != last) MarkDirty(*held.pool);
  }
  while (RequestRecord* record = team.held_retries.front()) {
    team.held_retries.Remove(*record);
    record->held = false;
    record->pool->retries.PushBack(*record);
    if (record->pool != last) MarkDirty(*record->pool);
  }
  if (last) MarkDirty(*last);
}

void Engine::Start(RequestRecord& record, Executor& executor) {
  record.state = State::kRunning;
  ++record.team->running;
  record.executor = &executor;
  record.started = m_now;
  if (record.attempts > 0) record.charged = 0;
  ++record.attempts;
  executor.pool->executors.Occupy(executor, record.priority == Priority::kUrgent, m_now);
  m_actions.push_back(
      StartAttempt{.number = record.number, .executor = executor.id, .attempt = record.attempts});
}

Executor* Engine::ChooseExecutor(const RequestRecord& record) const {
  const bool urgent = record.priority == Priority::kUrgent;
  if (!record.pool->executors.HasFree(urgent)) return nullptr;
  const std::vector<const Executor*> avoid = m_executors.FindExecutorsToAvoid(record);
  return record.pool->executors.Choose(
      {.avoid = avoid, .urgent = urgent, .may_probe = record.idempotent && record.attempts == 0},
      m_now);
}

void Engine::Enqueue(RequestRecord& record, State state) {
  QueueState& queue = *record.queue;
  record.state = state;
  record.pool = queue.pool;
  record.priority = queue.policy.priority;
  record.work = ToSeconds(queue.run_times.Optimistic(m_now));
  if (state == State::kRetrying) {
    record.pool->retries.PushBack(record);
  } else {
    PriorityClassQueue& waiting = record.pool->classes[IndexOf(record.priority)];
    if (!waiting.HasStartable()) record.pool->scheduler.Activate(record.priority);
    waiting.Push(record);
  }
  m_expiry.Add(queue.index, record.expires, record.number);
  ++queue.waiting;
  ++record.pool->waiting;
  ++m_waiting;
  MarkDirty(*record.pool);
}

void Engine::Dequeue(RequestRecord& record) {
  if (record.state == State::kRetrying) {
    (record.held ? record.team->held_retries : record.pool->retries).Remove(record);
    record.held = false;
  } else {
    record.pool->classes[IndexOf(record.priority)].Remove(record);
  }
  record.state = State::kNone;
  m_expiry.Remove(record.queue->index, record.expires, record.number);
  --record.queue->waiting;
  --record.pool->waiting;
  --m_waiting;
}

void Engine::End(RequestRecord& record, std::string reason, Duration retry_after) {
  if (record.state != State::kNone) Dequeue(record);
  m_actions.push_back(EndRequest{.number = record.number,
                                 .verdict = record.verdict,
                                 .reason = std::move(reason),
                                 .retry_after = retry_after});
  Erase(record);
}

void Engine::Refuse(RequestNumber number, std::string reason, Duration retry_after) {
  m_actions.push_back(EndRequest{.number = number,
                                 .verdict = Verdict::kNotRun,
                                 .reason = std::move(reason),
                                 .retry_after = retry_after});
}

void Engine::Erase(RequestRecord& record) { m_records.erase(record.number); }

void Engine::MarkDirty(PoolState& pool) {
  if (std::exchange(pool.dirty, true)) return;
  m_dirty.push_back(&pool);
}

QueueState& Engine::QueueOf(const QueueName& name) {
  auto& queue = m_queues[name];
  if (!queue) {
    queue = std::make_unique<QueueState>();
    queue->index = static_cast<uint32_t>(m_queues.size() - 1);
    queue->name = name;
  }
  return *queue;
}

TeamState& Engine::TeamOf(const TeamName& name) {
  auto& team = m_teams[name];
  if (!team) {
    team = std::make_unique<TeamState>();
    team->index = static_cast<uint32_t>(m_teams.size() - 1);
  }
  return *team;
}

PoolState& Engine::PoolOf(const PoolName& name) {
  auto& pool = m_pools[name];
  if (!pool) pool = std::make_unique<PoolState>();
  return *pool;
}

}  // namespace citronferry::dispatch
