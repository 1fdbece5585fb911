#include <algorithm>
#include <utility>

#include "node/fleet/fleet_module.h"
#include "node/planner/ownership_codec.h"
#include "telemetry/log.h"

namespace citronferry::node {
namespace {

// An instance that leaves must receive no new work after 3 s, even if two polls in a row fail.
constexpr Duration kPollPeriod = 1s;

/// @return the ownership in a row; an instance with an invalid row is not serving.
InstanceOwnership ParseOwnership(const provider::Row& row) {
  const auto content = DecodeInstanceRow(row.value);
  if (!content) {
    Log(LogLevel::kError, "ownership_row_invalid", {{"instance", row.key}});
    return {.version = row.version};
  }
  return {.pool = content->pool,
          .serving = content->state == ownership::RowState::kServing,
          .version = row.version};
}

/// Polls the platform's instance list and the change feed of the ownership rows, and publishes both
/// as a FleetView.
class FleetWatcher : public Service {
 public:
  explicit FleetWatcher(NodeContext& context)
      : m_context(context),
        m_list_age(context.metrics.Gauge("citronferry_instance_list_age_seconds",
                                         "Time since the platform's instance list was read.")),
        m_list_read_at(context.timers.Now()) {}

  QCoro::Task<Ret> Run() override {
    while (!m_stop.requested()) {
      FleetView view = m_context.fleet.Get();
      const bool listed = co_await PollInstances(view);
      const bool read = co_await PollOwnership(view);
      // The position in the change feed advances with every write to any table. Subscribers are not
      // notified of it, because they would scan the whole fleet every second.
      if (listed || read) {
        m_context.fleet.Set(std::move(view));
      } else {
        m_context.fleet.SetWithoutNotifying(std::move(view));
      }
      co_await SleepFor(m_context.timers, kPollPeriod, &m_stop);
    }
    co_return MakeOk();
  }
  void Stop() override { m_stop.Request(); }

 private:
  /// @return whether the instances in the view have changed.
  QCoro::Task<bool> PollInstances(FleetView& view) {
    auto instances = co_await m_context.platform.instances().List();
    const TimePoint now = m_context.timers.Now();
    if (instances.ok()) m_list_read_at = now;
    m_list_age.Set(ToSeconds(now - m_list_read_at));
    if (instances.ok() != std::exchange(m_list_available, instances.ok())) {
      Log(instances.ok() ? LogLevel::kInfo : LogLevel::kWarning, "instance_list_availability",
          {{"available", instances.ok()}, {"error", instances.ret().message()}});
    }
    if (!instances.ok() || instances.value() == view.instances) co_return false;
    view.instances = std::move(instances).value();
    co_return true;
  }

  /// Reads the ownership rows only while this entry is in the roster. The planner waits for the
  /// acknowledgements of the entries in the roster alone, so ownership that was read before this
  /// entry joined may be older than a completed drain.
  /// @return whether the ownership in the view has changed.
  QCoro::Task<bool> PollOwnership(FleetView& view) {
    if (!IsInRoster()) {
      const bool known = view.ownership_sequence > 0;
      view.ownership.clear();
      view.ownership_sequence = 0;
      co_return known;
    }
    const auto changes =
        co_await m_context.platform.tables().Changes(kInstancesTable, view.ownership_sequence);
    if (!changes.ok()) co_return false;
    for (const provider::Row& row : changes->rows) {
      const InstanceId id(row.key);
      if (row.deleted) {
        view.ownership.erase(id);
      } else {
        view.ownership[id] = ParseOwnership(row);
      }
    }
    view.ownership_sequence = changes->last_sequence;
    co_return !changes->rows.empty();
  }

  bool IsInRoster() const {
    const auto& entries = m_context.roster.Get().entries;
    return std::any_of(entries.begin(), entries.end(), [this](const RosterEntry& entry) {
      return entry.id == m_context.settings.id;
    });
  }

  NodeContext& m_context;
  prometheus::Gauge& m_list_age;
  TimePoint m_list_read_at;
  bool m_list_available = true;
  StopSignal m_stop;
};

}  // namespace

ChildSpec FleetModule::MakeChild(NodeContext& context) {
  return {.name = "fleet",
          .factory = [&context] { return std::make_unique<FleetWatcher>(context); }};
}

}  // namespace citronferry::node
