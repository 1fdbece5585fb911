#ifndef CITRONFERRY_DECISIONS_OWNERSHIP_OWNERSHIP_PLANNER_H_
#define CITRONFERRY_DECISIONS_OWNERSHIP_OWNERSHIP_PLANNER_H_

#include <map>
#include <set>
#include <vector>

#include "decisions/ownership/demand_tracker.h"
#include "decisions/ownership/types.h"

namespace citronferry::ownership {

struct OwnershipPlannerOptions {
  EntryId self;  ///< Entry of this planner; a list or roster without it is not evidence.
  Duration absence_time = 10s;
  Duration max_list_gap = 5s;  ///< After a longer gap, an absence is timed anew.
  /// The platform was asked and the list never showed the instance absent: ask again.
  Duration reboot_retry = 60s;
  Duration move_cooldown = 15min;  ///< Least time between two demand moves of a pool.
  DemandOptions demand;
};

/// Moves instances between pools and takes them through maintenance, by compare-and-set of their
/// rows. Actions follow from observed rows only, so a lost or repeated action does no harm.
class OwnershipPlanner {
 public:
  explicit OwnershipPlanner(OwnershipPlannerOptions options)
      : m_options(std::move(options)), m_demand(m_options.demand) {}

  std::vector<Action> Handle(const Event& event, TimePoint now);

  const std::map<InstanceId, StoredRow>& rows() const { return m_rows; }
  /// @return the instances that the document assigns, with their pools.
  const std::map<InstanceId, PoolName>& homes() const { return m_document.homes; }

 private:
  struct Reboot {
    bool absent = false;  ///< The list showed it absent since it was detached.
    std::optional<TimePoint> accepted;
  };
  struct Absence {
    TimePoint since{};
    TimePoint last{};
  };

  void OnDocumentObserved(const Event& event);
  void OnRowObserved(const Event& event);
  void OnListObserved(const Event& event);
  void OnRosterObserved(const Event& event);
  void OnReservationsObserved(const Event& event);
  void OnDemandObserved(const Event& event);
  void OnRebootAccepted(const Event& event);
  void OnTick(const Event& event);

  void ContinueServing(const InstanceId& id, const StoredRow& stored);
  void ContinueDraining(const InstanceId& id, const StoredRow& stored);
  void ContinueDetached(const InstanceId& id, const StoredRow& stored);
  void CollectMoves();
  void CreateRows();
  void RequestDocumentMoves();
  void RequestReturns();
  void RequestDemandMoves();
  const InstanceId* FindDonor(const PoolName& target) const;

  /// @return the pool that a newer document names for the instance, or nothing.
  const PoolName* FindReassignment(const InstanceId& id, const InstanceRow& row) const;
  bool IsDrained(const InstanceId& id, const StoredRow& stored) const;
  bool IsConfirmedAbsent(const EntryId& entry) const;
  bool IsLive(const InstanceId& id) const;
  bool CanMove(const InstanceId& id, const StoredRow& stored) const;
  bool Retarget(InstanceRow& row, const InstanceId& id);
  void RequestMoveIfPossible(const InstanceId& id, const StoredRow& stored, const PoolName& target);
  bool IsCooldownOver(const PoolName& pool) const;
  void Write(const InstanceId& id, InstanceRow row, std::optional<uint64_t> expected_version);

  OwnershipPlannerOptions m_options;
  DocumentObserved m_document;
  std::map<InstanceId, StoredRow> m_rows;
  std::map<InstanceId, uint64_t> m_removed;  ///< Versions of removed and unreadable rows.
  std::map<InstanceId, bool> m_listed;       ///< Whether each listed instance is live.
  bool m_list_known = false;
  TimePoint m_list_read{};
  std::map<EntryId, Absence> m_absences;
  RosterObserved m_roster;
  bool m_roster_known = false;
  std::map<InstanceId, Reservation> m_reservations;
  DemandTracker m_demand;
  std::map<InstanceId, Reboot> m_reboots;
  std::set<PoolName> m_moving;  ///< Pools that take part in a move.
  std::map<PoolName, int> m_serving;
  std::map<PoolName, TimePoint> m_last_move;
  uint64_t m_epoch = 0;
  std::vector<Action> m_actions;
  TimePoint m_now{};
};

}  // namespace citronferry::ownership

#endif  // CITRONFERRY_DECISIONS_OWNERSHIP_OWNERSHIP_PLANNER_H_
