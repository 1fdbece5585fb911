#include "fleet/pool/internal/executor_link.h"

#include <algorithm>
#include <utility>

#include "fleet/backoff.h"
#include "fleet/pool/internal/pool_owner.h"
#include "fleet/relay/relay_client.h"
#include "telemetry/log.h"

namespace citronferry::fleet {
namespace {

using scheduling::ExecutorState;
using scheduling::PaceOrder;
using scheduling::StartAnswer;
using scheduling::StartOrder;
using scheduling::StopAnswer;
using scheduling::StopOrder;

// The executor responds as soon as a run ends, so this only bounds the age of the reported progress
// and of the lease.
constexpr Duration kHoldWait = 1s;
// An executor responds within some milliseconds; after this time the connection is considered dead.
constexpr Duration kHoldTimeout = 600ms;
// The same for the call that decides whether the runs of a silent executor are given up. While the
// registry lists the executor, the owner may just be too slow to receive its responses.
constexpr Duration kLastHoldTimeout = 3s;
// Ended runs within this time are reported by one call, since each call is charged.
constexpr Duration kHoldPause = 10ms;
// An executor reports ended runs again until they are acknowledged, which needs a commit first.
constexpr Duration kDurableWait = 500ms;
constexpr Duration kOrderTimeout = 400ms;
constexpr int kOrderAttempts = 2;
// Orders that were queued for longer are dropped, and the scheduler decides again.
constexpr Duration kMaxOrderAge = 1s;
constexpr Duration kInitialRetryDelay = 100ms;
constexpr Duration kMaxRetryDelay = 1s;
constexpr Duration kPausedPollInterval = 50ms;

// An attempt without a response may still be carried out seconds later, whatever the response to a
// later attempt, unless the executor has seen this run or does not exist any more.
bool SettlesEarlierAttempts(StartAnswer answer) {
  return answer == StartAnswer::kStarted || answer == StartAnswer::kRunOutdated ||
         answer == StartAnswer::kOtherExecutor;
}

std::string_view NameOf(HoldOutcome outcome) {
  switch (outcome) {
    case HoldOutcome::kReported:
      return "reported";
    case HoldOutcome::kFenced:
      return "fenced";
    case HoldOutcome::kOtherExecutor:
      return "other executor";
    case HoldOutcome::kNoAnswer:
      return "no answer";
    case HoldOutcome::kRelayFailed:
      return "relay failed";
  }
  return "";
}

}  // namespace

ExecutorLink::ExecutorLink(PoolOwner& owner, scheduling::ExecutorId id)
    : m_owner(owner),
      m_id(std::move(id)),
      // A previous link to this executor may have used a newer token than the epoch.
      m_session(owner.newest_version(), owner.context().options.executor_lease) {}

void ExecutorLink::Start(TaskScope& tasks) {
  m_running_tasks = 1 + static_cast<int>(m_orders.size());
  tasks.Spawn([this]() -> QCoro::Task<void> {
    co_await Hold();
    --m_running_tasks;
  });
  for (Mailbox<QueuedOrder>& queue : m_orders) {
    tasks.Spawn([this, &queue]() -> QCoro::Task<void> {
      co_await SendOrders(queue);
      --m_running_tasks;
    });
  }
}

void ExecutorLink::Queue(Order order) {
  const RelayClient* relays = m_owner.context().relays;
  const bool relayed = relays && relays->IsOpen(m_relay);
  const auto shortest = std::min_element(
      m_orders.begin(), m_orders.begin() + (relayed ? kRelayedOrders : kDirectOrders),
      [](const auto& left, const auto& right) { return left.size() < right.size(); });
  shortest->Push({.order = std::move(order), .queued_at = m_owner.context().timers.Now()});
}

void ExecutorLink::Send(StartOrder order) { Queue(std::move(order)); }
void ExecutorLink::Send(StopOrder order) { Queue(std::move(order)); }
void ExecutorLink::Send(PaceOrder order) { Queue(std::move(order)); }

QCoro::Task<void> ExecutorLink::WaitUntilDurable() {
  TimerService& timers = m_owner.context().timers;
  const TimePoint deadline = timers.Now() + kDurableWait;
  while (!m_owner.ended().requested() && timers.Now() < deadline) {
    const ExecutorState* state = m_owner.scheduler().FindExecutor(m_id);
    if (!state) co_return;
    const bool awaits_commit = m_session.AwaitsCommit(*state, m_owner.newest_version());
    if (state->durable_end >= state->applied_end && !awaits_commit) co_return;
    if (awaits_commit) m_owner.RequestCommit();
    co_await m_commits.Next(timers, deadline - timers.Now());
  }
}

void ExecutorLink::OnCommitted() {
  if (m_commits.size() == 0) m_commits.Push({});
}

QCoro::Task<void> ExecutorLink::Hold() {
  TimerService& timers = m_owner.context().timers;
  StopSignal& ended = m_owner.ended();
  Backoff backoff(kInitialRetryDelay, kMaxRetryDelay);
  Subscription closing = ended.Subscribe([this] { m_commits.Close(); });
  bool relay_failed = false;
  while (!ended.requested()) {
    ExecutorState* state = m_owner.scheduler().FindExecutor(m_id);
    if (!state) break;
    // An executor that has left the registry and has no run left needs no call: it has gone, or a
    // restart announces it again.
    const bool needless = !state->listed && state->runs.empty() && !state->inherited;
    if (needless || !m_owner.may_order()) {
      co_await SleepFor(timers, kPausedPollInterval, &ended);
      continue;
    }
    m_address = state->info.address;
    const TimePoint asked_at = timers.Now();
    // The lease of an unresponsive executor is not extended, so that its runs can be replaced once
    // the lease has expired.
    const int64_t token = m_session.fencing_token();
    const scheduling::HoldTerms terms =
        m_session.MakeHold(*state, m_owner.newest_version(), asked_at);
    if (terms.fencing_token != token) m_owner.scheduler().OnTokenBegun(m_id);
    const bool may_wait = terms.established() && !state->report_wanted;
    const bool runs_tasks = !state->runs.empty() || (state->inherited && !state->reported);
    const bool lease_over = runs_tasks && !state->responding && asked_at >= state->lease_bound;
    const HoldCall call{.lease_until_ms = terms.lease_until_ms,
                        .fencing_token = terms.fencing_token,
                        .acknowledged_end = terms.acknowledged_end,
                        .wait = may_wait ? kHoldWait : Duration::zero(),
                        .timeout = lease_over && state->listed ? kLastHoldTimeout : kHoldTimeout,
                        .abort = &ended};
    if (terms.established()) {
      m_owner.scheduler().OnLeaseExtended(m_id, asked_at);
      m_lease_sent_at = asked_at;
    }
    ExecutorAddress to = Address(terms.incarnation_unix_ms);
    // Another relay that does not answer would take up the rest of the lease.
    if (std::exchange(relay_failed, false) || lease_over) to.relay = EntryId();
    HoldResult result = co_await m_owner.context().platform.executors.Hold(std::move(to), call);
    if (ended.requested()) break;
    const TimePoint now = timers.Now();
    if (lease_over) LogHoldAfterLease(result, asked_at);
    switch (result.outcome) {
      case HoldOutcome::kReported:
        m_owner.scheduler().OnReport(m_id, result.report, terms.fences, asked_at, now);
        m_session.OnReport(terms, result.report, now);
        backoff.Reset();
        m_owner.ProcessUpdates();
        co_await SleepFor(timers, kHoldPause, &ended);
        co_await WaitUntilDurable();
        continue;
      case HoldOutcome::kOtherExecutor:
        // The address of a former incarnation may have been given away.
        state = m_owner.scheduler().FindExecutor(m_id);
        if (state && state->info.incarnation_unix_ms == terms.incarnation_unix_ms) {
          m_owner.scheduler().OnExecutorGone(m_id, now);
        }
        break;
      case HoldOutcome::kFenced:
        Log(LogLevel::kWarning, "executor_fenced",
            {{"pool", m_owner.pool().view()},
             {"executor", m_id.view()},
             {"epoch", m_owner.epoch()}});
        break;
      case HoldOutcome::kNoAnswer:
        m_session.OnUnanswered();
        // A kept-alive connection that closes does not tell that the executor is gone.
        if (terms.established() && now - asked_at < kHoldTimeout) continue;
        OnSilence(asked_at, now - asked_at >= call.timeout);
        break;
      case HoldOutcome::kRelayFailed:
        // Recorded before the terms of the repetition are made, which acknowledges nothing and
        // extends no lease: what the owner knows of the executor is as old as the relayed hold.
        // The relayed hold may arrive after the repetition, but only at the incarnation that it
        // was meant for.
        m_session.OnUnanswered();
        relay_failed = true;
        continue;
    }
    m_owner.ProcessUpdates();
    // The call that decides whether its runs are given up is made as soon as the lease is over.
    const ExecutorState* silent = m_owner.scheduler().FindExecutor(m_id);
    const Duration lease_left = silent ? silent->lease_bound - timers.Now() : Duration::zero();
    Duration pause = backoff.Next();
    if (lease_left > Duration::zero()) pause = std::min(pause, lease_left);
    co_await SleepFor(timers, pause, &ended);
  }
  for (Mailbox<QueuedOrder>& queue : m_orders) queue.Close();
}

void ExecutorLink::LogHoldAfterLease(const HoldResult& result, TimePoint asked_at) const {
  const TimePoint now = m_owner.context().timers.Now();
  const ExecutorState* state = m_owner.scheduler().FindExecutor(m_id);
  Log(LogLevel::kInfo, "hold_after_lease",
      {{"pool", m_owner.pool().view()},
       {"executor", m_id.view()},
       {"outcome", NameOf(result.outcome)},
       {"error", result.error},
       {"duration_ms", ToMilliseconds(now - asked_at)},
       {"lease_sent_ms_ago", m_lease_sent_at ? ToMilliseconds(now - *m_lease_sent_at) : -1},
       {"listed", state && state->listed}});
}

void ExecutorLink::OnSilence(TimePoint asked_at, bool waited) {
  const ExecutorState* state = m_owner.scheduler().FindExecutor(m_id);
  // A call that fails early may not have been sent, for example because all connections are in use.
  const bool asked = waited || !state || !state->listed;
  m_owner.scheduler().OnNoAnswer(m_id, asked ? asked_at : TimePoint());
}

QCoro::Task<void> ExecutorLink::SendOrders(Mailbox<QueuedOrder>& queue) {
  Subscription closing = m_owner.ended().Subscribe([&queue] { queue.Close(); });
  while (auto queued = co_await queue.Next()) {
    if (m_owner.ended().requested()) co_return;
    co_await std::visit([&](auto& order) { return Deliver(std::move(order), queued->queued_at); },
                        queued->order);
  }
}

std::optional<StartResult> ExecutorLink::Withhold(const StartOrder& order, TimePoint queued_at,
                                                  TimePoint now) const {
  const auto withdrawn = [](std::string_view reason) {
    return StartResult{.answer = StartAnswer::kWithdrawn, .error = std::string(reason)};
  };
  const ExecutorState* state = m_owner.scheduler().FindExecutor(m_id);
  if (!state || !m_owner.scheduler().IsWanted(order)) return withdrawn("not wanted any more");
  if (!m_owner.may_order()) return withdrawn("the owner may not order");
  if (!m_owner.may_start()) return withdrawn("the owner's view of the jobs is too old");
  if (!m_session.MakeStart(*state, now))
    return withdrawn("the executor has no lease to start under");
  if (now > order.send_before.value_or(now)) return withdrawn("the report it relies on is too old");
  if (now - queued_at <= kMaxOrderAge) return std::nullopt;
  return StartResult{.answer = StartAnswer::kNotSent, .error = "waited too long in the queue"};
}

QCoro::Task<void> ExecutorLink::Deliver(StartOrder order, TimePoint queued_at) {
  TimerService& timers = m_owner.context().timers;
  StartResult result;
  bool unanswered = false;
  for (int attempt = 0; attempt < kOrderAttempts; ++attempt) {
    const TimePoint now = timers.Now();
    if (auto withheld = Withhold(order, queued_at, now)) {
      // The first attempt may still be carried out.
      if (!unanswered) result = std::move(*withheld);
      break;
    }
    const ExecutorState* state = m_owner.scheduler().FindExecutor(m_id);
    const auto terms = m_session.MakeStart(*state, now);
    m_owner.scheduler().OnLeaseExtended(m_id, now);
    const StartCall call{.order = order,
                         .lease_until_ms = terms->lease_until_ms,
                         .fencing_token = terms->fencing_token,
                         .timeout = kOrderTimeout};
    result = co_await m_owner.context().platform.executors.Start(
        Address(terms->incarnation_unix_ms), call);
    if (m_owner.ended().requested()) co_return;
    // The executor has restarted meanwhile, and knows the token of its new incarnation.
    const bool superseded = terms->fencing_token != m_session.fencing_token();
    if (result.answer == StartAnswer::kFenced && superseded) {
      result.answer = StartAnswer::kWithdrawn;
      result.error = "the token has been replaced";
    }
    if (result.answer != StartAnswer::kUnknown) break;
    unanswered = true;
    m_owner.scheduler().OnStartUnanswered(order);
  }
  if (unanswered && !SettlesEarlierAttempts(result.answer)) result.answer = StartAnswer::kUnknown;
  m_owner.scheduler().OnStartAnswer(order, result.answer, timers.Now(), result.error);
  if (result.answer != StartAnswer::kStarted || m_owner.scheduler().plan_needed()) {
    m_owner.ProcessUpdates();
  }
}

QCoro::Task<void> ExecutorLink::Deliver(StopOrder order, TimePoint) {
  TimerService& timers = m_owner.context().timers;
  StopAnswer answer = StopAnswer::kUnknown;
  for (int attempt = 0; attempt < kOrderAttempts; ++attempt) {
    if (!m_owner.may_order()) co_return;
    const TimePoint sent_at = timers.Now();
    const int64_t token = m_session.fencing_token();
    answer =
        co_await m_owner.context().platform.executors.Stop(Address(), order, token, kOrderTimeout);
    if (m_owner.ended().requested()) co_return;
    // The executor has restarted meanwhile; the stop is repeated.
    const bool superseded = token != m_session.fencing_token();
    if (answer == StopAnswer::kFenced && superseded) answer = StopAnswer::kUnknown;
    if (answer != StopAnswer::kUnknown) break;
    // The scheduler repeats stops; only a closed connection is replaced at once.
    if (timers.Now() - sent_at >= kOrderTimeout) break;
  }
  m_owner.scheduler().OnStopAnswer(order, answer, timers.Now());
}

QCoro::Task<void> ExecutorLink::Deliver(PaceOrder order, TimePoint) {
  if (!m_owner.may_order()) co_return;
  const Ret ret = co_await m_owner.context().platform.executors.Pace(
      Address(), order, m_session.fencing_token(), kOrderTimeout);
  if (m_owner.ended().requested()) co_return;
  if (!ret.ok()) {
    m_owner.scheduler().OnPaceFailed(order);
    Log(LogLevel::kWarning, "pace_failed",
        {{"executor", m_id.view()}, {"job", order.task.job.view()}, {"error", ret.message()}});
  }
}

}  // namespace citronferry::fleet
