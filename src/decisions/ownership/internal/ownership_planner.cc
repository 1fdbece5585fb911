#include "decisions/ownership/ownership_planner.h"

#include <algorithm>
#include <array>
#include <utility>

namespace citronferry::ownership {

std::vector<Action> OwnershipPlanner::Handle(const Event& event, TimePoint now) {
  using Handler = void (OwnershipPlanner::*)(const Event&);
  // In the order of the alternatives of Event.
  static constexpr std::array<Handler, std::variant_size_v<Event>> kHandlers{
      &OwnershipPlanner::OnDocumentObserved,     &OwnershipPlanner::OnRowObserved,
      &OwnershipPlanner::OnListObserved,         &OwnershipPlanner::OnRosterObserved,
      &OwnershipPlanner::OnReservationsObserved, &OwnershipPlanner::OnDemandObserved,
      &OwnershipPlanner::OnRebootAccepted,       &OwnershipPlanner::OnTick};
  m_now = now;
  (this->*kHandlers[event.index()])(event);
  return std::exchange(m_actions, {});
}

void OwnershipPlanner::OnDocumentObserved(const Event& event) {
  const auto& document = std::get<DocumentObserved>(event);
  if (document.version > m_document.version) m_document = document;
}

void OwnershipPlanner::OnRowObserved(const Event& event) {
  const auto& observed = std::get<RowObserved>(event);
  const auto known = m_rows.find(observed.id);
  const auto removed = m_removed.find(observed.id);
  if (known != m_rows.end() && observed.version <= known->second.version) return;
  if (removed != m_removed.end() && observed.version <= removed->second) return;
  if (!observed.row) {
    m_rows.erase(observed.id);
    m_removed[observed.id] = observed.version;
    return;
  }
  m_removed.erase(observed.id);
  m_rows[observed.id] = {.row = *observed.row,
                         .version = observed.version,
                         .sequence = observed.sequence,
                         .seen = m_now};
}

void OwnershipPlanner::OnListObserved(const Event& event) {
  const auto& list = std::get<InstanceListObserved>(event);
  if (m_list_known && list.read_started < m_list_read) return;
  const bool gap = !m_list_known || list.read_started - m_list_read > m_options.max_list_gap;
  m_list_known = true;
  m_list_read = list.read_started;
  m_listed.clear();
  for (const ListedInstance& instance : list.instances) m_listed[instance.id] = instance.live;

  // A list that lacks the entry of this planner is stale or incomplete.
  const bool evidence = m_listed.contains(InstanceId(m_options.self.view()));
  if (gap || !evidence) m_absences.clear();
  std::erase_if(m_absences, [this](const auto& absence) {
    return m_listed.contains(InstanceId(absence.first.view()));
  });
  if (evidence) {
    for (const EntryReport& entry : m_roster.entries) {
      if (m_listed.contains(InstanceId(entry.id.view()))) continue;
      m_absences.try_emplace(entry.id, Absence{.since = m_list_read}).first->second.last =
          m_list_read;
    }
  }
  for (auto& [id, reboot] : m_reboots) {
    if (!m_listed.contains(id)) reboot.absent = true;
  }
}

void OwnershipPlanner::OnRosterObserved(const Event& event) {
  const auto& roster = std::get<RosterObserved>(event);
  if (m_roster_known && roster.read_started < m_roster.read_started) return;
  // An entry that has written its row is alive, even if a stale list lacks it.
  std::map<EntryId, uint64_t> versions;
  for (const EntryReport& entry : m_roster.entries) versions[entry.id] = entry.version;
  for (const EntryReport& entry : roster.entries) {
    if (versions[entry.id] != entry.version) m_absences.erase(entry.id);
  }
  m_roster = roster;
  m_roster_known = true;
}

void OwnershipPlanner::OnReservationsObserved(const Event& event) {
  m_reservations = std::get<ReservationsObserved>(event).reservations;
}

void OwnershipPlanner::OnDemandObserved(const Event& event) {
  m_demand.Observe(std::get<DemandObserved>(event).pools, m_now);
}

void OwnershipPlanner::OnRebootAccepted(const Event& event) {
  const auto reboot = m_reboots.find(std::get<RebootAccepted>(event).id);
  if (reboot != m_reboots.end()) reboot->second.accepted = m_now;
}

void OwnershipPlanner::OnTick(const Event& event) {
  // Another planner may have attached and detached instances since this one last held the lease.
  if (std::exchange(m_epoch, std::get<Tick>(event).epoch) != m_epoch) m_reboots.clear();
  for (const auto& [id, stored] : m_rows) {
    if (stored.row.epoch > m_epoch) {
      m_actions.emplace_back(ReportHigherEpoch{.epoch = stored.row.epoch});
      return;
    }
  }
  if (!m_list_known || !m_roster_known) return;
  using Continue = void (OwnershipPlanner::*)(const InstanceId&, const StoredRow&);
  // In the order of RowState.
  static constexpr std::array<Continue, 3> kContinue{&OwnershipPlanner::ContinueServing,
                                                     &OwnershipPlanner::ContinueDraining,
                                                     &OwnershipPlanner::ContinueDetached};
  std::erase_if(m_reboots, [this](const auto& reboot) {
    const auto row = m_rows.find(reboot.first);
    return row == m_rows.end() || row->second.row.state != RowState::kDetached;
  });
  CollectMoves();
  for (const auto& [id, stored] : m_rows) {
    (this->*kContinue[static_cast<size_t>(stored.row.state)])(id, stored);
  }
  CreateRows();
  RequestDocumentMoves();
  RequestReturns();
  RequestDemandMoves();
}

void OwnershipPlanner::ContinueServing(const InstanceId& id, const StoredRow& stored) {
  const auto reservation = m_reservations.find(id);
  const PoolName* assigned = FindReassignment(id, stored.row);
  InstanceRow row = stored.row;
  if (reservation != m_reservations.end() && reservation->second.row_version == stored.version) {
    row.state = RowState::kDraining;
    row.target = reservation->second.target;
    if (assigned && *assigned == row.target) {
      row.home = *assigned;
      row.document = m_document.version;
    }
    Write(id, std::move(row), stored.version);
  } else if (assigned && *assigned == row.pool) {
    row.home = *assigned;
    row.document = m_document.version;
    Write(id, std::move(row), stored.version);
  }
}

void OwnershipPlanner::ContinueDraining(const InstanceId& id, const StoredRow& stored) {
  InstanceRow row = stored.row;
  if (!Retarget(row, id)) {
    if (!IsDrained(id, stored)) return;
    row.state = RowState::kDetached;
  }
  Write(id, std::move(row), stored.version);
}

void OwnershipPlanner::ContinueDetached(const InstanceId& id, const StoredRow& stored) {
  InstanceRow row = stored.row;
  Reboot& reboot = m_reboots[id];
  if (Retarget(row, id)) {
    Write(id, std::move(row), stored.version);
    return;
  }
  if (reboot.absent && IsLive(id)) {
    row.state = RowState::kServing;
    row.pool = std::exchange(row.target, {});
    Write(id, std::move(row), stored.version);
    return;
  }
  const bool retry = !reboot.accepted || m_now - *reboot.accepted >= m_options.reboot_retry;
  if (!reboot.absent && retry) m_actions.emplace_back(RebootInstance{.id = id});
}

void OwnershipPlanner::CreateRows() {
  for (const auto& [id, pool] : m_document.homes) {
    // Removed rows are not created again, because an operator took the instance away.
    if (m_rows.contains(id) || m_removed.contains(id)) continue;
    InstanceRow row{.pool = pool, .home = pool, .document = m_document.version};
    Write(id, std::move(row), std::nullopt);
  }
}

void OwnershipPlanner::CollectMoves() {
  m_moving.clear();
  m_serving.clear();
  const auto add = [this](const PoolName& source, const PoolName& target) {
    if (source == target) return;
    m_moving.insert({source, target});
    m_last_move[source] = m_last_move[target] = m_now;
  };
  for (const auto& [id, stored] : m_rows) {
    const auto reservation = m_reservations.find(id);
    if (stored.row.state != RowState::kServing) {
      const bool failed = reservation != m_reservations.end() && reservation->second.failed;
      if (!failed) add(stored.row.pool, stored.row.target);
      continue;
    }
    ++m_serving[stored.row.pool];
    if (reservation != m_reservations.end() && reservation->second.row_version == stored.version) {
      add(stored.row.pool, reservation->second.target);
    }
  }
}

void OwnershipPlanner::RequestDocumentMoves() {
  for (const auto& [id, stored] : m_rows) {
    const PoolName* assigned = FindReassignment(id, stored.row);
    if (assigned && CanMove(id, stored)) RequestMoveIfPossible(id, stored, *assigned);
  }
}

void OwnershipPlanner::RequestReturns() {
  for (const auto& [id, stored] : m_rows) {
    const InstanceRow& row = stored.row;
    if (row.pool == row.home || !CanMove(id, stored) || !IsCooldownOver(row.pool)) continue;
    if (m_demand.CanReturn(row.pool)) RequestMoveIfPossible(id, stored, row.home);
  }
}

void OwnershipPlanner::RequestDemandMoves() {
  for (const auto& [pool, plan] : m_document.pools) {
    if (!m_demand.HasShortage(pool) || m_moving.contains(pool) || !IsCooldownOver(pool)) continue;
    const InstanceId* donor = FindDonor(pool);
    if (donor) RequestMoveIfPossible(*donor, m_rows.at(*donor), pool);
  }
}

const InstanceId* OwnershipPlanner::FindDonor(const PoolName& target) const {
  const InstanceId* donor = nullptr;
  for (const auto& [id, stored] : m_rows) {
    const PoolName& source = stored.row.pool;
    const auto plan = m_document.pools.find(source);
    if (source == target || plan == m_document.pools.end() || m_moving.contains(source) ||
        !IsCooldownOver(source) || !CanMove(id, stored)) {
      continue;
    }
    const auto serving = m_serving.find(source);
    if (serving->second <= plan->second.min_instances) continue;
    if (plan->second.spare && !m_demand.HasShortage(source)) return &id;
    if (!donor && m_demand.HasSlack(source)) donor = &id;
  }
  return donor;
}

const PoolName* OwnershipPlanner::FindReassignment(const InstanceId& id,
                                                   const InstanceRow& row) const {
  const auto home = m_document.homes.find(id);
  if (home == m_document.homes.end() || home->second == row.home) return nullptr;
  // Another planner may have applied a newer document than the one known here.
  return m_document.version > row.document ? &home->second : nullptr;
}

bool OwnershipPlanner::IsDrained(const InstanceId& id, const StoredRow& stored) const {
  // A roster read before the drain may lack an entry that has joined since and uses the instance.
  if (m_roster.read_started < stored.seen) return false;
  const auto& entries = m_roster.entries;
  const bool complete = std::any_of(entries.begin(), entries.end(), [this](const EntryReport& e) {
    return e.id == m_options.self;
  });
  return complete && std::all_of(entries.begin(), entries.end(), [&](const EntryReport& entry) {
           const auto in_flight = entry.in_flight.find(id);
           const bool idle = in_flight == entry.in_flight.end() || in_flight->second <= 0;
           return (entry.acknowledged_sequence >= stored.sequence && idle) ||
                  IsConfirmedAbsent(entry.id);
         });
}

bool OwnershipPlanner::IsConfirmedAbsent(const EntryId& entry) const {
  const auto absence = m_absences.find(entry);
  return absence != m_absences.end() &&
         absence->second.last - absence->second.since >= m_options.absence_time;
}

bool OwnershipPlanner::IsLive(const InstanceId& id) const {
  const auto listed = m_listed.find(id);
  return listed != m_listed.end() && listed->second;
}

bool OwnershipPlanner::CanMove(const InstanceId& id, const StoredRow& stored) const {
  return stored.row.state == RowState::kServing && IsLive(id) && !m_reservations.contains(id);
}

bool OwnershipPlanner::Retarget(InstanceRow& row, const InstanceId& id) {
  const PoolName* assigned = FindReassignment(id, row);
  // An instance in maintenance returns to its own pool first, so that each pool takes part in one
  // move at a time.
  if (!assigned || row.target == row.pool) return false;
  if (*assigned != row.pool && *assigned != row.target && m_moving.contains(*assigned)) {
    return false;
  }
  m_moving.insert(*assigned);
  row.target = row.home = *assigned;
  row.document = m_document.version;
  return true;
}

void OwnershipPlanner::RequestMoveIfPossible(const InstanceId& id, const StoredRow& stored,
                                             const PoolName& target) {
  const PoolName& source = stored.row.pool;
  if (source == target || m_moving.contains(source) || m_moving.contains(target)) return;
  m_actions.emplace_back(RequestMove{.id = id, .source = source, .target = target});
}

bool OwnershipPlanner::IsCooldownOver(const PoolName& pool) const {
  const auto last = m_last_move.find(pool);
  return last == m_last_move.end() || m_now - last->second >= m_options.move_cooldown;
}

void OwnershipPlanner::Write(const InstanceId& id, InstanceRow row,
                             std::optional<uint64_t> expected_version) {
  row.epoch = m_epoch;
  m_actions.emplace_back(
      WriteInstance{.id = id, .row = std::move(row), .expected_version = expected_version});
}

}  // namespace citronferry::ownership
