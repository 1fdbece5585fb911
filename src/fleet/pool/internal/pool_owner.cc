#include "fleet/pool/internal/pool_owner.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "decisions/scheduling/relay_assignment.h"
#include "fleet/backoff.h"
#include "fleet/pool/internal/executor_link.h"
#include "fleet/pool/internal/grant_coordinator.h"
#include "fleet/pool/internal/instance_mover.h"
#include "fleet/pool/internal/maintenance_coordinator.h"
#include "fleet/progress_rows.h"
#include "fleet/relay/relay_client.h"
#include "fleet/run_time_rows.h"
#include "fleet/tables.h"
#include "supervision/time_of_day.h"
#include "telemetry/log.h"

namespace citronferry::fleet {
namespace {

using scheduling::Orders;
using scheduling::PoolScheduler;

constexpr Duration kTickInterval = 100ms;
constexpr int kTicksPerGaugeUpdate = 10;
// In a surge an owner of 85 executors receives a thousand ended runs per second; those within this
// interval are handled by one plan. Short compared to tasks that take half a second.
constexpr Duration kMinPlanInterval = 8ms;
// The new executor of a moved instance registers 1.5 s after the order. With this time on top, the
// next order follows safely after the 3 s that orders of two holders have to be apart.
constexpr Duration kSettleTime = 2s;
// Bounds the delay of new jobs by an unresponsive connection to the store.
constexpr Duration kFollowWait = 700ms;
// Jobs that arrive within this time are planned together.
constexpr Duration kFollowPause = 10ms;
constexpr Duration kInitialRetryDelay = 50ms;
constexpr Duration kMaxRetryDelay = 500ms;
// Upper bound of the age of an inherited job, since the clocks of entries differ.
constexpr Duration kMaxInheritedAge = 60s;
constexpr Duration kStopDeadline = 2s;
// Finished jobs are kept for two minutes; some seconds more cost nothing.
constexpr Duration kRemovalInterval = 2s;
constexpr Duration kRemovalTimeout = 1s;
// Lowest rate of an executor's clock relative to the clock of an entry. On a slow clock a lease
// lasts longer than its nominal time.
constexpr double kMinClockRate = 0.98;
constexpr Duration kLeaseMargin = 200ms;
constexpr double kBytesPerMegabit = 125'000;
// The rest is for leases, reports, commits and the store's feeds, which must not wait behind
// starts.
constexpr double kStartShareOfLink = 0.4;
// Longest time between the last check of a start and its arrival: a relay drops what takes longer.
constexpr Duration kMaxStartTransit = 1s;
// Age that the view of the jobs of an owner reaches that keeps up and has no new jobs: it commits
// every 600 ms and waits up to 700 ms for a change.
constexpr Duration kUsualJobsAge = 1500ms;
// Sizes of a start without the payload: a request with its header, and a part of a message.
constexpr int64_t kDirectStartBytes = 400;
constexpr int64_t kRelayedStartBytes = 120;

// Longest time from the start of a lease to the end of what runs under it.
Duration LeaseBound(Duration lease) {
  return FromSeconds(ToSeconds(lease) / kMinClockRate) + kLeaseMargin;
}

}  // namespace

PoolOwner::PoolOwner(FleetContext& context, PoolName pool, Ownership ownership)
    : m_context(context),
      m_pool(std::move(pool)),
      m_ownership(std::move(ownership)),
      m_directory(context),
      m_jobs(MakeTableFeed(context.platform.rows, JobsTable(m_pool), JobPartitions(), kFollowWait)),
      m_pacer(kMinPlanInterval) {
  m_scheduler = std::make_unique<PoolScheduler>(
      scheduling::SchedulerOptions{
          .epoch = m_ownership.epoch,
          .taken_over_at = context.timers.Now(),
          .lease_bound = LeaseBound(context.options.executor_lease),
          .longest_lease_bound = LeaseBound(context.options.longest_executor_lease),
          .final_retention = context.options.status_retention,
          .start_bytes_per_second =
              context.options.link_mbps * kBytesPerMegabit * kStartShareOfLink},
      scheduling::MakeDurationModel(context.options.run_times));
  m_directory.InheritOrders(m_ownership.ordered_instances, m_ownership.acquired_at);
  m_committer = std::make_unique<StateCommitter>(
      context, m_pool, m_ownership.epoch, m_ownership.acquired_at, *m_scheduler,
      [this] { OnCommitted(); }, &m_directory);
  m_maintenance = std::make_unique<MaintenanceCoordinator>(*this, m_directory);
  m_mover = std::make_unique<InstanceMover>(*this, m_directory, [this](const InstanceId& instance) {
    return m_maintenance->IsInMaintenance(instance);
  });
  m_grants = std::make_unique<GrantCoordinator>(*this);
}

PoolOwner::~PoolOwner() = default;

bool PoolOwner::may_order() const {
  return !m_ended.requested() && m_context.timers.Now() < m_committer->valid_until();
}

bool PoolOwner::may_start() const {
  const Duration longest =
      std::max(m_context.options.cancellation_bound - kMaxStartTransit, kUsualJobsAge);
  const TimePoint read_up_to = m_committer->jobs_view().complete_at();
  return may_order() && m_context.timers.Now() - read_up_to <= longest;
}

bool PoolOwner::HasSettled(const Instance& instance) const {
  if (instance.executor.empty()) {
    return m_directory.TimeInPool(instance.id, m_pool) >= m_context.options.holder_change_interval;
  }
  const scheduling::ExecutorState* executor = m_scheduler->FindExecutor(instance.executor);
  const TimePoint now = m_context.timers.Now();
  return executor && now - executor->listed_at.value_or(now) >= kSettleTime;
}

QCoro::Task<bool> PoolOwner::AnnounceOrder(const OrderAnnouncement& announcement,
                                           InstanceOrderKind kind) {
  const InstanceId& instance = announcement.instance();
  if (!may_order() || !m_directory.MayOrder(instance, m_pool, kind)) co_return false;
  // An order without a response has been announced before.
  if (m_directory.HasUnansweredOrder(instance)) co_return true;
  const bool durable = co_await m_committer->CommitAgain();
  if (!durable || !may_order()) co_return false;
  co_return m_directory.MayOrder(instance, m_pool, kind);
}

void PoolOwner::End(Ret reason) {
  if (m_ended.requested()) return;
  m_reason = std::move(reason);
  m_ended.Request();
}

QCoro::Task<Ret> PoolOwner::Run(StopSignal& stop) {
  ApplyConfiguration();
  Subscription stopping = stop.Subscribe([this] { End(MakeOk()); });
  // Renews the ownership from the start: on a thin link, reading the state of a pool takes longer
  // than the lease of an owner.
  m_tasks.Spawn([this]() -> QCoro::Task<void> { return Commit(); });
  const Ret loaded = co_await Load();
  if (!loaded.ok()) End(loaded);
  if (!m_ended.requested()) StartWork();
  static_cast<void>(co_await m_committer_ended.Wait());
  m_registry_subscription = {};
  m_configuration_subscription = {};
  if (m_context.relays) m_context.relays->SetRelays(m_pool, {});
  if (stop.requested()) co_await Release();
  const Ret joined = co_await m_tasks.Join(m_context.timers, kStopDeadline);
  if (!joined.ok()) {
    Log(LogLevel::kError, "pool_tasks_left",
        {{"pool", m_pool.view()}, {"error", joined.message()}});
    // The tasks refer to this object, so it must not be destroyed before they have ended.
    while (m_tasks.running() > 0) co_await SleepFor(m_context.timers, kStopDeadline);
  }
  LogDecisions();
  co_return m_reason;
}

QCoro::Task<void> PoolOwner::Commit() {
  const Ret committed = co_await m_committer->Run(m_ended);
  if (!committed.ok()) End(committed);
  m_committer_ended.Set(true);
}

QCoro::Task<void> PoolOwner::Release() {
  const TimePoint start = m_context.timers.Now();
  const EntryId successor = ChooseSuccessor();
  std::function<std::vector<std::string>()> handover = [this] { return MakeHandoverRows(); };
  co_await m_committer->ReleaseOwnership(successor, std::move(handover));
  Log(LogLevel::kInfo, "pool_released",
      {{"pool", m_pool.view()},
       {"epoch", m_ownership.epoch},
       {"successor", successor.view()},
       {"took_ms", ToMilliseconds(m_context.timers.Now() - start)}});
}

std::vector<std::string> PoolOwner::MakeHandoverRows() const {
  // What an owner has not read, or has been fenced from, it does not know.
  if (!m_loaded || m_scheduler->fenced()) return {};
  const HandoverRecord record{.pool = m_scheduler->MakeHandover(m_context.timers.Now()),
                              .maintenance = m_maintenance->ordered()};
  std::vector<std::string> rows = EncodeHandover(record);
  if (rows.empty()) {
    Log(LogLevel::kWarning, "handover_too_large",
        {{"pool", m_pool.view()}, {"executors", record.pool.executors.size()}});
  }
  return rows;
}

EntryId PoolOwner::ChooseSuccessor() const {
  std::map<std::string_view, int> owned;
  for (const auto& [pool, owner] : m_context.owners) ++owned[owner.holder];
  std::vector<scheduling::SuccessorCandidate> candidates;
  for (const auto& [id, entry] : m_context.entries.Get()) {
    if (id.view() == m_context.options.name) continue;
    const auto pools = owned.find(id.view());
    candidates.push_back({.entry = id,
                          .capacity = {.cores = entry.cores, .link_mbps = entry.link_mbps},
                          .owned_pools = pools == owned.end() ? 0 : pools->second,
                          .announced_version = entry.announced_version});
  }
  return scheduling::ChooseSuccessor(candidates).value_or(EntryId());
}

void PoolOwner::StartWork() {
  m_loaded = true;
  m_committer->SetLoaded();
  m_configuration_subscription =
      m_context.configuration.Subscribe([this](const Configuration&) { ApplyConfiguration(); });
  m_registry_subscription =
      m_context.registry.Subscribe([this](const ExecutorListing&) { ApplyRegistry(); });
  ApplyRegistry();
  SyncLinks();
  m_tasks.Spawn([this]() -> QCoro::Task<void> { return FollowJobs(); });
  m_tasks.Spawn([this]() -> QCoro::Task<void> { return Tick(); });
  m_tasks.Spawn([this]() -> QCoro::Task<void> { return AskAdviser(); });
  m_tasks.Spawn([this]() -> QCoro::Task<void> { return RemoveExpiredJobs(); });
  m_tasks.Spawn([this]() -> QCoro::Task<void> { return m_maintenance->Run(); });
  m_tasks.Spawn([this]() -> QCoro::Task<void> { return m_mover->Run(); });
  m_tasks.Spawn([this]() -> QCoro::Task<void> { return m_grants->Follow(); });
  m_tasks.Spawn([this]() -> QCoro::Task<void> { return m_grants->Run(); });
}

QCoro::Task<Ret> PoolOwner::Load() {
  RowStore& rows = m_context.platform.rows;
  const auto links = co_await ReadPartition(rows, kLinksTable, m_pool.str());
  if (!links.ok()) co_return links.ret();
  auto progress = co_await ReadProgress(rows, m_pool);
  if (!progress.ok()) co_return progress.ret();
  const auto jobs = co_await ReadPartitions(rows, JobsTable(m_pool), JobPartitions());
  if (!jobs.ok()) co_return jobs.ret();
  const auto handover = co_await LoadHandover();
  for (const Row& row : links->rows) {
    const scheduling::ExecutorId executor(row.key.key);
    const auto link = DecodeLink(executor, row.value);
    if (!link.ok()) {
      Log(LogLevel::kError, "link_unreadable",
          {{"executor", row.key.key}, {"error", link.ret().message()}});
    }
    // Tasks may run on the executor all the same. Its address is in the registry.
    m_scheduler->InheritExecutor(link.ok() ? link.value()
                                           : scheduling::LinkRecord{.executor = executor});
  }
  m_committer->SetFurtherRows(std::move(progress->further_rows));
  const std::map<JobId, scheduling::JobProgress>& states = progress->jobs;
  co_await LoadRunTimes();
  const TimePoint now = m_context.timers.Now();
  const int64_t unix_ms = UnixMilliseconds();
  std::set<JobId> defined;
  for (const Row& row : jobs->rows) {
    if (CancelledJob(row.key.key)) continue;
    defined.emplace(row.key.key);
    const auto job = ReadDefinition(row);
    // Which tasks of a job with unreadable progress are done is not known, so none is started.
    if (!job || progress->unreadable.contains(job->id)) continue;
    const Duration age =
        std::clamp<Duration>(std::chrono::milliseconds(unix_ms - job->accepted_unix_ms),
                             Duration::zero(), kMaxInheritedAge);
    const auto state = states.find(job->id);
    m_scheduler->AddJob(job, state == states.end() ? nullptr : &state->second, now - age, true);
  }
  for (const Row& row : jobs->rows) {
    if (const auto job = CancelledJob(row.key.key)) m_scheduler->CancelJob(*job, now);
  }
  if (handover) {
    m_scheduler->InheritHandover(handover->pool);
    m_maintenance->Resume(handover->maintenance);
  }
  m_jobs.StartAt(jobs->version);
  m_committer->jobs_view().OnLoaded(jobs->clock_ms, m_ownership.acquired_at);
  // A previous owner has removed the definitions of these jobs, but not their progress.
  for (const auto& [id, state] : states) {
    if (!defined.contains(id)) m_scheduler->OnDefinitionsRemoved(std::span(&id, 1));
  }
  Log(LogLevel::kInfo, "pool_loaded",
      {{"pool", m_pool.view()},
       {"epoch", m_ownership.epoch},
       {"jobs", jobs->rows.size()},
       {"open_jobs", m_scheduler->open_jobs()},
       {"executors", links->rows.size()},
       {"handover", handover.has_value()},
       {"took_ms", ToMilliseconds(now - m_ownership.acquired_at)}});
  co_return MakeOk();
}

QCoro::Task<std::optional<HandoverRecord>> PoolOwner::LoadHandover() {
  if (!m_ownership.released_version) co_return std::nullopt;
  const auto rows = co_await ReadPartition(m_context.platform.rows, kHandoversTable, m_pool.str());
  auto record = rows.ok() ? DecodeHandover(rows->rows, *m_ownership.released_version)
                          : RetVal<HandoverRecord>(rows.ret());
  if (!record.ok()) {
    Log(LogLevel::kWarning, "handover_unusable",
        {{"pool", m_pool.view()}, {"error", record.ret().message()}});
    co_return std::nullopt;
  }
  std::optional<HandoverRecord> result = std::move(record).value();
  co_return result;
}

QCoro::Task<void> PoolOwner::LoadRunTimes() {
  const auto range = co_await ReadPartition(m_context.platform.rows, kRunTimesTable, m_pool.str());
  if (!range.ok()) {
    Log(LogLevel::kWarning, "run_times_unread",
        {{"pool", m_pool.view()}, {"error", range.ret().message()}});
    co_return;
  }
  size_t bytes = 0;
  size_t unreadable = 0;
  int64_t written_unix_ms = 0;
  for (const Row& row : range->rows) {
    bytes += row.value.size();
    const auto decoded = DecodeRunTimes(row.value);
    if (!decoded.ok()) {
      ++unreadable;
      Log(LogLevel::kError, "run_times_unreadable",
          {{"pool", m_pool.view()}, {"row", row.key.key}, {"error", decoded.ret().message()}});
      continue;
    }
    m_scheduler->run_times().Merge(decoded->state, m_context.timers.Now());
    written_unix_ms = std::max(written_unix_ms, decoded->written_unix_ms);
  }
  Log(LogLevel::kInfo, "run_times_loaded",
      {{"pool", m_pool.view()},
       {"rows", range->rows.size()},
       {"unreadable", unreadable},
       {"bytes", bytes},
       {"kinds", m_scheduler->run_times().size()},
       {"slow_executors", m_scheduler->run_times().executors().slow_executors()},
       {"age_ms", written_unix_ms > 0 ? UnixMilliseconds() - written_unix_ms : -1}});
}

QCoro::Task<void> PoolOwner::FollowJobs() {
  while (!m_ended.requested()) {
    const int64_t followed = m_jobs.version();
    const auto changes = co_await m_jobs.Next();
    if (m_ended.requested()) co_return;
    if (!changes.ok()) {
      co_await SleepFor(m_context.timers, m_jobs.retry_delay(), &m_ended);
      continue;
    }
    ApplyJobRows(changes->changed, followed);
    m_committer->jobs_view().OnRead(m_jobs.version());
    ProcessUpdates();
    co_await SleepFor(m_context.timers, kFollowPause, &m_ended);
  }
}

std::shared_ptr<const scheduling::JobDefinition> PoolOwner::ReadDefinition(const Row& row) const {
  auto job = DecodeJob(JobId(row.key.key), row.value);
  if (job.ok()) return std::make_shared<scheduling::JobDefinition>(std::move(job).value());
  Log(LogLevel::kError, "job_unreadable",
      {{"request", row.key.key}, {"error", job.ret().message()}});
  return nullptr;
}

void PoolOwner::ApplyJobRows(std::span<const Row> rows, int64_t followed) {
  const TimePoint now = m_context.timers.Now();
  for (const Row& row : rows) {
    if (const auto cancelled = CancelledJob(row.key.key)) {
      m_scheduler->CancelJob(*cancelled, now);
      continue;
    }
    // A snapshot has the rows of all jobs. One that was read before and is not held has expired and
    // is not removed yet, or it could not be decoded; it is not a new job.
    if (row.version <= followed || m_scheduler->HoldsJob(JobId(row.key.key))) continue;
    const auto definition = ReadDefinition(row);
    if (!definition) continue;
    LogNewJob(*definition);
    m_scheduler->AddJob(definition, nullptr, now, false);
    m_mover->ObserveArrival(m_scheduler->EstimateCoreSeconds(*definition));
  }
}

void PoolOwner::LogNewJob(const scheduling::JobDefinition& job) const {
  const scheduling::StepSpec& first = job.steps.front();
  Log(LogLevel::kInfo, "job_known",
      {{"pool", m_pool.view()},
       {"request", job.id.view()},
       {"queue", job.queue.view()},
       {"steps", job.steps.size()},
       {"tasks", first.replicas},
       {"cpu_millicores", first.request.cpu_millicores},
       {"estimate_ms", ToMilliseconds(first.estimated_duration)},
       {"image", first.image},
       {"lasting", first.long_running},
       {"copies_allowed", first.copies_allowed},
       {"fills", first.uses_leftover_cpu},
       {"max_per_executor", first.max_per_executor},
       {"max_unavailable", first.max_unavailable},
       {"tail_target_ms", ToMilliseconds(first.tail_target)},
       {"epoch", m_ownership.epoch}});
}

void PoolOwner::ApplyConfiguration() {
  std::vector<scheduling::QueuePolicy> queues;
  for (const QueueRoute& queue : m_context.configuration.Get().queues) {
    if (queue.policy.pool == m_pool) queues.push_back(queue.policy);
  }
  m_scheduler->SetQueues(queues);
  std::map<TeamName, double> weights;
  for (const Team& team : m_context.configuration.Get().teams) {
    weights.emplace(team.name, team.weight);
  }
  m_scheduler->SetTeamWeights(std::move(weights));
  m_grants->ApplyConfiguration();
}

void PoolOwner::ApplyRegistry() {
  const TimePoint now = m_context.timers.Now();
  std::set<scheduling::ExecutorId> listed;
  for (const auto& [id, executor] : m_context.registry.Get()) {
    if (executor.pool != m_pool) continue;
    listed.insert(id);
    m_scheduler->ListExecutor(executor, now);
  }
  for (const auto& id : m_listed) {
    if (!listed.contains(id)) m_scheduler->UnlistExecutor(id);
  }
  m_listed = std::move(listed);
  SyncLinks();
  ProcessUpdates();
}

void PoolOwner::Readmit(const scheduling::ExecutorId& id) {
  m_scheduler->SetCordoned(id, false);
  ApplyRegistry();
}

void PoolOwner::SyncLinks() {
  std::erase_if(m_links, [](const auto& entry) { return entry.second->finished(); });
  for (const auto& [id, executor] : m_scheduler->executors()) {
    std::unique_ptr<ExecutorLink>& link = m_links[id];
    if (link) continue;
    link = std::make_unique<ExecutorLink>(*this, id);
    link->Start(m_tasks);
  }
  UpdateRelays();
}

void PoolOwner::UpdateRelays() {
  if (!m_context.relays) return;
  std::vector<PoolName> pools;
  for (const Pool& pool : m_context.configuration.Get().pools) pools.push_back(pool.name);
  const auto owns_pool = [this](const EntryId& entry) {
    return std::any_of(m_context.owners.begin(), m_context.owners.end(),
                       [&](const auto& owner) { return owner.second.holder == entry.view(); });
  };
  std::vector<scheduling::RelayCandidate> candidates;
  for (const auto& [id, entry] : m_context.entries.Get()) {
    // The link and the processor of an owner are needed for its own pool.
    if (owns_pool(id) || m_context.relays->HasFailed(id)) continue;
    candidates.push_back(
        {.entry = id, .capacity = {.cores = entry.cores, .link_mbps = entry.link_mbps}});
  }
  std::vector<scheduling::ExecutorId> executors;
  for (const auto& [id, link] : m_links) executors.push_back(id);
  const scheduling::EntryCapacity own{.cores = m_context.options.cores,
                                      .link_mbps = m_context.options.link_mbps};
  const auto assigned = scheduling::AssignRelays(m_pool, pools, own, candidates, executors);
  std::map<EntryId, EntryRecord> used;
  for (const auto& [id, link] : m_links) {
    const auto found = assigned.find(id);
    link->SetRelay(found == assigned.end() ? EntryId() : found->second);
    if (found != assigned.end()) {
      used.emplace(found->second, m_context.entries.Get().at(found->second));
    }
  }
  std::vector<EntryRecord> relays;
  for (const auto& [id, record] : used) relays.push_back(record);
  m_context.relays->SetRelays(m_pool, relays);
}

QCoro::Task<void> PoolOwner::Tick() {
  int ticks = 0;
  while (!m_ended.requested()) {
    co_await SleepFor(m_context.timers, kTickInterval, &m_ended);
    m_scheduler->Advance(m_context.timers.Now(), UnixMilliseconds());
    ProcessUpdates();
    if (++ticks % kTicksPerGaugeUpdate == 0) {
      UpdateRelays();
      UpdateGauges();
    }
  }
}

// The adviser handles one call of an entry at a time. The next call is chosen after its response,
// so that no step waits behind calls that are no longer needed.
QCoro::Task<void> PoolOwner::AskAdviser() {
  Subscription closing = m_ended.Subscribe([this] { m_ticket_requests.Close(); });
  Backoff backoff(kInitialRetryDelay, kMaxRetryDelay);
  while (auto request = co_await m_ticket_requests.Next()) {
    if (m_ended.requested()) co_return;
    std::vector<scheduling::ExecutorId> executors;
    for (const auto& candidate : request->candidates) executors.push_back(candidate.executor);
    const TimePoint asked_at = m_context.timers.Now();
    const auto advice = co_await m_context.platform.adviser.Advise(
        request->step, std::move(executors), request->timeout);
    if (m_ended.requested()) co_return;
    std::map<scheduling::ExecutorId, std::string> tickets;
    if (advice.ok()) {
      for (const Ticket& ticket : advice->tickets) tickets[ticket.executor] = ticket.value;
    }
    Log(LogLevel::kInfo, "advice",
        {{"pool", m_pool.view()},
         {"request", request->step.job.view()},
         {"step", request->step.step},
         {"candidates", request->candidates.size()},
         {"first_candidate", request->candidates.front().executor.view()},
         {"tickets", tickets.size()},
         {"error", advice.ret().message()}});
    if (advice.ok()) {
      backoff.Reset();
      // The validity may have started as early as the call was sent.
      m_scheduler->SetTickets(*request, tickets, asked_at + advice->validity,
                              m_context.timers.Now());
    } else {
      m_scheduler->OnAdviceFailed(*request, m_context.timers.Now());
      co_await SleepFor(m_context.timers, backoff.Next(), &m_ended);
    }
    m_asking_adviser = false;
    ProcessUpdates();
  }
}

QCoro::Task<void> PoolOwner::RemoveExpiredJobs() {
  while (!m_ended.requested()) {
    co_await SleepFor(m_context.timers, kRemovalInterval, &m_ended);
    std::map<std::string, std::vector<JobId>> by_partition;
    for (JobId& job : m_scheduler->TakeExpiredJobs()) {
      by_partition[JobKey(m_pool, job).partition].push_back(std::move(job));
    }
    for (auto& [partition, jobs] : by_partition) {
      if (m_ended.requested()) co_return;
      // Jobs that exceed one transaction wait for the next pass.
      constexpr size_t kRowsOfJob = 3;
      const size_t count = std::min(jobs.size(), kMaxTransactionEntries / kRowsOfJob);
      m_scheduler->OnRemovalFailed(std::span(jobs).subspan(count));
      jobs.resize(count);
      Transaction transaction;
      for (const JobId& job : jobs) {
        transaction.removals.push_back(JobKey(m_pool, job));
        transaction.removals.push_back(CancelKey(m_pool, job));
        transaction.removals.push_back(JobPoolKey(job));
      }
      const TransactionResult result =
          co_await m_context.platform.rows.Transact(std::move(transaction), kRemovalTimeout);
      if (result.outcome == TransactionOutcome::kApplied) {
        m_scheduler->OnDefinitionsRemoved(jobs);
      } else {
        m_scheduler->OnRemovalFailed(jobs);
        Log(LogLevel::kWarning, "removal_failed",
            {{"pool", m_pool.view()}, {"jobs", jobs.size()}, {"error", result.error}});
      }
    }
  }
}

template <typename Order>
void PoolOwner::Send(std::vector<Order>& orders) {
  for (Order& order : orders) {
    const auto link = m_links.find(order.executor);
    if (link != m_links.end()) link->second->Send(std::move(order));
  }
}

void PoolOwner::ProcessUpdates() {
  if (m_ended.requested()) return;
  if (m_scheduler->plan_needed() && may_order()) Plan();
  if (!m_asking_adviser) {
    if (auto request = m_scheduler->NextTicketRequest(m_context.timers.Now())) {
      m_asking_adviser = true;
      m_ticket_requests.Push(std::move(*request));
    }
  }
  LogDecisions();
  if (m_scheduler->has_dirty()) m_committer->Wake();
}

void PoolOwner::Plan() {
  const TimePoint now = m_context.timers.Now();
  const Duration until_next = m_pacer.TimeUntilNext(now);
  if (until_next > Duration::zero()) {
    if (std::exchange(m_plan_waits, true)) return;
    m_next_plan = m_context.timers.SubscribeOnce(until_next, [this] {
      m_plan_waits = false;
      ProcessUpdates();
    });
    return;
  }
  const bool paused = !may_start();
  if (m_loaded && paused != std::exchange(m_starts_paused, paused)) {
    const Duration jobs_age = now - m_committer->jobs_view().complete_at();
    Log(LogLevel::kWarning, paused ? "starts_paused" : "starts_resumed",
        {{"pool", m_pool.view()}, {"jobs_age_ms", ToMilliseconds(jobs_age)}});
  }
  // Stops do not rely on the view of the jobs.
  Orders orders = paused ? m_scheduler->TakeOrders() : m_scheduler->Plan(now, this);
  Send(orders.starts);
  Send(orders.stops);
  Send(orders.paces);
  const TimePoint ended = m_context.timers.Now();
  m_pacer.OnPlanned(now, ended);
  m_context.metrics
      .LatencyHistogram("citronferry_fleet_plan_seconds",
                        "Time that an owner takes to plan its pool and to queue the orders.",
                        {{"pool", m_pool.str()}})
      .Observe(ToSeconds(ended - now));
  const Duration wait = m_scheduler->wait_for_link();
  if (wait <= Duration::zero()) return;
  m_plan_for_link = m_context.timers.SubscribeOnce(std::max(wait, kMinPlanInterval), [this] {
    if (may_order()) Plan();
  });
}

int64_t PoolOwner::BytesOf(const scheduling::JobDefinition& job,
                           const scheduling::ExecutorId& executor) const {
  const auto link = m_links.find(executor);
  const EntryId relay = link == m_links.end() ? EntryId() : link->second->relay();
  const auto payload = static_cast<int64_t>(job.payload.size());
  if (!m_context.relays || !m_context.relays->IsOpen(relay)) return payload + kDirectStartBytes;
  return kRelayedStartBytes + (m_context.relays->KnowsPayload(relay, job.id) ? 0 : payload);
}

void PoolOwner::OnCommitted() {
  for (const auto& [id, link] : m_links) link->OnCommitted();
  ProcessUpdates();
}

void PoolOwner::UpdateGauges() {
  const prometheus::Labels labels{{"pool", m_pool.str()}};
  const auto set = [&](std::string_view name, std::string_view help, double value) {
    m_context.metrics.Gauge(name, help, labels).Set(value);
  };
  const auto responding =
      std::count_if(m_scheduler->executors().begin(), m_scheduler->executors().end(),
                    [](const auto& entry) { return entry.second.responding; });
  set("citronferry_fleet_open_jobs", "Jobs of an owned pool that are not final.",
      static_cast<double>(m_scheduler->open_jobs()));
  set("citronferry_fleet_waiting_cores", "Cores asked for by tasks that do not fit.",
      m_scheduler->waiting_cores());
  set("citronferry_fleet_executors_in_touch", "Executors that answered the last call.",
      static_cast<double>(responding));
  const runtimes::RunTimes& run_times = m_scheduler->run_times();
  set("citronferry_fleet_run_time_kinds", "Kinds of tasks with learned run times.",
      static_cast<double>(run_times.size()));
  set("citronferry_fleet_slow_executors", "Executors that are slower than their pool.",
      static_cast<double>(run_times.executors().slow_executors()));
  set("citronferry_fleet_slow_racks", "Racks most of whose executors are slow.",
      static_cast<double>(run_times.executors().slow_racks()));
  set("citronferry_fleet_lease_margin_seconds", "Time until the ownership is no longer trusted.",
      ToSeconds(m_committer->valid_until() - m_context.timers.Now()));
  const auto [pending, ordered] = m_scheduler->CountPending();
  const Duration jobs_age = m_context.timers.Now() - m_committer->jobs_view().complete_at();
  set("citronferry_fleet_pending_jobs", "Jobs of which no executor has begun a task.",
      static_cast<double>(pending));
  set("citronferry_fleet_jobs_age_seconds", "Age of the owner's view of the submitted jobs.",
      ToSeconds(jobs_age));
  if (pending > 0) {
    Log(LogLevel::kInfo, "backlog",
        {{"pool", m_pool.view()},
         {"pending", pending},
         {"ordered", ordered},
         {"jobs_age_ms", ToMilliseconds(jobs_age)}});
  }
  m_grants->UpdateGauges();
  m_context.metrics
      .Gauge("citronferry_fleet_configuration_version", "Version of the configuration in force.")
      .Set(static_cast<double>(m_context.configuration.Get().version));
}

void PoolOwner::LogDecisions() {
  for (const scheduling::SchedulerNote& note : m_scheduler->TakeNotes()) {
    m_context.metrics
        .Counter("citronferry_fleet_decisions_total", "Decisions of pool owners by event.",
                 {{"event", note.event}})
        .Increment();
    Log(LogLevel::kInfo, note.event,
        {{"pool", m_pool.view()},
         {"request", note.task.job.view()},
         {"occurrence", note.task.occurrence},
         {"step", note.task.step},
         {"task", note.task.index},
         {"run", note.run},
         {"executor", note.executor.view()},
         {"epoch", m_ownership.epoch},
         {"detail", note.detail}});
  }
}

}  // namespace citronferry::fleet
