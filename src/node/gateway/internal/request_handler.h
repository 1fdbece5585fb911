#ifndef CITRONFERRY_NODE_GATEWAY_INTERNAL_REQUEST_HANDLER_H_
#define CITRONFERRY_NODE_GATEWAY_INTERNAL_REQUEST_HANDLER_H_

#include <map>

#include "node/gateway/internal/job_endpoints.h"
#include "node/gateway/internal/request_check.h"
#include "node/gateway/internal/request_ledger.h"

namespace citronferry::node {

/// Answers the calls of the caller API.
class RequestHandler {
 public:
  RequestHandler(NodeContext& context, WorkRunner& work, RequestLedger& ledger, JobEndpoints& jobs)
      : m_context(context), m_work(work), m_ledger(ledger), m_jobs(jobs) {}

  QCoro::Task<http::Response> Handle(http::Request request);

 private:
  void RecordAnswer(const std::string& outcome, Duration elapsed);
  /// A submission that this entry is working on.
  struct Active {
    StopSignal cancel;
    bool idempotent = false;
    bool started = false;  ///< A slot was held, so that the request may have been sent.
  };
  class TrackedGate;

  using Endpoint = QCoro::Task<http::Response> (RequestHandler::*)(Call);
  struct Route;
  static const Route* FindRoute(std::string_view method, std::string_view path, std::string& target,
                                bool& path_is_known);

  QCoro::Task<http::Response> SubmitRequest(Call call);
  QCoro::Task<http::Response> ShowRequest(Call call);
  QCoro::Task<http::Response> CancelRequest(Call call);
  QCoro::Task<http::Response> SubmitJob(Call call);
  QCoro::Task<http::Response> ShowJob(Call call);
  QCoro::Task<http::Response> CancelJob(Call call);

  QCoro::Task<http::Response> RunIdempotent(Work work, Submission submission, Active& active);
  QCoro::Task<http::Response> RunClaimed(Work work, Submission submission, Active& active);
  http::Response Conclude(const std::string& ledger_key, const Submission& submission,
                          const ClaimGate& gate, const WorkResult& result);
  QCoro::Task<http::Response> Refuse(std::string ledger_key, Submission submission,
                                     requests::RefuseRequest refusal);
  QCoro::Task<http::Response> AnswerFromRow(std::string request_key, requests::RecordRow row,
                                            requests::RecordStatus standing,
                                            int in_progress_status);
  QCoro::Task<http::Response> RecordCancellation(std::string ledger_key, std::string request_key);
  http::Response RespondToWork(const WorkResult& result, std::string_view request_key) const;
  Active* FindActive(const std::string& ledger_key);

  NodeContext& m_context;
  WorkRunner& m_work;
  RequestLedger& m_ledger;
  JobEndpoints& m_jobs;
  std::multimap<std::string, Active*> m_active;  // By ledger key.
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_GATEWAY_INTERNAL_REQUEST_HANDLER_H_
