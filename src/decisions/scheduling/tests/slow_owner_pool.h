#ifndef CITRONFERRY_DECISIONS_SCHEDULING_TESTS_SLOW_OWNER_POOL_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_TESTS_SLOW_OWNER_POOL_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "decisions/scheduling/tests/fake_pool.h"

namespace citronferry::scheduling {

/// A pool of simulated executors whose owner makes calls and commits that take time. It follows
/// fleet::ExecutorLink and fleet::StateCommitter: one hold at a time for each executor, orders
/// beside it, time-outs after which a response is ignored although the call is carried out.
class SlowOwnerPool {
 public:
  static constexpr Duration kStep = 20ms;
  static constexpr Duration kHoldWait = 1s;
  static constexpr Duration kHoldTimeout = 600ms;
  static constexpr Duration kLastHoldTimeout = 3s;
  static constexpr Duration kOrderTimeout = 400ms;
  static constexpr Duration kMaxOrderAge = 1s;
  static constexpr Duration kDurableWait = 500ms;
  static constexpr Duration kRenewInterval = 600ms;
  static constexpr Duration kOwnerLease = 2200ms;
  static constexpr Duration kVacancyTimeout = 2500ms;
  static constexpr int kOrderAttempts = 2;

  /// Times that a call takes.
  struct Transit {
    Duration queued{};         ///< In the owner, for an order, before it is sent.
    Duration to_executor{};    ///< Until it is carried out.
    Duration to_owner{};       ///< Until the owner reads the response.
    bool relay_fails = false;  ///< For a hold: its time-out is that of a relay.
  };

  /// @param draw_transit returns the times of the next call to an executor.
  /// @param draw_commit returns the time of the next commit.
  SlowOwnerPool(int executors, std::function<Transit(const ExecutorId&)> draw_transit,
                std::function<Duration()> draw_commit)
      : m_draw_transit(std::move(draw_transit)), m_draw_commit(std::move(draw_commit)) {
    for (int i = 0; i < executors; ++i) {
      const ExecutorId id("x" + std::to_string(i));
      ExecutorDescription info{.id = id,
                               .pool = PoolName("pool"),
                               .address = "10.0.0.1:" + std::to_string(i),
                               .rack = RackName("r0"),
                               .capacity = {.cpu_millicores = 16000, .memory_mb = 64000},
                               .incarnation_unix_ms = 1'000'000};
      FakeExecutor& executor =
          m_executors.emplace(id, FakeExecutor(std::move(info), &m_ledger)).first->second;
      executor.calls_are_bound = true;
      executor.judges_starts_by_its_lease = true;
    }
    TakeOver();
  }

  /// Makes a new owner take over the pool; the previous one sends no more calls.
  void TakeOver(const PoolHandover* handover = nullptr) {
    m_commit.reset();
    m_links.clear();
    ++m_owner;
    m_epoch = m_newest_version = ++m_version;
    m_row_changed_at = m_valid_from = m_now;
    m_next_commit_at = m_now;
    m_scheduler =
        std::make_unique<PoolScheduler>(SchedulerOptions{.epoch = m_epoch, .taken_over_at = m_now});
    const QueuePolicy queue{.name = QueueName("queue"),
                            .pool = PoolName("pool"),
                            .max_attempts = 3,
                            .latency_multiplier = 1.6,
                            .target_latency = 600ms};
    m_scheduler->SetQueues(std::span(&queue, 1));
    for (const auto& [id, link] : m_store.links) m_scheduler->InheritExecutor(link);
    for (const auto& [id, job] : m_store.jobs) {
      const auto progress = m_store.progress.find(id);
      m_scheduler->AddJob(job, progress == m_store.progress.end() ? nullptr : &progress->second,
                          m_now, true);
    }
    for (const JobId& id : m_store.cancelled) m_scheduler->CancelJob(id, m_now);
    if (handover) m_scheduler->InheritHandover(*handover);
    m_registry.clear();
    UpdateRegistry();
    owner_stopped_until = {};
    if (log) log({.event = handover ? "owner_released" : "owner_replaced"}, m_now);
  }

