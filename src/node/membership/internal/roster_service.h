#ifndef CITRONFERRY_NODE_MEMBERSHIP_INTERNAL_ROSTER_SERVICE_H_
#define CITRONFERRY_NODE_MEMBERSHIP_INTERNAL_ROSTER_SERVICE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "decisions/membership/absence_tracker.h"
#include "decisions/membership/roster_history.h"
#include "node/membership/internal/peer_service.h"
#include "node/node_context.h"
#include "supervision/supervisor.h"

namespace citronferry::node {

/// Maintains this entry's row in the roster table and publishes the roster of all entries. Removes
/// the rows of entries that the platform no longer runs.
class RosterService : public Service {
 public:
  RosterService(NodeContext& context, std::shared_ptr<const PeerEndpoint> endpoint);

  QCoro::Task<Ret> Run() override;
  void Stop() override { m_stop.Request(); }

 private:
  struct KnownRow {
    RosterEntry entry;
    uint64_t version = 0;
  };

  QCoro::Task<void> WriteOwnRow();
  /// Reads the version of the own row after a start, a failed write or a write by another process.
  /// @return false when the own row cannot be written now.
  QCoro::Task<bool> ReadOwnRow();
  QCoro::Task<void> RemoveOwnRow();
  QCoro::Task<void> PollRows();
  QCoro::Task<void> ObserveAbsence();
  QCoro::Task<void> RemoveGoneRows();
  void PublishView();

  RosterEntry MakeOwnEntry();

  NodeContext& m_context;
  std::shared_ptr<const PeerEndpoint> m_endpoint;
  prometheus::Gauge& m_roster_size;
  provider::RowKey m_own_key;
  bool m_own_version_known = false;      // Whether m_own_version is the version in the table.
  uint64_t m_own_version = 0;            // 0 without a row.
  bool m_registered = false;             // Whether this incarnation has written the row.
  uint64_t m_acknowledged_sequence = 0;  // Change-feed position that the gateway last applied.
  std::string m_written_row;             // Last row written, without acknowledged_sequence.
  std::string m_written_ownership;       // Fingerprint of the ownership last acknowledged.
  TimePoint m_written_at;
  uint64_t m_sequence = 0;  // Change-feed position of the roster table.
  std::map<EntryId, KnownRow> m_rows;
  membership::AbsenceTracker m_absence;
  membership::RosterHistory m_history;
  bool m_changed = false;  // Whether m_rows differs from the published view.
  size_t m_published_roster_count = 0;
  std::set<EntryId> m_published_gone;
  StopSignal m_stop;
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_MEMBERSHIP_INTERNAL_ROSTER_SERVICE_H_
