#include "node/planner/internal/planner_service.h"

#include <array>
#include <chrono>

#include "node/planner/internal/row_codec.h"
#include "node/planner/ownership_codec.h"
#include "node/planner/planner_module.h"
#include "telemetry/log.h"

namespace citronferry::node {
namespace {

constexpr Duration kStepPeriod = 1s;
constexpr char kLeasesTable[] = "leases";
constexpr char kPlannerLease[] = "planner";
constexpr char kPoolsTable[] = "pools";
constexpr char kEntriesTable[] = "entries";

int64_t WallClockSeconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::seconds>(now).count();
}

PlannerPoolStatus ToStatus(const maintenance::PoolProgress& progress) {
  return {.pool = progress.pool,
          .wave = progress.wave,
          .instances = progress.instances,
          .remaining = progress.remaining,
          .planned = progress.planned,
          .unplanned = progress.unplanned,
          .allowed = progress.allowed,
          .failed = progress.failed,
          .estimate = progress.estimate,
          .lower_bound = progress.lower_bound};
}

}  // namespace

PlannerService::PlannerService(NodeContext& context, provider::TableService& tables,
                               provider::InstanceService& instances)
    : m_context(context),
      m_tables(tables),
      m_instances(instances),
      // The incarnation prevents a restarted entry from mistaking the lease of its previous process
      // for its own.
      m_lease({.holder = context.settings.id.str() + "/" + context.incarnation}),
      m_fleet_planner(context.settings.id),
      m_pause_subscription(context.timers.SubscribeToPauses(
          [this](Duration) { m_lease.Handle(leadership::Paused{}, m_context.timers.Now()); })) {}

QCoro::Task<Ret> PlannerService::Run() {
  while (!m_stop.requested()) {
    co_await UpdateLease();
    if (MayAct()) co_await Plan();
    PublishStatus();
    co_await SleepFor(m_context.timers, kStepPeriod, &m_stop);
  }
  co_return MakeOk();
}

QCoro::Task<void> PlannerService::UpdateLease() {
  using Handler = QCoro::Task<leadership::Event> (PlannerService::*)(leadership::Action);
  // Indexed by the alternatives of leadership::Action.
  static constexpr std::array<Handler, std::variant_size_v<leadership::Action>> kHandlers{
      &PlannerService::ReadLease, &PlannerService::WriteLease};
  auto actions = m_lease.Handle(leadership::Tick{}, m_context.timers.Now());
  while (!actions.empty()) {
    leadership::Action action = std::move(actions.front());
    const size_t kind = action.index();
    const leadership::Event event = co_await (this->*kHandlers[kind])(std::move(action));
    actions = m_lease.Handle(event, m_context.timers.Now());
  }
}

QCoro::Task<leadership::Event> PlannerService::ReadLease(leadership::Action) {
  provider::RowKey key{.table = kLeasesTable, .key = kPlannerLease};
  const auto row = co_await m_tables.Get(std::move(key));
  leadership::Event event = leadership::ReadFailed{};
  if (row.ok()) {
    leadership::RowRead read{.version = row->version};
    read.row = DecodeLeaseRow(row->value);
    event = std::move(read);
  } else if (row.code() == ErrorCode::kNotFound) {
    event = leadership::RowRead{};
  }
  co_return event;
}

QCoro::Task<leadership::Event> PlannerService::WriteLease(leadership::Action action) {
  const auto write = std::get<leadership::WriteRow>(std::move(action));
  provider::RowKey key{.table = kLeasesTable, .key = kPlannerLease};
  std::string value = EncodeLeaseRow(write.row);
  const auto row = co_await Write(std::move(key), std::move(value), write.expected_version);
  leadership::Event event = leadership::WriteUnconfirmed{};
  if (row.ok()) {
    event =
        leadership::WriteSucceeded{.write_number = write.row.write_number, .version = row->version};
  }
  co_return event;
}

QCoro::Task<void> PlannerService::Plan() {
  using Handler = QCoro::Task<void> (PlannerService::*)(PlanningAction);
  // Indexed by the alternatives of PlanningAction.
  static constexpr std::array<Handler, std::variant_size_v<PlanningAction>> kHandlers{
      &PlannerService::WritePool, &PlannerService::WriteInstance, &PlannerService::Reboot,
      &PlannerService::ReportFailed};
  const bool observed = co_await Observe();
  if (!observed || !MayAct()) co_return;
  PlanningStep step =
      m_fleet_planner.Step(m_lease.epoch(), WallClockSeconds(), m_context.timers.Now());
  if (step.higher_epoch > 0) {
    Log(LogLevel::kWarning, "planner_superseded",
        {{"epoch", m_lease.epoch()}, {"higher_epoch", step.higher_epoch}});
    m_lease.Handle(leadership::HigherEpochSeen{.epoch = step.higher_epoch}, m_context.timers.Now());
    co_return;
  }
  for (PlanningAction& action : step.actions) {
    // The next step decides again on the actions that are skipped here.
    const TimePoint now = m_context.timers.Now();
    if (m_stop.requested() || !m_lease.MayAct(now) || m_lease.RenewalDue(now)) co_return;
    const size_t kind = action.index();
    co_await (this->*kHandlers[kind])(std::move(action));
  }
}

