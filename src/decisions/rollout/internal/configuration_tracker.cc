#include "decisions/rollout/configuration_tracker.h"

#include <array>
#include <utility>

namespace citronferry::rollout {
namespace {

// Bounds the memory for what was reported; when it is cleared, only log lines are repeated.
constexpr size_t kMaxReported = 1000;

}  // namespace

std::vector<Action> ConfigurationTracker::Handle(const Event& event, TimePoint) {
  using Handler = void (ConfigurationTracker::*)(const Event&);
  // In the order of the alternatives of Event.
  static constexpr std::array<Handler, std::variant_size_v<Event>> kHandlers{
      &ConfigurationTracker::OnVersionSeen, &ConfigurationTracker::OnDocumentReady,
      &ConfigurationTracker::OnDocumentUnavailable, &ConfigurationTracker::OnDocumentInvalid};
  (this->*kHandlers[event.index()])(event);
  return std::exchange(m_actions, {});
}

void ConfigurationTracker::OnVersionSeen(const Event& event) {
  const auto& seen = std::get<VersionSeen>(event);
  if (seen.id.version < m_active_id.version) {
    m_actions.emplace_back(ReportStale{.id = seen.id, .first = MarkReported(seen.id)});
  } else if (seen.id.version > m_active_id.version) {
    ConsiderCandidate(seen);
  } else if (seen.id.digest != m_active_id.digest) {
    AddConflictReport(m_active_id, seen.id);
  }
}

void ConfigurationTracker::ConsiderCandidate(const VersionSeen& seen) {
  if (m_invalid.contains(seen.id.digest)) return;
  const std::optional<Candidate>& newest = m_next ? m_next : m_fetching;
  if (newest) {
    if (seen.id.version < newest->id.version || seen.id == newest->id) return;
    if (seen.id.version == newest->id.version) {
      // The row in the table service was written by operators and takes precedence over a peer.
      if (!seen.peer.empty()) return AddConflictReport(newest->id, seen.id);
      AddConflictReport(seen.id, newest->id);
    }
  }
  m_next = Candidate{.id = seen.id, .peer = seen.peer};
  if (!m_fetching) FetchNext();
}

void ConfigurationTracker::OnDocumentReady(const Event& event) {
  const ConfigurationId& id = std::get<DocumentReady>(event).id;
  if (!m_fetching || m_fetching->id != id) return;
  const bool superseded = m_next && m_next->id.version == id.version;
  if (id.version > m_active_id.version && !superseded) {
    m_active_id = id;
    m_actions.emplace_back(AdoptDocument{id});
  }
  FetchNext();
}

void ConfigurationTracker::OnDocumentUnavailable(const Event& event) {
  if (m_fetching && m_fetching->id == std::get<DocumentUnavailable>(event).id) FetchNext();
}

void ConfigurationTracker::OnDocumentInvalid(const Event& event) {
  const ConfigurationId& id = std::get<DocumentInvalid>(event).id;
  if (!m_fetching || m_fetching->id != id) return;
  m_invalid.insert(id.digest);
  m_actions.emplace_back(ReportInvalid{id});
  FetchNext();
}

void ConfigurationTracker::FetchNext() {
  m_fetching = std::exchange(m_next, std::nullopt);
  if (m_fetching) {
    m_actions.emplace_back(FetchDocument{.id = m_fetching->id, .peer = m_fetching->peer});
  }
}

void ConfigurationTracker::AddConflictReport(const ConfigurationId& known,
                                             const ConfigurationId& refused) {
  m_actions.emplace_back(
      ReportConflict{.known = known, .refused = refused, .first = MarkReported(refused)});
}

bool ConfigurationTracker::MarkReported(const ConfigurationId& id) {
  if (m_reported.size() >= kMaxReported) m_reported.clear();
  return m_reported.emplace(id.version, id.digest).second;
}

}  // namespace citronferry::rollout
