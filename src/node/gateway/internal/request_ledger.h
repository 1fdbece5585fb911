#ifndef CITRONFERRY_NODE_GATEWAY_INTERNAL_REQUEST_LEDGER_H_
#define CITRONFERRY_NODE_GATEWAY_INTERNAL_REQUEST_LEDGER_H_

#include "decisions/requests/record_status.h"
#include "decisions/requests/settlement.h"
#include "node/gateway/work_runner.h"
#include "node/node_context.h"
#include "supervision/task_scope.h"

namespace citronferry::node {

/// @return the key of a request's row. Unique, since a team's name is written without dots.
std::string LedgerKey(const TeamName& team, std::string_view request_key);

/// Reads and writes the rows of the request ledger.
class RequestLedger {
 public:
  RequestLedger(NodeContext& context, provider::TableService& tables,
                provider::ObjectStore& objects)
      : m_context(context), m_tables(tables), m_objects(objects) {}

  /// @return a new claim of this entry with a random token.
  requests::Record MakeClaim(std::string fingerprint, TimePoint deadline) const;
  QCoro::Task<requests::RowRead> Read(std::string key);
  /// @param expected_version version the row must have; without one it must not exist.
  QCoro::Task<requests::ClaimWritten> Write(std::string key, requests::Record record,
                                            std::optional<uint64_t> expected_version);
  /// Writes the end of a claim in the background.
  /// @param version version of the claim row, if known.
  void Settle(std::string key, requests::Record claim, requests::Answer answer,
              std::optional<uint64_t> version);
  /// @param fingerprint of the submission that asks; empty when only the key is known.
  requests::RecordStatus Judge(std::string_view key, const requests::RecordRow& row,
                               std::string_view fingerprint);
  /// @return the answer with its body fetched from the object store.
  QCoro::Task<RetVal<requests::Answer>> LoadAnswer(requests::Answer answer);
  /// Waits for the settlements; those that do not end in time are given up.
  QCoro::Task<void> Finish(Duration timeout);

 private:
  QCoro::Task<void> RunSettlement(std::string key, requests::Record record,
                                  std::optional<uint64_t> version);
  QCoro::Task<std::optional<requests::Answer>> StoreAnswerBody(requests::Answer answer);
  bool IsHolderGone(const requests::Holder& holder) const;

  NodeContext& m_context;
  provider::TableService& m_tables;
  provider::ObjectStore& m_objects;
  requests::ClaimObserver m_observer;
  TaskScope m_settlements;
  StopSignal m_stop;
};

/// Lets a request through while this entry holds its claim.
class ClaimGate : public AttemptGate {
 public:
  ClaimGate(NodeContext& context, RequestLedger& ledger, std::string key, requests::Record claim,
            TimePoint deadline)
      : m_context(context),
        m_ledger(ledger),
        m_key(std::move(key)),
        m_claim(std::move(claim), deadline) {}

  QCoro::Task<bool> Open() override;

  const requests::Claim& claim() const { return m_claim; }
  /// @return why the gate was closed; meaningful after Open returned false.
  const requests::RefuseRequest& refusal() const { return m_refusal; }

 private:
  NodeContext& m_context;
  RequestLedger& m_ledger;
  std::string m_key;
  requests::Claim m_claim;
  requests::RefuseRequest m_refusal;
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_GATEWAY_INTERNAL_REQUEST_LEDGER_H_