QCoro::Task<bool> PlannerService::Observe() {
  using Observer = QCoro::Task<bool> (PlannerService::*)();
  static constexpr std::array<Observer, 4> kObservers{
      &PlannerService::ObserveInstanceRows, &PlannerService::ObservePoolRows,
      &PlannerService::ObserveRoster, &PlannerService::ObserveList};
  ObserveDocument();
  if (m_document_version == 0) co_return false;
  for (const Observer read : kObservers) {
    const bool done = co_await (this->*read)();
    if (!done) co_return false;
  }
  ObserveDemand();
  co_return true;
}

QCoro::Task<bool> PlannerService::ObserveInstanceRows() {
  const auto changes = co_await m_tables.Changes(kInstancesTable, m_instances_sequence);
  if (!changes.ok()) co_return false;
  for (const provider::Row& row : changes->rows) {
    ownership::RowObserved observed{
        .id = InstanceId(row.key), .version = row.version, .sequence = row.sequence};
    if (!row.deleted) observed.row = DecodeInstanceRow(row.value);
    m_fleet_planner.Observe(observed, m_context.timers.Now());
  }
  m_instances_sequence = changes->last_sequence;
  co_return true;
}

QCoro::Task<bool> PlannerService::ObservePoolRows() {
  const auto changes = co_await m_tables.Changes(kPoolsTable, m_pools_sequence);
  if (!changes.ok()) co_return false;
  for (const provider::Row& row : changes->rows) {
    maintenance::PoolObserved observed{.pool = PoolName(row.key), .version = row.version};
    if (!row.deleted) observed.row = DecodePoolRow(row.value);
    if (!row.deleted && !observed.row) {
      Log(LogLevel::kError, "pool_row_invalid", {{"pool", row.key}});
    }
    m_fleet_planner.Observe(observed, m_context.timers.Now());
  }
  m_pools_sequence = changes->last_sequence;
  co_return true;
}

// The roster is read here, because NodeContext::roster does not record when it was read and a
// roster that is older than a drain must not complete the drain.
QCoro::Task<bool> PlannerService::ObserveRoster() {
  ownership::RosterObserved roster{.read_started = m_context.timers.Now()};
  const auto changes = co_await m_tables.Changes(kEntriesTable, m_entries_sequence);
  if (!changes.ok()) co_return false;
  for (const provider::Row& row : changes->rows) {
    if (row.deleted) {
      m_entries.erase(EntryId(row.key));
    } else {
      m_entries[EntryId(row.key)] = DecodeEntryReport(row);
    }
  }
  m_entries_sequence = changes->last_sequence;
  for (const auto& [id, entry] : m_entries) roster.entries.push_back(entry);
  m_fleet_planner.Observe(roster, m_context.timers.Now());
  co_return true;
}

QCoro::Task<bool> PlannerService::ObserveList() {
  const TimePoint started = m_context.timers.Now();
  const auto list = co_await m_instances.List();
  // If the read fails, the last list ages and no further instance is taken out of service.
  if (list.ok()) m_fleet_planner.Observe(list.value(), started, m_context.timers.Now());
  co_return true;
}

void PlannerService::ObserveDocument() {
  const ActiveConfiguration& configuration = m_context.configuration.Get();
  if (!configuration.document || configuration.version <= m_document_version) return;
  m_document_version = configuration.version;
  const auto conflicts = m_fleet_planner.Observe(*configuration.document, configuration.version,
                                                 m_context.timers.Now());
  for (const InstanceId& instance : conflicts) {
    Log(LogLevel::kError, "instance_in_several_pools", {{"instance", instance.view()}});
  }
}