  /// Makes the owner release the pool with a record of what may run; its last commit takes no time.
  bool HandOver() {
    if (m_now < owner_stopped_until || m_now >= m_valid_from + kOwnerLease) return false;
    FinishCommit();
    while (m_scheduler->has_dirty()) {
      m_commit = PendingCommit{.batch = m_scheduler->TakeCommit(98), .sent_at = m_now};
      FinishCommit();
    }
    const PoolHandover handover = m_scheduler->MakeHandover(m_now);
    TakeOver(&handover);
    return true;
  }

  void Submit(JobDefinition job) {
    auto definition = std::make_shared<const JobDefinition>(std::move(job));
    m_store.jobs[definition->id] = definition;
    m_scheduler->AddJob(definition, nullptr, m_now, false);
  }
  void Cancel(const JobId& job) {
    m_store.cancelled.insert(job);
    m_scheduler->CancelJob(job, m_now);
  }

  void Step() {
    m_now += kStep;
    for (auto& [id, executor] : m_executors) executor.Advance(m_now);
    CarryOutCalls();
    StepCommit();
    if (m_now - m_row_changed_at >= kVacancyTimeout) TakeOver();
    if (m_now < owner_stopped_until) return;
    UpdateRegistry();
    ReadResponses();
    for (auto& [id, executor] : m_executors) MakeHold(id);
    SendOrders();
    m_scheduler->Advance(m_now, ToMilliseconds(m_now.time_since_epoch()));
    if (may_order()) QueueOrders(m_scheduler->Plan(m_now));
    for (SchedulerNote& note : m_scheduler->TakeNotes()) {
      if (log) log(note, m_now);
    }
  }

  JobState State(const JobId& job) const {
    const auto progress = m_store.progress.find(job);
    return progress == m_store.progress.end() ? JobState::kQueued : progress->second.state;
  }
  FakeExecutor& executor(std::string_view id) { return m_executors.at(ExecutorId(id)); }
  std::map<ExecutorId, FakeExecutor>& executors() { return m_executors; }
  DurableState& store() { return m_store; }
  RunLedger& ledger() { return m_ledger; }
  TimePoint now() const { return m_now; }
  int owners() const { return m_owner; }

  TimePoint owner_stopped_until{};     ///< The owner does nothing before; calls in flight go on.
  std::set<ExecutorId> outdated_rows;  ///< Executors whose restarts do not reach the registry.
  std::function<void(const SchedulerNote&, TimePoint)> log;  ///< Optional.

 private:
  struct Call {
    int owner = 0;
    ExecutorId executor;
    std::variant<HoldTerms, StartOrder, StopOrder> request;
    StartTerms start_terms;
    int64_t stop_token = 0;
    TimePoint queued_at{};
    TimePoint sent_at{};
    TimePoint arrives_at{};
    Duration to_owner{};
    Duration timeout{};
    Duration wait{};
    int attempt = 0;
    bool relay_fails = false;
    bool unanswered = false;  ///< An earlier attempt had no response.
    bool carried_out = false;
    bool closed = false;  ///< The owner does not wait for it any more.
    std::optional<TimePoint> response_at;
    std::optional<ExecutorReport> report;
    bool fenced = false;
    StartAnswer start_answer = StartAnswer::kUnknown;
    StopAnswer stop_answer = StopAnswer::kUnknown;
  };

  struct Link {
    explicit Link(int64_t version) : session(version, FakePool::kLease) {}
    ExecutorSession session;
    bool hold_in_flight = false;
    bool relay_failed = false;
    TimePoint next_hold_at{};
    TimePoint durable_deadline{};
    Duration backoff = 100ms;
  };

  struct QueuedOrder {
    std::variant<StartOrder, StopOrder> order;
    TimePoint queued_at{};
    TimePoint send_at{};
    int attempt = 0;
    bool unanswered = false;
  };

  struct PendingCommit {
    CommitBatch batch;
    TimePoint sent_at{};
    TimePoint applied_at{};
    TimePoint done_at{};
    bool applied = false;
  };

  bool may_order() const { return m_now < m_valid_from + kOwnerLease; }

  Link& LinkOf(const ExecutorId& id) {
    return m_links.try_emplace(id, m_newest_version).first->second;
  }

