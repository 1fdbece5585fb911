#ifndef CITRONFERRY_NODE_PLANNER_INTERNAL_FLEET_PLANNER_H_
#define CITRONFERRY_NODE_PLANNER_INTERNAL_FLEET_PLANNER_H_

#include <map>
#include <span>
#include <variant>
#include <vector>

#include "decisions/maintenance/maintenance.h"
#include "decisions/ownership/ownership.h"
#include "document/document.h"
#include "provider/instance_service.h"

namespace citronferry::node {

using PlanningAction = std::variant<maintenance::WritePool, ownership::WriteInstance,
                                    ownership::RebootInstance, maintenance::ReportFailed>;

struct PlanningStep {
  std::vector<PlanningAction> actions;
  uint64_t higher_epoch = 0;  ///< Not 0: another planner has taken over, and there are no actions.
};

/// Connects the decisions about ownership and maintenance. An instance is drained only after its
/// pool row has recorded that it is out.
class FleetPlanner {
 public:
  explicit FleetPlanner(EntryId self) : m_ownership({.self = std::move(self)}) {}

  /// @return the instances that a document assigns to several pools; the first pool counts.
  std::vector<InstanceId> Observe(const document::Document& document, uint64_t version,
                                  TimePoint now);
  void Observe(const ownership::RowObserved& row, TimePoint now) { m_ownership.Handle(row, now); }
  void Observe(const maintenance::PoolObserved& row, TimePoint now) {
    m_maintenance.Handle(row, now);
  }
  void Observe(const ownership::RosterObserved& roster, TimePoint now) {
    m_ownership.Handle(roster, now);
  }
  void Observe(const ownership::DemandObserved& demand, TimePoint now) {
    m_ownership.Handle(demand, now);
  }
  void Observe(const ownership::RebootAccepted& reboot, TimePoint now) {
    m_ownership.Handle(reboot, now);
  }
  void Observe(std::span<const provider::InstanceInfo> list, TimePoint read_started, TimePoint now);

  /// @param epoch fencing epoch of the lease that is held.
  PlanningStep Step(uint64_t epoch, int64_t wall_seconds, TimePoint now);

  const ownership::Ownership& ownership() const { return m_ownership; }
  const maintenance::Maintenance& maintenance() const { return m_maintenance; }

 private:
  struct Location {
    RackName rack;
    DataCentreName data_centre;
    bool live = false;
  };

  ownership::ReservationsObserved ReadReservations() const;
  maintenance::FleetObserved ReadFleet() const;

  ownership::Ownership m_ownership;
  maintenance::Maintenance m_maintenance;
  std::map<InstanceId, Location> m_locations;  ///< Kept for instances that are absent.
  TimePoint m_list_read{};
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_PLANNER_INTERNAL_FLEET_PLANNER_H_
