#include <algorithm>
#include <map>

#include "fleet/change_feed.h"
#include "fleet/watch/watchers.h"
#include "telemetry/log.h"

namespace citronferry::fleet {
namespace {

// Each heartbeat of an executor changes the registry, some tens of times per second; reading the
// changes in batches costs less. The interval bounds the delay until an instance that was moved to
// a surging pool is used.
constexpr Duration kPollInterval = 250ms;
// Shorter while instances move: each tenth of a second until a moved instance is used is lost for
// the surge that it was moved for.
constexpr Duration kPollIntervalDuringMoves = 80ms;
// Bounds the delay until an entry that has become an owner reads the registry.
constexpr Duration kIdlePollInterval = 25ms;

class RegistryWatcher : public Service {
 public:
  explicit RegistryWatcher(FleetContext& context) : m_context(context) {}

  QCoro::Task<Ret> Run() override {
    while (!m_stop.requested()) {
      if (m_context.owned_pools == 0) {
        // Only owners need the registry, and it becomes stale while it is not followed.
        m_feed.Restart();
        if (!m_context.registry.Get().empty()) m_context.registry.Set({});
        co_await SleepFor(m_context.timers, kIdlePollInterval, &m_stop);
        continue;
      }
      const auto changes = co_await m_feed.Next();
      if (changes.ok()) Apply(changes.value(), m_feed.is_snapshot());
      const Duration pause = changes.ok() ? PollInterval() : m_feed.retry_delay();
      co_await SleepFor(m_context.timers, pause, &m_stop);
    }
    co_return MakeOk();
  }

  void Stop() override { m_stop.Request(); }

 private:
  Duration PollInterval() const {
    const auto& demands = m_context.demands.Get();
    const bool moving = std::any_of(demands.begin(), demands.end(), [](const auto& entry) {
      return !entry.second.departing.empty();
    });
    return moving ? kPollIntervalDuringMoves : kPollInterval;
  }

  void Apply(const RegistryChanges& changes, bool is_snapshot) {
    ExecutorListing listing = is_snapshot ? ExecutorListing() : m_context.registry.Get();
    for (const auto& executor : changes.listed) {
      listing.insert_or_assign(executor.id, executor);
      m_reported_unreadable.erase(executor.id.str());
    }
    for (const auto& id : changes.removed) {
      listing.erase(id);
      m_reported_unreadable.erase(id.str());
    }
    for (const UnreadableRow& row : changes.unreadable) {
      // The executor must not be used any more, even if an earlier row for it was valid.
      listing.erase(scheduling::ExecutorId(row.key));
      // Executors write about once a second, so a reason is logged only when it changes.
      std::string& reported = m_reported_unreadable[row.key];
      if (reported == row.error) continue;
      reported = row.error;
      Log(LogLevel::kWarning, "registry_entry_unreadable",
          {{"executor", row.key}, {"error", row.error}});
    }
    if (listing != m_context.registry.Get()) m_context.registry.Set(std::move(listing));
  }

  FleetContext& m_context;
  ChangeFeed<RegistryChanges> m_feed{
      "registry", [this] { return m_context.platform.announcements.ReadRegistry(); },
      [this](int64_t after) {
        return m_context.platform.announcements.FollowRegistry(after, Duration::zero());
      }};
  StopSignal m_stop;
  std::map<std::string, std::string> m_reported_unreadable;  // Logged errors by row key.
};

}  // namespace

ChildSpec MakeRegistryWatcher(FleetContext& context) {
  return {.name = "registry_watcher",
          .factory = [&context] { return std::make_unique<RegistryWatcher>(context); }};
}

}  // namespace citronferry::fleet