  void UpdateRegistry() {
    for (auto& [id, executor] : m_executors) {
      if (m_registry.contains(id) && outdated_rows.contains(id)) continue;
      m_registry[id] = executor.info();
      m_scheduler->ListExecutor(m_registry.at(id), m_now);
    }
  }

  void CarryOutCalls() {
    for (Call& call : m_calls) {
      FakeExecutor& executor = m_executors.at(call.executor);
      if (!call.carried_out) {
        if (m_now < call.arrives_at || !executor.reachable) continue;
        call.carried_out = true;
        if (const auto* terms = std::get_if<HoldTerms>(&call.request)) {
          const bool meant = terms->incarnation_unix_ms == executor.info().incarnation_unix_ms;
          if (terms->established() && !meant) continue;  // Its connection has ended.
          call.fenced = !executor.CarryOut(*terms, m_now);
        } else if (const auto* start = std::get_if<StartOrder>(&call.request)) {
          call.start_answer = executor.CarryOut(*start, call.start_terms, m_now);
          if (call.start_answer == StartAnswer::kNotSent) call.start_answer = StartAnswer::kUnknown;
          call.response_at = m_now + call.to_owner;
        } else {
          call.stop_answer = executor.CarryOut(std::get<StopOrder>(call.request), call.stop_token);
          call.response_at = m_now + call.to_owner;
        }
      }
      const auto* terms = std::get_if<HoldTerms>(&call.request);
      if (!terms || call.response_at || !executor.reachable) continue;
      const bool meant = terms->incarnation_unix_ms == executor.info().incarnation_unix_ms;
      if (terms->established() && !meant) continue;
      ExecutorReport report = executor.Report(m_now);
      const bool waits = call.wait > Duration::zero() && report.ended.empty() &&
                         m_now < call.arrives_at + call.wait;
      if (waits && !call.fenced) continue;
      call.report = std::move(report);
      call.response_at = m_now + call.to_owner;
    }
  }

  void ReadResponses() {
    std::vector<Call> answered;
    std::erase_if(m_calls, [&](Call& call) {
      const bool current = call.owner == m_owner && !call.closed;
      if (!current) return call.carried_out || m_now - call.sent_at > 13s;
      const bool late = m_now - call.sent_at >= call.timeout;
      if (!late && !(call.response_at && *call.response_at <= m_now)) return false;
      answered.push_back(call);
      if (late) {
        answered.back().response_at.reset();
        call.closed = true;
      }
      return !late;
    });
    for (Call& call : answered) {
      if (std::holds_alternative<HoldTerms>(call.request)) {
        OnHold(call);
      } else if (std::holds_alternative<StartOrder>(call.request)) {
        OnStart(call);
      } else {
        OnStop(call);
      }
    }
  }

  void OnHold(const Call& call) {
    Link& link = LinkOf(call.executor);
    const HoldTerms& terms = std::get<HoldTerms>(call.request);
    link.hold_in_flight = false;
    if (call.response_at && !call.fenced) {
      m_scheduler->OnReport(call.executor, *call.report, terms.fences, call.sent_at, m_now);
      link.session.OnReport(terms, *call.report, m_now);
      link.backoff = 100ms;
      link.next_hold_at = m_now + kStep;
      link.durable_deadline = m_now + kDurableWait;
      return;
    }
    if (!call.response_at) {
      link.session.OnUnanswered();
      if (call.relay_fails) {
        link.relay_failed = true;
        link.next_hold_at = m_now;
        return;
      }
      m_scheduler->OnNoAnswer(call.executor, call.sent_at);
    }
    const ExecutorState* state = m_scheduler->FindExecutor(call.executor);
    const Duration left = state ? state->lease_bound - m_now : Duration::zero();
    Duration pause = link.backoff;
    link.backoff = std::min<Duration>(link.backoff * 2, 1s);
    if (left > Duration::zero()) pause = std::min(pause, left);
    link.next_hold_at = m_now + pause;
    link.durable_deadline = {};
  }

