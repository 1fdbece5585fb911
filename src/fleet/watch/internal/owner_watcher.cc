#include "fleet/backoff.h"
#include "fleet/change_feed.h"
#include "fleet/tables.h"
#include "fleet/watch/watchers.h"
#include "telemetry/log.h"

namespace citronferry::fleet {
namespace {

// Owners write several times per second, but candidates do not need every change to detect a
// vacancy.
constexpr Duration kPollInterval = 500ms;
constexpr Duration kInitialRetryDelay = 100ms;
constexpr Duration kMaxRetryDelay = 1s;
// Shorter than the time for which an entry serves on after the signal to stop, so that no call is
// waiting when its services are stopped.
constexpr Duration kReleaseWait = 2s;

// Reads the owners of the pools in the current configuration.
QCoro::Task<RetVal<RowChanges>> ReadOwners(FleetContext& context) {
  std::vector<std::string> partitions;
  for (const Pool& pool : context.configuration.Get().pools) {
    partitions.push_back(OwnerKey(pool.name).partition);
  }
  return ReadTable(context.platform.rows, kOwnersTable, std::move(partitions));
}

class OwnerWatcher : public Service {
 public:
  explicit OwnerWatcher(FleetContext& context) : m_context(context) {}

  QCoro::Task<Ret> Run() override {
    while (!m_stop.requested()) {
      if (m_context.configuration.Get().version == 0) {
        co_await SleepFor(m_context.timers, kInitialRetryDelay, &m_stop);
        continue;
      }
      const auto changes = co_await m_feed.Next();
      if (!changes.ok()) {
        // A row only counts as unchanged for the time in which the store answered.
        m_context.owners_seen_since.reset();
        co_await SleepFor(m_context.timers, m_feed.retry_delay(), &m_stop);
        continue;
      }
      for (const Row& row : changes->changed) ObserveOwner(m_context, row);
      m_context.store_answered_at = m_context.timers.Now();
      if (!m_context.owners_seen_since) m_context.owners_seen_since = m_context.timers.Now();
      co_await SleepFor(m_context.timers, kPollInterval, &m_stop);
    }
    co_return MakeOk();
  }

  void Stop() override { m_stop.Request(); }

 private:
  FleetContext& m_context;
  ChangeFeed<RowChanges> m_feed{kOwnersTable, [this] { return ReadOwners(m_context); },
                                [this](int64_t after) {
                                  return m_context.platform.rows.Follow(kOwnersTable, after,
                                                                        Duration::zero());
                                },
                                Backoff(kInitialRetryDelay, kMaxRetryDelay)};
  StopSignal m_stop;
};

// Learns at once of pools that their owners release. The rows of the owners themselves change with
// each commit, too often to be followed.
class ReleaseWatcher : public Service {
 public:
  explicit ReleaseWatcher(FleetContext& context) : m_context(context) {}

  QCoro::Task<Ret> Run() override {
    // A draining entry bids for no pool.
    while (!m_stop.requested() && !m_context.draining) {
      if (m_context.configuration.Get().version == 0) {
        co_await SleepFor(m_context.timers, kInitialRetryDelay, &m_stop);
        continue;
      }
      const auto changes = co_await m_feed.Next();
      if (!changes.ok()) {
        co_await SleepFor(m_context.timers, m_feed.retry_delay(), &m_stop);
        continue;
      }
      for (const Row& row : changes->changed) ObserveOwner(m_context, row);
    }
    while (!m_stop.requested()) co_await SleepFor(m_context.timers, kReleaseWait, &m_stop);
    co_return MakeOk();
  }

  void Stop() override { m_stop.Request(); }

 private:
  FleetContext& m_context;
  // Releases from before the first read are part of the owners' rows.
  ChangeFeed<RowChanges> m_feed{kReleasesTable, [this] { return ReadOwners(m_context); },
                                [this](int64_t after) {
                                  return m_context.platform.rows.Follow(kReleasesTable, after,
                                                                        kReleaseWait);
                                },
                                Backoff(kInitialRetryDelay, kMaxRetryDelay)};
  StopSignal m_stop;
};

}  // namespace

void ObserveOwner(FleetContext& context, const Row& row) {
  OwnerView& view = context.owners[PoolName(row.key.partition)];
  if (row.version <= view.version) return;
  const auto record = DecodeOwner(row.value);
  if (!record.ok()) {
    Log(LogLevel::kError, "owner_row_unreadable",
        {{"pool", row.key.partition}, {"error", record.ret().message()}});
    return;
  }
  view = {.holder = record->holder,
          .incarnation = record->incarnation,
          .relay_key = record->relay_key,
          .address = record->address,
          .loading = record->loading,
          .successor = record->successor,
          .ordered_instances = record->ordered_instances,
          .jobs_clock_ms = record->jobs_clock_ms,
          .version = row.version,
          .changed_at = context.timers.Now()};
}

ChildSpec MakeReleaseWatcher(FleetContext& context) {
  return {.name = "release_watcher",
          .factory = [&context] { return std::make_unique<ReleaseWatcher>(context); }};
}

ChildSpec MakeOwnerWatcher(FleetContext& context) {
  return {.name = "owner_watcher",
          .factory = [&context] { return std::make_unique<OwnerWatcher>(context); }};
}

}  // namespace citronferry::fleet
