#include "fleet/change_feed.h"
#include "fleet/watch/watchers.h"
#include "telemetry/log.h"

namespace citronferry::fleet {
namespace {

// Changes are returned at once; the wait only bounds the time until an unresponsive connection is
// noticed, which has to be well below the two seconds within which a new configuration has to be in
// force.
constexpr Duration kFollowWait = 700ms;

class OperatorWatcher : public Service {
 public:
  explicit OperatorWatcher(FleetContext& context) : m_context(context) {}

  QCoro::Task<Ret> Run() override {
    while (!m_stop.requested()) {
      const TimePoint sent_at = m_context.timers.Now();
      auto changes = co_await m_feed.Next();
      if (!changes.ok()) {
        co_await SleepFor(m_context.timers, m_feed.retry_delay(), &m_stop);
        continue;
      }
      m_context.store_answered_at = m_context.timers.Now();
      Apply(std::move(changes).value(), sent_at);
    }
    co_return MakeOk();
  }

  void Stop() override { m_stop.Request(); }

 private:
  void Apply(OperatorChanges changes, TimePoint sent_at) {
    // A row that cannot be read is newer than the configuration in force.
    if (changes.configuration) m_newer_unreadable = false;
    for (const UnreadableRow& row : changes.unreadable) {
      m_newer_unreadable |= row.is_configuration;
      Log(LogLevel::kError, "announcement_unreadable", {{"key", row.key}, {"error", row.error}});
    }
    if (changes.configuration &&
        changes.configuration->version > m_context.configuration.Get().version) {
      Log(LogLevel::kInfo, "configuration_adopted",
          {{"version", changes.configuration->version},
           {"previous", m_context.configuration.Get().version},
           {"queues", changes.configuration->queues.size()}});
      m_context.configuration.Set(std::move(*changes.configuration));
    }
    if (!m_newer_unreadable && m_context.configuration.Get().version > 0) {
      m_context.configuration_confirmed_at = sent_at;
    }
    if (changes.waves.empty()) return;
    std::map<int64_t, MaintenanceWave> waves = m_context.waves.Get();
    for (MaintenanceWave& wave : changes.waves) {
      Log(LogLevel::kInfo, "wave_announced",
          {{"wave", wave.number},
           {"instances", wave.instances.size()},
           {"max_at_once", wave.max_at_once},
           {"time_left_s", ToSeconds(wave.time_left_at_start)}});
      waves.insert_or_assign(wave.number, std::move(wave));
    }
    m_context.waves.Set(std::move(waves));
  }

  FleetContext& m_context;
  ChangeFeed<OperatorChanges> m_feed{
      "operator", [this] { return m_context.platform.announcements.ReadOperator(); },
      [this](int64_t after) {
        return m_context.platform.announcements.FollowOperator(after, kFollowWait);
      }};
  bool m_newer_unreadable = false;  // The newest configuration could not be decoded.
  StopSignal m_stop;
};

}  // namespace

ChildSpec MakeOperatorWatcher(FleetContext& context) {
  return {.name = "operator_watcher",
          .factory = [&context] { return std::make_unique<OperatorWatcher>(context); }};
}

}  // namespace citronferry::fleet
