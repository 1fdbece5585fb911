#ifndef CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_FAIR_SHARE_H_
#define CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_FAIR_SHARE_H_

#include <cstdint>
#include <set>
#include <utility>
#include <vector>

namespace citronferry::dispatch {

/// Start-time fair queueing over flows. A flow is charged for the capacity that it uses while it
/// has requests waiting. A flow that was idle joins at the current virtual time, so it has neither
/// saved up credit nor has to pay for capacity that it used while others were idle. Operations
/// take logarithmic time in the number of active flows.
class FairShare {
 public:
  using Flow = uint32_t;

  void SetWeight(Flow flow, double weight);
  /// Adds a flow that has requests waiting again.
  void Activate(Flow flow);
  /// Removes a flow without startable requests.
  void Deactivate(Flow flow);
  bool HasActive() const { return !m_order.empty(); }
  bool IsActive(Flow flow) const { return flow < m_flows.size() && m_flows[flow].active; }
  /// @return the active flow to serve next.
  Flow Next() const { return m_order.begin()->second; }
  /// Charges an active flow that is served now.
  /// @param cost expected slot time in seconds.
  void Charge(Flow flow, double cost);
  /// Corrects an earlier charge.
  /// @param difference actual less charged slot time in seconds.
  void Correct(Flow flow, double difference);
  /// @return the fraction of the capacity, from 0 to 1, that a flow gets while the set of active
  ///   flows stays the same.
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
  std::set<std::pair<double, Flow>> m_order;  ///< Active flows by start tag.
  double m_virtual_time = 0;
  double m_active_weight = 0;
};

}  // namespace citronferry::dispatch

#endif  // CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_FAIR_SHARE_H_
