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

/// Keeps this entry's row in the roster and follows the rows of the others.
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
  /// Learns the version of the own row, after a start or a write with an unknown outcome.
  /// @return false when the row can not be written now.
  QCoro::Task<bool> ReadOwnRow();
  QCoro::Task<void> RemoveOwnRow();
  QCoro::Task<void> PollRows();
  QCoro::Task<void> ObserveAbsence();
  QCoro::Task<void> RemoveGoneRows();
  void PublishView();

  RosterEntry MakeOwnEntry();

  NodeContext& m_context;
  std::shared_ptr<const PeerEndpoint> m_endpoint;
  prometheus::Gauge& m_size;
  provider::RowKey m_own_key;
  bool m_own_known = false;         // Whether m_own_version is what the table has.
  uint64_t m_own_version = 0;       // 0 when there is no row.
  bool m_registered = false;        // This incarnation has written the row.
  uint64_t m_acknowledged = 0;      // Last sequence that the gateway obeyed.
  std::string m_written;            // Row as written, without the acknowledgement.
  std::string m_written_ownership;  // What the acknowledgement covers.
  TimePoint m_written_at;
  uint64_t m_sequence = 0;
  std::map<EntryId, KnownRow> m_rows;
  membership::AbsenceTracker m_absence;
  membership::RosterHistory m_history;
  bool m_changed = false;
  size_t m_published_rosters = 0;
  std::set<EntryId> m_published_gone;
  StopSignal m_stop;
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_MEMBERSHIP_INTERNAL_ROSTER_SERVICE_H_