// Callers are balanced over the entries, so the load of this entry is representative of all.
void PlannerService::ObserveDemand() {
  if (!m_context.read_load) return;
  const GatewayLoad load = m_context.read_load();
  ownership::DemandObserved demand;
  for (const auto& [id, stored] : m_fleet_planner.ownership().rows()) {
    if (stored.row.state != ownership::RowState::kServing) continue;
    const auto free = load.free_slots.find(id);
    const auto used = load.in_flight.find(id);
    ownership::DemandSample& sample = demand.pools[stored.row.pool];
    if (free != load.free_slots.end()) {
      sample.free_slots += free->second;
      sample.slots += free->second;
    }
    if (used != load.in_flight.end()) sample.slots += used->second;
  }
  for (const auto& [pool, waiting] : load.waiting) demand.pools[pool].waiting = waiting;
  m_fleet_planner.Observe(demand, m_context.timers.Now());
}

QCoro::Task<void> PlannerService::WritePool(PlanningAction action) {
  const auto write = std::get<maintenance::WritePool>(std::move(action));
  provider::RowKey key{.table = kPoolsTable, .key = write.pool.str()};
  std::string value = EncodePoolRow(write.row);
  const auto row = co_await Write(std::move(key), std::move(value), write.expected_version);
  if (!row.ok()) co_return;
  const maintenance::PoolObserved observed{
      .pool = write.pool, .row = write.row, .version = row->version};
  m_fleet_planner.Observe(observed, m_context.timers.Now());
}

QCoro::Task<void> PlannerService::WriteInstance(PlanningAction action) {
  const auto write = std::get<ownership::WriteInstance>(std::move(action));
  provider::RowKey key{.table = kInstancesTable, .key = write.id.str()};
  std::string value = EncodeInstanceRow(write.row);
  const auto row = co_await Write(std::move(key), std::move(value), write.expected_version);
  if (!row.ok()) co_return;
  const ownership::RowObserved observed{
      .id = write.id, .row = write.row, .version = row->version, .sequence = row->sequence};
  m_fleet_planner.Observe(observed, m_context.timers.Now());
}

QCoro::Task<void> PlannerService::Reboot(PlanningAction action) {
  const auto reboot = std::get<ownership::RebootInstance>(std::move(action));
  const Ret ret = co_await m_instances.Reboot(reboot.id);
  Log(ret.ok() ? LogLevel::kInfo : LogLevel::kWarning, "reboot_requested",
      {{"instance", reboot.id.view()}, {"error", ret.message()}});
  if (ret.ok()) {
    const ownership::RebootAccepted accepted{.id = reboot.id};
    m_fleet_planner.Observe(accepted, m_context.timers.Now());
  }
}

QCoro::Task<void> PlannerService::ReportFailed(PlanningAction action) {
  const auto failed = std::get<maintenance::ReportFailed>(std::move(action));
  Log(LogLevel::kError, "instance_not_back",
      {{"instance", failed.instance.view()}, {"pool", failed.pool.view()}});
  co_return;
}

QCoro::Task<RetVal<provider::Row>> PlannerService::Write(provider::RowKey key, std::string value,
                                                         std::optional<uint64_t> expected_version) {
  const std::string name = key.table + "/" + key.key;
  RetVal<provider::Row> row = Ret(ErrorCode::kInternal, "not written");
  if (expected_version) {
    row = co_await m_tables.Update(std::move(key), std::move(value), *expected_version);
  } else {
    row = co_await m_tables.Create(std::move(key), std::move(value));
  }
  if (!row.ok()) {
    Log(LogLevel::kWarning, "planner_write_failed",
        {{"row", name}, {"error", row.ret().message()}});
  }
  co_return row;
}

void PlannerService::PublishStatus() {
  PlannerStatus status{.holder = m_lease.holder(), .acting = MayAct(), .epoch = m_lease.epoch()};
  if (status.acting != std::exchange(m_was_acting, status.acting)) {
    Log(LogLevel::kInfo, status.acting ? "planner_lease_held" : "planner_lease_lost",
        {{"epoch", status.epoch}, {"holder", status.holder}});
  }
  if (status.acting) {
    for (const auto& progress : m_fleet_planner.maintenance().progress()) {
      status.pools.push_back(ToStatus(progress));
    }
    for (const auto& [id, stored] : m_fleet_planner.ownership().rows()) {
      const ownership::InstanceRow& row = stored.row;
      if (row.state != ownership::RowState::kServing && row.target != row.pool) {
        status.moving[id] = row.target;
      }
    }
  }
  m_context.planner.Set(std::move(status));
}

ChildSpec PlannerModule::MakeChild(NodeContext& context) {
  return {.name = "planner", .factory = [&context] {
            return std::make_unique<PlannerService>(context, context.platform.tables(),
                                                    context.platform.instances());
          }};
}

}  // namespace citronferry::node
