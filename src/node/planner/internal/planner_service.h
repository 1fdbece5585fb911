#ifndef CITRONFERRY_NODE_PLANNER_INTERNAL_PLANNER_SERVICE_H_
#define CITRONFERRY_NODE_PLANNER_INTERNAL_PLANNER_SERVICE_H_

#include <map>
#include <set>
#include <string>

#include "decisions/leadership/lease.h"
#include "node/node_context.h"
#include "node/planner/internal/fleet_planner.h"
#include "supervision/supervisor.h"

namespace citronferry::node {

/// Takes part in the election of the planner and executes the actions of FleetPlanner while it
/// holds the lease. Only the holder of the lease reads and writes rows other than the lease.
class PlannerService : public Service {
 public:
  PlannerService(NodeContext& context, provider::TableService& tables,
                 provider::InstanceService& instances);

  QCoro::Task<Ret> Run() override;
  void Stop() override { m_stop.Request(); }

 private:
  QCoro::Task<void> UpdateLease();
  QCoro::Task<leadership::Event> ReadLease(leadership::Action action);
  QCoro::Task<leadership::Event> WriteLease(leadership::Action action);

  QCoro::Task<void> Plan();
  QCoro::Task<bool> Observe();
  QCoro::Task<bool> ObserveInstanceRows();
  QCoro::Task<bool> ObservePoolRows();
  QCoro::Task<bool> ObserveRoster();
  QCoro::Task<bool> ObserveList();
  void ObserveDocument();
  void ObserveDemand();

  QCoro::Task<void> WritePool(PlanningAction action);
  QCoro::Task<void> WriteInstance(PlanningAction action);
  QCoro::Task<void> Reboot(PlanningAction action);
  QCoro::Task<void> ReportFailed(PlanningAction action);
  /// Updates a row if it has the expected version, or creates it without one. The next read of the
  /// change feed shows whether a write with an unknown outcome has taken effect.
  QCoro::Task<RetVal<provider::Row>> Write(provider::RowKey key, std::string value,
                                           std::optional<uint64_t> expected_version);

  bool MayAct() const { return m_lease.MayAct(m_context.timers.Now()); }
  void PublishStatus();

  NodeContext& m_context;
  provider::TableService& m_tables;
  provider::InstanceService& m_instances;
  StopSignal m_stop;
  leadership::Lease m_lease;
  FleetPlanner m_fleet_planner;
  bool m_was_acting = false;
  uint64_t m_document_version = 0;
  // Positions in the change feeds of the tables.
  uint64_t m_instances_sequence = 0;
  uint64_t m_pools_sequence = 0;
  uint64_t m_entries_sequence = 0;
  std::map<EntryId, ownership::EntryReport> m_entries;
  Subscription m_pause_subscription;
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_PLANNER_INTERNAL_PLANNER_SERVICE_H_
