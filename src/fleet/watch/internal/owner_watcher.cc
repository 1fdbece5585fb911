#include "fleet/backoff.h"
#include "fleet/tables.h"
#include "fleet/watch/watchers.h"
#include "telemetry/log.h"

namespace citronferry::fleet {
namespace {

// Owners write several times per second; candidates need no more than this to see a vacancy.
constexpr Duration kPollInterval = 500ms;
constexpr Duration kFirstRetry = 100ms;
constexpr Duration kLongestRetry = 1s;

class OwnerWatcher : public Service {
 public:
  explicit OwnerWatcher(FleetContext& context) : m_context(context) {}

  QCoro::Task<Ret> Run() override {
    RowStore& rows = m_context.backends.rows;
    Backoff backoff(kFirstRetry, kLongestRetry);
    std::optional<int64_t> version;
    while (!m_stop.requested()) {
      Ret ret;
      if (m_context.configuration.Get().version == 0) {
        co_await SleepFor(m_context.timers, kFirstRetry, &m_stop);
        continue;
      }
      if (!version) {
        version = co_await ReadAll();
        if (!version) ret = Ret(ErrorCode::kUnavailable, "owners can not be read");
      } else {
        const auto changes = co_await rows.Follow(kOwnersTable, *version, Duration::zero());
        ret = changes.ret();
        if (changes.ok()) {
          for (const Row& row : changes->changed) Observe(row);
          version = changes->version;
        } else if (changes.code() == ErrorCode::kNotFound) {
          version.reset();
        }
      }
      if (!ret) {
        // A row counts as unchanged only while the store answers.
        m_context.owners_seen_since.reset();
        co_await SleepFor(m_context.timers, backoff.Next(), &m_stop);
        continue;
      }
      backoff.Reset();
      m_context.store_answered_at = m_context.timers.Now();
      if (!m_context.owners_seen_since) m_context.owners_seen_since = m_context.timers.Now();
      co_await SleepFor(m_context.timers, kPollInterval, &m_stop);
    }
    co_return MakeOk();
  }

  void Stop() override { m_stop.Request(); }

 private:
  // @return the version from which to follow.
  QCoro::Task<std::optional<int64_t>> ReadAll() {
    std::optional<int64_t> version;
    const std::vector<Pool> pools = m_context.configuration.Get().pools;
    for (const Pool& pool : pools) {
      const RowKey key = OwnerKey(pool.name);
      const auto range = co_await m_context.backends.rows.Read(key.table, key.partition,
                                                               std::string(), std::string());
      if (!range.ok()) co_return std::nullopt;
      if (!version) version = range->version;
      for (const Row& row : range->rows) Observe(row);
    }
    co_return version;
  }

  void Observe(const Row& row) {
    OwnerView& view = m_context.owners[PoolName(row.key.partition)];
    if (row.version <= view.version) return;
    const auto record = DecodeOwner(row.value);
    if (!record.ok()) {
      Log(LogLevel::kError, "owner_row_unreadable",
          {{"pool", row.key.partition}, {"error", record.ret().message()}});
      return;
    }
    view = {.holder = record->holder,
            .incarnation = record->incarnation,
            .version = row.version,
            .changed_at = m_context.timers.Now()};
  }

  FleetContext& m_context;
  StopSignal m_stop;
};

}  // namespace

ChildSpec MakeOwnerWatcher(FleetContext& context) {
  return {.name = "owner_watcher",
          .factory = [&context] { return std::make_unique<OwnerWatcher>(context); }};
}

}  // namespace citronferry::fleet
