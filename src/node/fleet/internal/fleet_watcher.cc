#include <QJsonDocument>
#include <QJsonObject>

#include "node/fleet/fleet_module.h"
#include "telemetry/log.h"

namespace citronferry::node {
namespace {

// Two lost polls in a row still leave a leaving instance without new work within 3 s.
constexpr Duration kPollPeriod = 1s;
constexpr char kInstancesTable[] = "instances";

InstanceOwnership ParseOwnership(const platform::Row& row) {
  const QJsonObject json = QJsonDocument::fromJson(QByteArray::fromStdString(row.value)).object();
  return {.pool = PoolName(json.value(QLatin1String("pool")).toString().toStdString()),
          .serving = json.value(QLatin1String("state")).toString() == QLatin1String("serving"),
          .version = row.version};
}

/// Polls the platform's instance list and the change feed of the ownership rows.
class FleetWatcher : public Service {
 public:
  explicit FleetWatcher(NodeContext& context) : m_context(context) {}

  QCoro::Task<Ret> Run() override {
    while (!m_stop.requested()) {
      FleetView view = m_context.fleet.Get();
      const bool listed = co_await PollInstances(view);
      const bool read = co_await PollOwnership(view);
      if (listed || read) m_context.fleet.Set(std::move(view));
      co_await SleepFor(m_context.timers, kPollPeriod, &m_stop);
    }
    co_return MakeOk();
  }
  void Stop() override { m_stop.Request(); }

 private:
  QCoro::Task<bool> PollInstances(FleetView& view) {
    auto instances = co_await m_context.platform.instances().List();
    if (!instances.ok()) co_return false;
    view.instances = std::move(instances).value();
    co_return true;
  }

  QCoro::Task<bool> PollOwnership(FleetView& view) {
    const auto changes =
        co_await m_context.platform.tables().Changes(kInstancesTable, view.ownership_sequence);
    if (!changes.ok()) co_return false;
    for (const platform::Row& row : changes->rows) {
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

  NodeContext& m_context;
  StopSignal m_stop;
};

}  // namespace

ChildSpec FleetModule::MakeChild(NodeContext& context) {
  return {.name = "fleet",
          .factory = [&context] { return std::make_unique<FleetWatcher>(context); }};
}

}  // namespace citronferry::node
