#include "node/membership/internal/roster_service.h"

#include <algorithm>
#include <utility>

#include "node/membership/internal/roster_row.h"
#include "telemetry/log.h"

namespace citronferry::node {
namespace {

// Also the minimum interval between two writes of the own row.
constexpr Duration kPollPeriod = 1s;
constexpr Duration kRefreshPeriod = 10s;
constexpr char kEntriesTable[] = "entries";

std::set<EntryId> ListedEntries(const std::vector<provider::InstanceInfo>& instances) {
  std::set<EntryId> entries;
  for (const provider::InstanceInfo& instance : instances) {
    if (instance.is_entry) entries.insert(EntryId(instance.id.view()));
  }
  return entries;
}

/// @return a text that changes with every change of an ownership row.
std::string OwnershipFingerprint(const FleetView& fleet) {
  std::string text;
  for (const auto& [instance, ownership] : fleet.ownership) {
    text += instance.str() + ':' + std::to_string(ownership.version) + ';';
  }
  return text;
}

}  // namespace

RosterService::RosterService(NodeContext& context, std::shared_ptr<const PeerEndpoint> endpoint)
    : m_context(context),
      m_endpoint(std::move(endpoint)),
      m_roster_size(context.metrics.Gauge("citronferry_roster_entries",
                                          "Entries that share the executors, this one included.")),
      m_own_key{.table = kEntriesTable, .key = context.settings.id.str()} {}

QCoro::Task<Ret> RosterService::Run() {
  while (!m_stop.requested()) {
    co_await WriteOwnRow();
    co_await PollRows();
    co_await ObserveAbsence();
    co_await RemoveGoneRows();
    PublishView();
    co_await SleepFor(m_context.timers, kPollPeriod, &m_stop);
  }
  // The supervisor stops the gateway before membership, so the gateway has drained by now.
  if (m_context.lifecycle.Get() == Lifecycle::kDraining) co_await RemoveOwnRow();
  co_return MakeOk();
}

RosterEntry RosterService::MakeOwnEntry() {
  RosterEntry entry{.id = m_context.settings.id,
                    .incarnation = m_context.incarnation,
                    .peer_address = m_endpoint->address,
                    .data_centre = m_context.settings.data_centre,
                    .configuration_version = m_context.configuration.Get().version,
                    .peer_public_key = m_endpoint->public_key};
  if (m_context.read_load) {
    // The gateway subscribes to the fleet, and Set notifies it before any task resumes. It has
    // therefore applied every change up to this sequence.
    const FleetView& fleet = m_context.fleet.Get();
    m_acknowledged_sequence = fleet.ownership_sequence;
    const GatewayLoad load = m_context.read_load();
    for (const auto& [instance, count] : load.in_flight) {
      const auto ownership = fleet.ownership.find(instance);
      const bool serving = ownership == fleet.ownership.end() || ownership->second.serving;
      if (!serving && count > 0) entry.in_flight[instance] = count;
    }
  }
  entry.acknowledged_sequence = m_acknowledged_sequence;
  return entry;
}

QCoro::Task<void> RosterService::WriteOwnRow() {
  if (!m_own_version_known) {
    const bool known = co_await ReadOwnRow();
    if (!known) co_return;
  }
  RosterEntry entry = MakeOwnEntry();
  const std::string value = EncodeRosterRow(entry);
  // The sequence grows with every write to any table, including writes of roster rows. A new
  // sequence alone is written only if the ownership has changed.
  entry.acknowledged_sequence = 0;
  std::string comparable_row = EncodeRosterRow(entry);
  std::string ownership = m_context.read_load ? OwnershipFingerprint(m_context.fleet.Get()) : "";
  const TimePoint now = m_context.timers.Now();
  const bool fresh = m_own_version > 0 && now - m_written_at < kRefreshPeriod;
  if (fresh && comparable_row == m_written_row && ownership == m_written_ownership) co_return;
  provider::TableService& tables = m_context.platform.tables();
  RetVal<provider::Row> written = Ret(ErrorCode::kInternal, "not written");
  if (m_own_version > 0) {
    written = co_await tables.Update(m_own_key, value, m_own_version);
  } else {
    written = co_await tables.Create(m_own_key, value);
  }
  m_own_version_known = written.ok();
  if (!written.ok()) co_return;
  m_own_version = written->version;
  m_written_row = std::move(comparable_row);
  m_written_ownership = std::move(ownership);
  m_written_at = now;
  if (!std::exchange(m_registered, true)) {
    Log(LogLevel::kInfo, "entry_registered", {{"entry", m_context.settings.id.view()}});
  }
}

QCoro::Task<bool> RosterService::ReadOwnRow() {
  const auto row = co_await m_context.platform.tables().Get(m_own_key);
  if (row.code() == ErrorCode::kNotFound) {
    // The other entries have removed this row because the platform does not list this entry. They
    // would remove a new row again.
    if (m_absence.GoneEntries().contains(m_context.settings.id)) co_return false;
    m_own_version = 0;
    m_own_version_known = true;
    co_return true;
  }
  if (!row.ok()) co_return false;
  const RosterEntry entry = DecodeRosterRow(row->key, row->value);
  if (m_registered && entry.incarnation != m_context.incarnation) {
    // Another process with the same id has taken over the row. Two of them would use the same slots
    // twice, so the older one drains.
    if (m_context.lifecycle.Get() != Lifecycle::kDraining) {
      Log(LogLevel::kError, "entry_superseded", {{"incarnation", entry.incarnation}});
      m_context.lifecycle.Set(Lifecycle::kDraining);
    }
    co_return false;
  }
  m_own_version = row->version;
  m_own_version_known = true;
  co_return true;
}

QCoro::Task<void> RosterService::RemoveOwnRow() {
  if (!m_own_version_known) {
    const bool known = co_await ReadOwnRow();
    if (!known) co_return;
  }
  if (m_own_version == 0) co_return;
  const Ret removed = co_await m_context.platform.tables().Delete(m_own_key, m_own_version);
  Log(LogLevel::kInfo, "entry_unregistered", {{"error", removed.message()}});
}

QCoro::Task<void> RosterService::PollRows() {
  const auto changes = co_await m_context.platform.tables().Changes(kEntriesTable, m_sequence);
  if (!changes.ok()) co_return;
  m_context.last_store_response = m_context.timers.Now();
  // A sequence that has gone back means that the table service has older data than before, which is
  // ignored.
  if (changes->last_sequence < m_sequence) co_return;
  for (const provider::Row& row : changes->rows) {
    const EntryId id(row.key);
    const bool own = id == m_context.settings.id;
    if (row.deleted) {
      m_rows.erase(id);
      if (own) m_own_version_known = false;
    } else {
      m_rows[id] = {.entry = DecodeRosterRow(row.key, row.value), .version = row.version};
      if (own && row.version != m_own_version) m_own_version_known = false;
    }
    m_changed = true;
  }
  m_sequence = changes->last_sequence;
}

QCoro::Task<void> RosterService::ObserveAbsence() {
  std::vector<EntryId> roster;
  for (const auto& [id, row] : m_rows) roster.push_back(id);
  std::set<EntryId> listed = ListedEntries(m_context.fleet.Get().instances);
  const bool absent =
      !listed.empty() && std::any_of(roster.begin(), roster.end(),
                                     [&listed](const EntryId& id) { return !listed.contains(id); });
  if (absent) {
    // The fleet view may be outdated, so an absence is confirmed by a new read of the list.
    const auto instances = co_await m_context.platform.instances().List();
    if (!instances.ok()) co_return;
    listed = ListedEntries(instances.value());
  }
  m_absence.Observe(roster, listed, m_context.timers.Now());
}

QCoro::Task<void> RosterService::RemoveGoneRows() {
  const std::set<EntryId> gone = m_absence.GoneEntries();
  for (const EntryId& id : gone) {
    const auto row = m_rows.find(id);
    if (row == m_rows.end() || id == m_context.settings.id) continue;
    provider::RowKey key{.table = kEntriesTable, .key = id.str()};
    const Ret removed =
        co_await m_context.platform.tables().Delete(std::move(key), row->second.version);
    if (removed.ok()) Log(LogLevel::kWarning, "entry_removed", {{"entry", id.view()}});
  }
}

void RosterService::PublishView() {
  const std::set<EntryId> gone = m_absence.GoneEntries();
  RosterView view;
  std::vector<EntryId> ids;
  for (const auto& [id, row] : m_rows) {
    if (gone.contains(id)) continue;
    view.entries.push_back(row.entry);
    ids.push_back(id);
  }
  const TimePoint now = m_context.timers.Now();
  if (m_sequence > 0 || !m_rows.empty()) m_history.Observe(ids, m_context.settings.id, now);
  view.active_rosters = m_history.ActiveRosters(now);
  const bool same = !std::exchange(m_changed, false) && gone == m_published_gone &&
                    view.active_rosters.size() == m_published_roster_count;
  if (same) return;
  m_published_gone = gone;
  m_published_roster_count = view.active_rosters.size();
  m_roster_size.Set(static_cast<double>(view.entries.size()));
  m_context.roster.Set(std::move(view));
}

}  // namespace citronferry::node