  void MakeHold(const ExecutorId& id) {
    ExecutorState* state = m_scheduler->FindExecutor(id);
    if (!state || !may_order()) return;
    Link& link = LinkOf(id);
    if (link.hold_in_flight || m_now < link.next_hold_at) return;
    const bool awaits_commit = link.session.AwaitsCommit(*state, m_newest_version);
    if (awaits_commit) m_wanted_commit = true;
    if (m_now < link.durable_deadline && (awaits_commit || state->durable_end < state->applied_end))
      return;
    const int64_t token = link.session.fencing_token();
    const HoldTerms terms = link.session.MakeHold(*state, m_newest_version, m_now);
    if (terms.fencing_token != token) m_scheduler->OnTokenBegun(id);
    if (terms.established()) m_scheduler->OnLeaseExtended(id, m_now);
    const bool runs_tasks = !state->runs.empty() || (state->inherited && !state->reported);
    const bool lease_over = runs_tasks && !state->responding && m_now >= state->lease_bound;
    const bool may_wait = terms.established() && !state->report_wanted;
    const Transit transit = m_draw_transit(id);
    Call call;
    call.owner = m_owner;
    call.executor = id;
    call.request = terms;
    call.sent_at = m_now;
    call.arrives_at = m_now + transit.to_executor;
    call.to_owner = transit.to_owner;
    call.wait = may_wait ? kHoldWait : Duration::zero();
    call.timeout = (lease_over ? kLastHoldTimeout : kHoldTimeout) + call.wait;
    call.relay_fails =
        transit.relay_fails && !std::exchange(link.relay_failed, false) && !lease_over;
    link.hold_in_flight = true;
    m_calls.push_back(std::move(call));
  }

  void QueueOrders(Orders orders) {
    for (StartOrder& start : orders.starts) {
      const Duration queued = m_draw_transit(start.executor).queued;
      m_queue.push_back({.order = std::move(start), .queued_at = m_now, .send_at = m_now + queued});
    }
    for (StopOrder& stop : orders.stops) {
      const Duration queued = m_draw_transit(stop.executor).queued;
      m_queue.push_back({.order = std::move(stop), .queued_at = m_now, .send_at = m_now + queued});
    }
  }

  void SendOrders() {
    if (m_queue_owner != m_owner) m_queue.clear();
    m_queue_owner = m_owner;
    std::vector<QueuedOrder> due;
    std::erase_if(m_queue, [&](QueuedOrder& queued) {
      if (queued.send_at > m_now) return false;
      due.push_back(queued);
      return true;
    });
    for (QueuedOrder& queued : due) {
      if (auto* start = std::get_if<StartOrder>(&queued.order)) {
        Send(std::move(*start), queued);
      } else {
        Send(std::get<StopOrder>(queued.order));
      }
    }
  }

  void Send(StartOrder order, const QueuedOrder& queued) {
    const ExecutorState* state = m_scheduler->FindExecutor(order.executor);
    Link& link = LinkOf(order.executor);
    std::optional<StartTerms> terms;
    if (state && m_scheduler->IsWanted(order) && may_order())
      terms = link.session.MakeStart(*state, m_now);
    if (!terms || m_now - queued.queued_at > kMaxOrderAge ||
        m_now > order.send_before.value_or(m_now)) {
      m_scheduler->OnStartAnswer(
          order, queued.unanswered ? StartAnswer::kUnknown : StartAnswer::kNotSent, m_now);
      return;
    }
    m_scheduler->OnLeaseExtended(order.executor, m_now);
    const Transit transit = m_draw_transit(order.executor);
    Call call;
    call.owner = m_owner;
    call.executor = order.executor;
    call.start_terms = *terms;
    call.queued_at = queued.queued_at;
    call.sent_at = m_now;
    call.arrives_at = m_now + transit.to_executor;
    call.to_owner = transit.to_owner;
    call.timeout = kOrderTimeout;
    call.attempt = queued.attempt;
    call.unanswered = queued.unanswered;
    call.request = std::move(order);
    m_calls.push_back(std::move(call));
  }

  void Send(StopOrder order) {
    if (!may_order()) return;
    const Transit transit = m_draw_transit(order.executor);
    Call call;
    call.owner = m_owner;
    call.executor = order.executor;
    call.stop_token = LinkOf(order.executor).session.fencing_token();
    call.sent_at = m_now;
    call.arrives_at = m_now + transit.to_executor;
    call.to_owner = transit.to_owner;
    call.timeout = kOrderTimeout;
    call.request = std::move(order);
    m_calls.push_back(std::move(call));
  }

