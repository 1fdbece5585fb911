#ifndef CITRONFERRY_NODE_PLANNER_INTERNAL_FLEET_PLANNER_H_
#define CITRONFERRY_NODE_PLANNER_INTERNAL_FLEET_PLANNER_H_

#include <map>
#include <span>
#include <variant>
#include <vector>

#include "decisions/maintenance/maintenance_planner.h"
#include "decisions/ownership/ownership_planner.h"
#include "document/document.h"
#include "provider/instance_service.h"

namespace citronferry::node {

/// Row write, reboot or report that the service has to carry out.
using PlanningAction = std::variant<maintenance::WritePool, ownership::WriteInstance,
                                    ownership::RebootInstance, maintenance::ReportFailed>;

/// Result of one planning step.
struct PlanningStep {
  std::vector<PlanningAction> actions;
  /// Epoch of another planner that has taken over, in which case there are no actions; else 0.
  uint64_t higher_epoch = 0;
};

/// Plans ownership and maintenance together and passes the results of one to the other. An instance
/// is drained only after its pool row records that the instance is out of service.
class FleetPlanner {
 public:
  explicit FleetPlanner(EntryId self) : m_ownership({.self = std::move(self)}) {}

  /// @return the instances that the document assigns to several pools; the first pool is used.
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
  /// @param list instance list of the platform.
  /// @param read_started when the read of the list was started.
  void Observe(std::span<const provider::InstanceInfo> list, TimePoint read_started, TimePoint now);

  /// Decides on the next actions, from everything observed so far.
  /// @param epoch fencing epoch of the held lease.
  /// @param wall_seconds wall clock in seconds since 1970.
  PlanningStep Step(uint64_t epoch, int64_t wall_seconds, TimePoint now);

  const ownership::OwnershipPlanner& ownership() const { return m_ownership; }
  const maintenance::MaintenancePlanner& maintenance() const { return m_maintenance; }

 private:
  /// Where the instance list last showed an instance.
  struct Location {
    RackName rack;
    DataCentreName data_centre;
    bool live = false;
  };

  ownership::ReservationsObserved CollectReservations() const;
  maintenance::FleetObserved CollectFleet() const;

  ownership::OwnershipPlanner m_ownership;
  maintenance::MaintenancePlanner m_maintenance;
  std::map<InstanceId, Location> m_locations;  ///< Kept while an instance is absent from the list.
  TimePoint m_list_read{};
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_PLANNER_INTERNAL_FLEET_PLANNER_H_
