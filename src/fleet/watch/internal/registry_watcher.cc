#include "fleet/backoff.h"
#include "fleet/watch/watchers.h"
#include "telemetry/log.h"

namespace citronferry::fleet {
namespace {

// Executors report every heartbeat, some tens of changes per second; asking for them together
// costs less. An instance that has moved to a surging pool should be used soon.
constexpr Duration kPollInterval = 250ms;
constexpr Duration kLongestRetry = 1s;

class RegistryWatcher : public Service {
 public:
  explicit RegistryWatcher(FleetContext& context) : m_context(context) {}

  QCoro::Task<Ret> Run() override {
    Backoff backoff(kPollInterval / 2, kLongestRetry);
    bool whole = true;
    int64_t version = 0;
    while (!m_stop.requested()) {
      if (m_context.owned_pools == 0) {
        // Only owners need it; what was read grows old meanwhile.
        whole = true;
        if (!m_context.registry.Get().empty()) m_context.registry.Set({});
        co_await SleepFor(m_context.timers, kPollInterval / 10, &m_stop);
        continue;
      }
      auto changes = co_await Next(whole, version);
      if (!changes.ok()) {
        whole |= changes.code() == ErrorCode::kNotFound;
        co_await SleepFor(m_context.timers, backoff.Next(), &m_stop);
        continue;
      }
      backoff.Reset();
      version = changes->version;
      Apply(changes.value(), whole);
      whole = false;
      co_await SleepFor(m_context.timers, kPollInterval, &m_stop);
    }
    co_return MakeOk();
  }

  void Stop() override { m_stop.Request(); }

 private:
  QCoro::Task<RetVal<RegistryChanges>> Next(bool whole, int64_t version) {
    Announcements& announcements = m_context.backends.announcements;
    if (whole) return announcements.ReadRegistry();
    return announcements.FollowRegistry(version, Duration::zero());
  }

  void Apply(const RegistryChanges& changes, bool whole) {
    ExecutorListing listing = whole ? ExecutorListing() : m_context.registry.Get();
    for (const auto& executor : changes.listed) listing.insert_or_assign(executor.id, executor);
    for (const auto& id : changes.removed) listing.erase(id);
    for (const UnreadableRow& row : changes.unreadable) {
      // It names no executor to use, even if an earlier entry did.
      listing.erase(scheduling::ExecutorId(row.key));
      if (m_reported_unreadable == row.key) continue;
      m_reported_unreadable = row.key;
      Log(LogLevel::kWarning, "registry_entry_unreadable",
          {{"executor", row.key}, {"error", row.error}});
    }
    if (listing != m_context.registry.Get()) m_context.registry.Set(std::move(listing));
  }

  FleetContext& m_context;
  StopSignal m_stop;
  std::string m_reported_unreadable;
};

}  // namespace

ChildSpec MakeRegistryWatcher(FleetContext& context) {
  return {.name = "registry_watcher",
          .factory = [&context] { return std::make_unique<RegistryWatcher>(context); }};
}

}  // namespace citronferry::fleet
