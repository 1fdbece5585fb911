#ifndef CITRONFERRY_NODE_GATEWAY_INTERNAL_REQUEST_LEDGER_H_
#define CITRONFERRY_NODE_GATEWAY_INTERNAL_REQUEST_LEDGER_H_

#include "decisions/requests/record_status.h"
#include "decisions/requests/settlement.h"
#include "node/gateway/work_runner.h"
#include "node/node_context.h"
#include "supervision/task_scope.h"

namespace citronferry::node {

/// @return the row key of a request. Unique, since dots in the team name are escaped.
std::string LedgerKey(const TeamName& team, std::string_view request_key);

/// Table of non-idempotent requests: the row of a request holds its claim and later its outcome, so
/// that a repeated submission is not run again.
class RequestLedger {
 public:
  RequestLedger(NodeContext& context, provider::TableService& tables,
                provider::ObjectStore& objects)
      : m_context(context), m_tables(tables), m_objects(objects) {}

  /// @param fingerprint digest of queue and body.
  /// @return a new claim of this entry with a random token; its lease ends some time after the
  ///   deadline.
  requests::Record MakeClaim(std::string fingerprint, TimePoint deadline) const;
  /// @return the row, or the error code of the table service; kInternal when the row is invalid.
  QCoro::Task<requests::RowRead> Read(std::string key);
  /// Writes a row conditionally.
  /// @param expected_version version that the row must have; without one it must not exist.
  /// @return the new version, or the error code of the table service.
  QCoro::Task<requests::ClaimWritten> Write(std::string key, requests::Record record,
                                            std::optional<uint64_t> expected_version);
  /// Records the outcome of a claimed request in the background.
  /// @param answer outcome to record; kNotRun releases the claim.
  /// @param version version of the claim row, if known.
  void Settle(std::string key, requests::Record claim, requests::Answer answer,
              std::optional<uint64_t> version);
  /// @param fingerprint fingerprint of the submission; empty when only the key is known.
  /// @return what the row says about the request.
  requests::RecordStatus ClassifyRow(std::string_view key, const requests::RecordRow& row,
                                     std::string_view fingerprint);
  /// @return the answer with its body fetched from the object store.
  QCoro::Task<RetVal<requests::Answer>> LoadAnswer(requests::Answer answer);
  /// Waits for the outcomes that are being recorded; those not recorded in time are abandoned.
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

/// Claims a request before its first attempt and admits attempts only while the claim is valid.
class ClaimGate : public AttemptGate {
 public:
  ClaimGate(NodeContext& context, RequestLedger& ledger, std::string key, requests::Record claim,
            TimePoint deadline)
      : m_context(context),
        m_ledger(ledger),
        m_key(std::move(key)),
        m_claim(std::move(claim), deadline) {}

  QCoro::Task<bool> Admit() override;

  const requests::Claim& claim() const { return m_claim; }
  /// @return why the attempt was refused; meaningful after Admit returned false.
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
