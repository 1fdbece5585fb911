#include "decisions/dispatch/internal/fair_share.h"

#include <algorithm>

namespace citronferry::dispatch {

void FairShare::SetWeight(Flow flow, double weight) {
  FlowState& state = At(flow);
  if (state.active) m_active_weight += weight - state.weight;
  state.weight = weight;
}

void FairShare::Activate(Flow flow) {
  FlowState& state = At(flow);
  if (state.active) return;
  state.active = true;
  state.start_tag = std::max(state.start_tag, m_virtual_time);
  m_order.emplace(state.start_tag, flow);
  m_active_weight += state.weight;
}

void FairShare::Deactivate(Flow flow) {
  FlowState& state = At(flow);
  if (!state.active) return;
  state.active = false;
  m_order.erase({state.start_tag, flow});
  // Sums of fractional weights accumulate rounding errors, which are discarded with the last flow.
  m_active_weight = m_order.empty() ? 0 : m_active_weight - state.weight;
}

void FairShare::Charge(Flow flow, double cost) {
  const FlowState& state = At(flow);
  m_virtual_time = std::max(m_virtual_time, state.start_tag);
  Move(flow, state.start_tag + cost / state.weight);
}

void FairShare::Correct(Flow flow, double difference) {
  const FlowState& state = At(flow);
  Move(flow, state.start_tag + difference / state.weight);
}

double FairShare::Share(Flow flow) const {
  const bool known = flow < m_flows.size();
  const double weight = known ? m_flows[flow].weight : 1;
  const double others = m_active_weight - (IsActive(flow) ? weight : 0);
  return weight / (weight + std::max(0.0, others));
}

FairShare::FlowState& FairShare::At(Flow flow) {
  if (flow >= m_flows.size()) m_flows.resize(flow + 1);
  return m_flows[flow];
}

void FairShare::Move(Flow flow, double start_tag) {
  FlowState& state = m_flows[flow];
  if (state.active) {
    m_order.erase({state.start_tag, flow});
    m_order.emplace(start_tag, flow);
  }
  state.start_tag = start_tag;
}

}  // namespace citronferry::dispatch
