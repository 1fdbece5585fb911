#ifndef CITRONFERRY_DECISIONS_OWNERSHIP_OWNERSHIP_PLANNER_H_
#define CITRONFERRY_DECISIONS_OWNERSHIP_OWNERSHIP_PLANNER_H_

#include <map>
#include <set>
#include <vector>

#include "decisions/ownership/demand_tracker.h"
#include "decisions/ownership/types.h"

namespace citronferry::ownership {

struct OwnershipPlannerOptions {
  /// Entry on which this planner runs. A list or roster without it is stale or incomplete and does
  /// not prove the absence of other entries.
  EntryId self;
  Duration absence_time = 10s;  ///< Time after which an unlisted entry counts as absent.
  Duration max_list_gap = 5s;   ///< A longer gap between lists restarts the timing of absences.
  /// Time after which a reboot that the platform has accepted is requested again, if the instance
  /// never disappeared from the list.
  Duration reboot_retry = 60s;
  Duration move_cooldown = 15min;  ///< Minimum time between two demand moves of a pool.
  DemandOptions demand;
};

/// Plans the moves of instances between pools and their way through maintenance: drain, detach,
/// reboot and attach. Each step is a compare-and-set of the row of the instance. Actions depend
/// only on observed state, so an action that is lost or executed twice does no harm. Pure: it reads
/// no clock and does no I/O.
class OwnershipPlanner {
 public:
  explicit OwnershipPlanner(OwnershipPlannerOptions options)
      : m_options(std::move(options)), m_demand(m_options.demand) {}

  /// @param event observation to record, or Tick to plan.
  /// @param now time of the event.
  /// @return the actions to execute, in this order; only Tick leads to actions.
  std::vector<Action> Handle(const Event& event, TimePoint now);

  const std::map<InstanceId, StoredRow>& rows() const { return m_rows; }
  /// @return the pool that the document assigns to each instance.
  const std::map<InstanceId, PoolName>& homes() const { return m_document.homes; }

 private:
  /// Progress of the reboot of a detached instance.
  struct Reboot {
    bool absent = false;  ///< The instance was missing from a list since it was detached.
    std::optional<TimePoint> accepted;  ///< Time at which the platform accepted the reboot.
  };
  /// Period in which an entry was missing from every list.
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

  /// Starts to drain a reserved instance, or records a newer document that names the same pool.
  void ContinueServing(const InstanceId& id, const StoredRow& stored);
  /// Detaches the instance once no entry uses it.
  void ContinueDraining(const InstanceId& id, const StoredRow& stored);
  /// Reboots the instance and attaches it to its target pool when it is back.
  void ContinueDetached(const InstanceId& id, const StoredRow& stored);
  /// Finds the pools that take part in a move and counts the serving instances of each pool.
  void CollectMoves();
  /// Creates the rows of instances that only the document names.
  void CreateRows();
  /// Requests moves of instances that a newer document assigns to another pool.
  void RequestDocumentMoves();
  /// Requests moves of borrowed instances back to their home pool.
  void RequestReturns();
  /// Requests moves of instances to pools with a sustained shortage.
  void RequestDemandMoves();
  /// @return an instance that can move to the target pool on demand, or null.
  const InstanceId* FindDonor(const PoolName& target) const;

  /// @return the pool to which a newer document reassigns the instance, or null.
  const PoolName* FindReassignment(const InstanceId& id, const InstanceRow& row) const;
  /// @return whether every entry that is not confirmed absent has acknowledged the drain and has no
  ///   request in flight on the instance.
  bool IsDrained(const InstanceId& id, const StoredRow& stored) const;
  /// @return whether the entry has been missing from all lists for at least absence_time.
  bool IsConfirmedAbsent(const EntryId& entry) const;
  bool IsLive(const InstanceId& id) const;
  /// @return whether the instance is serving, live and not reserved.
  bool CanMove(const InstanceId& id, const StoredRow& stored) const;
  /// Redirects a move in progress to the pool that a newer document names.
  /// @return whether the row was changed.
  bool Retarget(InstanceRow& row, const InstanceId& id);
  /// Requests a move unless the source or the target already takes part in one.
  void RequestMoveIfPossible(const InstanceId& id, const StoredRow& stored, const PoolName& target);
  /// @return whether move_cooldown has passed since the last move from or to the pool.
  bool IsCooldownOver(const PoolName& pool) const;
  void Write(const InstanceId& id, InstanceRow row, std::optional<uint64_t> expected_version);

  OwnershipPlannerOptions m_options;
  DocumentObserved m_document;
  std::map<InstanceId, StoredRow> m_rows;
  std::map<InstanceId, uint64_t> m_removed;  ///< Versions of removed or unreadable rows.
  std::map<InstanceId, bool> m_listed;       ///< Whether each listed instance is live.
  bool m_list_known = false;
  TimePoint m_list_read{};  ///< Start of the read of the latest list.
  std::map<EntryId, Absence> m_absences;
  RosterObserved m_roster;
  bool m_roster_known = false;
  std::map<InstanceId, Reservation> m_reservations;
  DemandTracker m_demand;
  std::map<InstanceId, Reboot> m_reboots;
  std::set<PoolName> m_moving;        ///< Pools that take part in a move.
  std::map<PoolName, int> m_serving;  ///< Number of serving instances of each pool.
  std::map<PoolName, TimePoint> m_last_move;
  uint64_t m_epoch = 0;  ///< Fencing epoch of the lease that is held.
  std::vector<Action> m_actions;
  TimePoint m_now{};
};

}  // namespace citronferry::ownership

#endif  // CITRONFERRY_DECISIONS_OWNERSHIP_OWNERSHIP_PLANNER_H_
