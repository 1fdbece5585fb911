#ifndef CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_FAIR_SHARE_H_
#define CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_FAIR_SHARE_H_

#include <cstdint>
#include <set>
#include <utility>
#include <vector>

namespace citronferry::dispatch {

/// Start-time fair queueing over flows. A flow that waits is charged for what it uses; one that was
/// idle joins at the current virtual time, so it neither saves up credit nor pays for capacity that
/// it borrowed while others were idle. Only active flows cost anything.
class FairShare {
 public:
  using Flow = uint32_t;

  void SetWeight(Flow flow, double weight);
  void Activate(Flow flow);
  void Deactivate(Flow flow);
  bool HasActive() const { return !m_order.empty(); }
  bool IsActive(Flow flow) const { return flow < m_flows.size() && m_flows[flow].active; }
  /// @return the active flow to serve next.
  Flow Next() const { return m_order.begin()->second; }
  /// Charges an active flow that is served now.
  /// @param cost expected slot time in seconds.
  void Charge(Flow flow, double cost);
  /// Corrects an earlier charge.
  void Correct(Flow flow, double difference);
  /// @return the part of the capacity that a flow gets while the present flows stay active.
  double Share(Flow flow) const;

 private:
  struct FlowState {
    double start_tag = 0;  ///< Virtual time at which the next request of the flow starts.
    double weight = 1;
    bool active = false;
  };

  FlowState& At(Flow flow);
  void Move(Flow flow, double start_tag);

  std::vector<FlowState> m_flows;
  std::set<std::pair<double, Flow>> m_order;  ///< Active flows by start.
  double m_virtual_time = 0;
  double m_active_weight = 0;
};

}  // namespace citronferry::dispatch

#endif  // CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_FAIR_SHARE_H_
