#ifndef CITRONFERRY_DECISIONS_ROLLOUT_CONFIGURATION_TRACKER_H_
#define CITRONFERRY_DECISIONS_ROLLOUT_CONFIGURATION_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace citronferry::rollout {

/// Identifies one document.
struct ConfigurationId {
  uint64_t version = 0;
  std::string digest;  ///< Of the document's text.

  friend bool operator==(const ConfigurationId&, const ConfigurationId&) = default;
};

// Events.

/// The table service or a peer announced a version.
struct VersionSeen {
  ConfigurationId id;
  EntryId peer;  ///< Empty for the table service.
};
/// The document was fetched, has the digest and is valid.
struct DocumentReady {
  ConfigurationId id;
};
/// The document could not be fetched.
struct DocumentUnavailable {
  ConfigurationId id;
};
/// The document has the digest but is not valid.
struct DocumentInvalid {
  ConfigurationId id;
};

using Event = std::variant<VersionSeen, DocumentReady, DocumentUnavailable, DocumentInvalid>;

// Actions.

/// Fetch the document and check it; answered by one of the Document events.
struct FetchDocument {
  ConfigurationId id;
  EntryId peer;  ///< Has the document; empty if only the store is known to have it.
};
/// Make the document that was fetched last the active configuration.
struct AdoptDocument {
  ConfigurationId id;
};
/// A version was announced with two digests; one of them is refused.
struct ReportConflict {
  ConfigurationId known;
  ConfigurationId refused;
  bool first = false;  ///< Not reported before.
};
/// An older version than the active one was announced and ignored.
struct ReportStale {
  ConfigurationId id;
  bool first = false;  ///< Not reported before.
};
/// The document is not valid and is never fetched again.
struct ReportInvalid {
  ConfigurationId id;
};

using Action =
    std::variant<FetchDocument, AdoptDocument, ReportConflict, ReportStale, ReportInvalid>;

/// Decides which configuration is active. The active version only grows, and one document is
/// fetched at a time.
class ConfigurationTracker {
 public:
  /// @param active_id the active configuration; version 0 for none.
  explicit ConfigurationTracker(ConfigurationId active_id) : m_active_id(std::move(active_id)) {}

  /// @param event what happened.
  /// @param now not used.
  /// @return what the caller has to do, in this order.
  std::vector<Action> Handle(const Event& event, TimePoint now);

  const ConfigurationId& active_id() const { return m_active_id; }

 private:
  struct Candidate {
    ConfigurationId id;
    EntryId peer;
  };

  void OnVersionSeen(const Event& event);
  void OnDocumentReady(const Event& event);
  void OnDocumentUnavailable(const Event& event);
  void OnDocumentInvalid(const Event& event);

  void ConsiderCandidate(const VersionSeen& seen);
  void FetchNext();
  void AddConflictReport(const ConfigurationId& known, const ConfigurationId& refused);
  /// @return whether it had not been reported before.
  bool MarkReported(const ConfigurationId& id);

  ConfigurationId m_active_id;
  std::optional<Candidate> m_fetching;
  std::optional<Candidate> m_next;  // Newest one announced during the fetch.
  std::set<std::string> m_invalid;  // Digests of documents that are not valid.
  std::set<std::pair<uint64_t, std::string>> m_reported;
  std::vector<Action> m_actions;
};

}  // namespace citronferry::rollout

#endif  // CITRONFERRY_DECISIONS_ROLLOUT_CONFIGURATION_TRACKER_H_
