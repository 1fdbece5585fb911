#include "fleet/change_feed.h"
#include "fleet/tables.h"
#include "fleet/watch/watchers.h"
#include "telemetry/log.h"

namespace citronferry::fleet {
namespace {

// Entries come and go rarely, and a connection that fails shows that one has gone.
constexpr Duration kPollInterval = 1s;
// Bounds the delay until an entry that has become an owner knows the others.
constexpr Duration kIdlePollInterval = 100ms;
constexpr Duration kWriteTimeout = 1s;

// Announces this entry as a relay until it drains, and follows the other entries while it owns a
// pool.
class EntryWatcher : public Service {
 public:
  explicit EntryWatcher(FleetContext& context) : m_context(context) {}

  QCoro::Task<Ret> Run() override {
    while (!m_stop.requested()) {
      co_await UpdateOwnRow();
      if (m_context.owned_pools == 0) {
        m_feed.Restart();
        if (!m_context.entries.Get().empty()) m_context.entries.Set({});
        co_await SleepFor(m_context.timers, kIdlePollInterval, &m_stop);
        continue;
      }
      const auto changes = co_await m_feed.Next();
      if (changes.ok()) Apply(changes.value(), m_feed.is_snapshot());
      const Duration pause = changes.ok() ? kPollInterval : m_feed.retry_delay();
      co_await SleepFor(m_context.timers, pause, &m_stop);
    }
    co_return MakeOk();
  }

  void Stop() override { m_stop.Request(); }

 private:
  /// Writes the row of this entry after the start, and removes it when the entry drains.
  QCoro::Task<void> UpdateOwnRow() {
    const bool announce = !m_context.draining;
    if (announce == m_announced || m_context.timers.Now() < m_next_write) co_return;
    const FleetOptions& options = m_context.options;
    const RowKey key = EntryKey(EntryId(options.name));
    const EntryRecord record{.entry = EntryId(options.name),
                             .address = RelayAddress(options),
                             .public_key = PublicRelayKey(options),
                             .cores = options.cores,
                             .link_mbps = options.link_mbps};
    Transaction transaction;
    if (announce) {
      transaction.puts.push_back({.key = key, .value = EncodeEntry(record)});
    } else {
      transaction.removals.push_back(key);
    }
    const TransactionResult result =
        co_await m_context.platform.rows.Transact(std::move(transaction), kWriteTimeout);
    if (result.outcome == TransactionOutcome::kApplied) {
      m_announced = announce;
      m_backoff.Reset();
      co_return;
    }
    m_next_write = m_context.timers.Now() + m_backoff.Next();
    Log(LogLevel::kWarning, "entry_row_not_written",
        {{"announced", announce}, {"error", result.error}});
  }

  void Apply(const RowChanges& changes, bool is_snapshot) {
    auto entries =
        is_snapshot ? std::map<EntryId, EntryRecord>() : std::map(m_context.entries.Get());
    for (const RowKey& key : changes.removed) entries.erase(EntryId(key.key));
    for (const Row& row : changes.changed) {
      const EntryId id(row.key.key);
      auto record = DecodeEntry(id, row.value);
      if (record.ok()) {
        record->announced_version = row.version;
        entries.insert_or_assign(id, std::move(record).value());
      } else {
        Log(LogLevel::kError, "entry_row_unreadable",
            {{"entry", id.view()}, {"error", record.ret().message()}});
      }
    }
    if (entries != m_context.entries.Get()) m_context.entries.Set(std::move(entries));
  }

  FleetContext& m_context;
  ChangeFeed<RowChanges> m_feed =
      MakeTableFeed(m_context.platform.rows, kEntriesTable, {kEntriesTable}, Duration::zero());
  StopSignal m_stop;
  bool m_announced = false;
  TimePoint m_next_write{};
  Backoff m_backoff{200ms, 2s};
};

}  // namespace

ChildSpec MakeEntryWatcher(FleetContext& context) {
  return {.name = "entry_watcher",
          .factory = [&context] { return std::make_unique<EntryWatcher>(context); }};
}

}  // namespace citronferry::fleet
