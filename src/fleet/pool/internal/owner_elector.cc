#include "fleet/pool/internal/owner_elector.h"

#include <random>

#include "decisions/scheduling/handover.h"
#include "fleet/pool/internal/pool_owner.h"
#include "fleet/tables.h"
#include "fleet/watch/watchers.h"
#include "telemetry/log.h"

namespace citronferry::fleet {
namespace {

constexpr Duration kVacancyPollInterval = 100ms;
// An entry that owns pools delays its bid, so that entries with fewer pools can bid first.
constexpr Duration kDelayPerOwnedPool = 300ms;
// An entry with less than scheduling::kMinOwnerCores delays its bid, so that larger ones can bid
// first.
constexpr Duration kSmallEntryDelay = 1s;
// How long other entries leave a released pool to the successor that its owner has chosen. It
// notices the release within milliseconds.
constexpr Duration kSuccessorHeadStart = 700ms;
constexpr Duration kMaxJitter = 80ms;
constexpr Duration kTakeOverTimeout = 1s;

Duration RandomJitter() {
  static std::minstd_rand random{std::random_device{}()};
  return Duration(std::uniform_int_distribution<int64_t>(0, kMaxJitter.count())(random));
}

}  // namespace

OwnerElector::OwnerElector(FleetContext& context, PoolName pool, StopSignal& stop)
    : m_context(context), m_pool(std::move(pool)), m_stop(stop) {}

bool OwnerElector::IsVacant() const {
  if (!m_context.owners_seen_since) return false;
  const auto found = m_context.owners.find(m_pool);
  if (found == m_context.owners.end()) return true;
  const OwnerView& owner = found->second;
  if (owner.holder.empty()) {
    return owner.successor.empty() || IsSuccessor() ||
           m_context.timers.Now() - owner.changed_at >= kSuccessorHeadStart;
  }
  if (HolderHasEnded(owner)) return true;
  const TimePoint unchanged_since = std::max(owner.changed_at, *m_context.owners_seen_since);
  return m_context.timers.Now() - unchanged_since >= kVacancyTimeout;
}

bool OwnerElector::HolderHasEnded(const OwnerView& owner) const {
  if (owner.holder != m_context.options.name) return false;
  // The row was written by an owner of this process that has ended, or by a bid whose response was
  // lost: an elector does not bid while it runs an owner.
  if (owner.incarnation == m_context.options.incarnation) return true;
  // The name may have passed to another machine while the previous process still runs. Two
  // processes cannot listen on one address.
  return !owner.address.empty() && owner.address == m_context.relay_address;
}

bool OwnerElector::IsSuccessor() const {
  const auto found = m_context.owners.find(m_pool);
  return found != m_context.owners.end() && found->second.holder.empty() &&
         found->second.successor.view() == m_context.options.name;
}

Duration OwnerElector::BidDelay() const {
  if (IsSuccessor()) return Duration::zero();
  const bool is_small = m_context.options.cores < scheduling::kMinOwnerCores;
  return RandomJitter() + kDelayPerOwnedPool * m_context.owned_pools +
         (is_small ? kSmallEntryDelay : Duration::zero());
}

QCoro::Task<std::optional<OwnerView>> OwnerElector::WaitForVacancy() {
  while (!m_stop.requested()) {
    if (!IsVacant()) {
      co_await SleepFor(m_context.timers, kVacancyPollInterval, &m_stop);
      continue;
    }
    const int owned_before = m_context.owned_pools;
    const Duration delay = BidDelay();
    if (delay > Duration::zero()) co_await SleepFor(m_context.timers, delay, &m_stop);
    if (m_stop.requested()) break;
    if (m_context.owned_pools > owned_before) continue;
    if (IsVacant()) {
      const auto found = m_context.owners.find(m_pool);
      co_return found == m_context.owners.end() ? OwnerView() : found->second;
    }
  }
  co_return std::nullopt;
}

QCoro::Task<Ret> OwnerElector::Run() {
  const std::optional<OwnerView> replaced = co_await WaitForVacancy();
  if (!replaced) co_return MakeOk();
  const TimePoint asked_at = m_context.timers.Now();
  // The bid replaces the row, and its owner may be lost before its first commit.
  std::optional<std::vector<InstanceId>> ordered_instances = replaced->ordered_instances;
  if (replaced->version == 0) ordered_instances.emplace();  // The pool had no owner.
  const RowKey key = OwnerKey(m_pool);
  const OwnerRecord record{.holder = m_context.options.name,
                           .incarnation = m_context.options.incarnation,
                           .relay_key = PublicRelayKey(m_context.options),
                           .address = m_context.relay_address,
                           .loading = true,
                           .ordered_instances = ordered_instances};
  Transaction bid{.conditions = {{.key = key, .version = replaced->version}},
                  .puts = {{.key = key, .value = EncodeOwner(record)}}};
  const TransactionResult result =
      co_await m_context.platform.rows.Transact(std::move(bid), kTakeOverTimeout);
  if (result.outcome != TransactionOutcome::kApplied) {
    // Another candidate was faster, the owner has committed again, or the store is unavailable.
    // After a conflict the result has the current row, where a newer commit shows that the owner is
    // alive.
    if (result.outcome == TransactionOutcome::kConflict && !result.rows.empty()) {
      ObserveOwner(m_context, result.rows.front());
    }
    co_await SleepFor(m_context.timers, kVacancyPollInterval, &m_stop);
    co_return MakeOk();
  }
  Log(LogLevel::kInfo, "pool_taken_over",
      {{"pool", m_pool.view()},
       {"epoch", result.version},
       {"replaced_version", replaced->version},
       {"released", replaced->holder.empty()},
       {"noticed_ms_ago", ToMilliseconds(asked_at - replaced->changed_at)}});
  m_context.owners[m_pool] = {.holder = m_context.options.name,
                              .incarnation = m_context.options.incarnation,
                              .ordered_instances = ordered_instances,
                              .version = result.version,
                              .changed_at = m_context.timers.Now()};
  ++m_context.owned_pools;
  Ownership ownership{.epoch = result.version,
                      .acquired_at = asked_at,
                      .ordered_instances = std::move(ordered_instances)};
  if (replaced->holder.empty() && replaced->version != 0) {
    ownership.released_version = replaced->version;
  }
  PoolOwner owner(m_context, m_pool, ownership);
  const Ret ret = co_await owner.Run(m_stop);
  --m_context.owned_pools;
  Log(LogLevel::kInfo, "pool_given_up",
      {{"pool", m_pool.view()}, {"epoch", result.version}, {"reason", ret.message()}});
  co_return MakeOk();
}

}  // namespace citronferry::fleet