  void OnStart(const Call& call) {
    const StartOrder& order = std::get<StartOrder>(call.request);
    StartAnswer answer = call.response_at ? call.start_answer : StartAnswer::kUnknown;
    const bool superseded =
        call.start_terms.fencing_token != LinkOf(call.executor).session.fencing_token();
    if (answer == StartAnswer::kFenced && superseded) answer = StartAnswer::kNotSent;
    if (answer == StartAnswer::kUnknown) m_scheduler->OnStartUnanswered(order);
    if (answer == StartAnswer::kUnknown && call.attempt + 1 < kOrderAttempts) {
      Send(order, {.order = order,
                   .queued_at = call.queued_at,
                   .send_at = m_now,
                   .attempt = call.attempt + 1,
                   .unanswered = true});
      return;
    }
    const bool settles = answer == StartAnswer::kStarted || answer == StartAnswer::kRunOutdated;
    if (call.unanswered && !settles) answer = StartAnswer::kUnknown;
    m_scheduler->OnStartAnswer(order, answer, m_now);
  }

  void OnStop(const Call& call) {
    StopAnswer answer = call.response_at ? call.stop_answer : StopAnswer::kUnknown;
    const bool superseded = call.stop_token != LinkOf(call.executor).session.fencing_token();
    if (answer == StopAnswer::kFenced && superseded) answer = StopAnswer::kUnknown;
    m_scheduler->OnStopAnswer(std::get<StopOrder>(call.request), answer, m_now);
  }

  void StepCommit() {
    if (m_commit && !m_commit->applied && m_now >= m_commit->applied_at) Apply();
    if (m_now < owner_stopped_until) return;
    if (m_commit && m_now >= m_commit->done_at) FinishCommit();
    const bool due = m_now >= m_next_commit_at || m_scheduler->has_dirty() || m_wanted_commit;
    if (m_commit || !due) return;
    const Duration duration = m_draw_commit();
    m_commit = PendingCommit{.batch = m_scheduler->TakeCommit(98),
                             .sent_at = m_now,
                             .applied_at = m_now + duration / 2,
                             .done_at = m_now + duration};
    m_wanted_commit = false;
    m_next_commit_at = m_now + kRenewInterval;
  }

  // Makes the commit in flight durable, whether or not its owner learns of it.
  void Apply() {
    m_commit->applied = true;
    ++m_version;
    m_row_changed_at = m_now;
    for (const auto& [id, progress] : m_commit->batch.progress) {
      m_store.progress[id] = progress;
      if (progress.state == JobState::kCompleted) m_ledger.OnShownCompleted(id, m_now);
    }
    for (const LinkRecord& link : m_commit->batch.links) m_store.links[link.executor] = link;
    for (const ExecutorId& id : m_commit->batch.removed_links) m_store.links.erase(id);
  }

  void FinishCommit() {
    if (!m_commit) return;
    if (!m_commit->applied) Apply();
    m_newest_version = m_version;
    m_valid_from = m_commit->sent_at;
    m_scheduler->OnCommitted(m_commit->batch);
    m_commit.reset();
  }

  std::function<Transit(const ExecutorId&)> m_draw_transit;
  std::function<Duration()> m_draw_commit;
  TimePoint m_now{1s};
  int m_owner = 0;
  int64_t m_version = 0;
  int64_t m_newest_version = 0;  ///< Of the commits that the owner knows of.
  int64_t m_epoch = 0;
  TimePoint m_row_changed_at{};
  TimePoint m_valid_from{};
  TimePoint m_next_commit_at{};
  bool m_wanted_commit = false;
  std::optional<PendingCommit> m_commit;
  std::map<ExecutorId, Link> m_links;
  std::map<ExecutorId, FakeExecutor> m_executors;
  std::map<ExecutorId, ExecutorDescription> m_registry;
  std::vector<Call> m_calls;
  std::vector<QueuedOrder> m_queue;
  int m_queue_owner = 0;
  RunLedger m_ledger;
  DurableState m_store;
  std::unique_ptr<PoolScheduler> m_scheduler;
};

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_TESTS_SLOW_OWNER_POOL_H_
