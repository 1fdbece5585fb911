#ifndef CITRONFERRY_NODE_GATEWAY_INTERNAL_REQUEST_HANDLER_H_
#define CITRONFERRY_NODE_GATEWAY_INTERNAL_REQUEST_HANDLER_H_

#include <map>

#include "node/gateway/internal/job_endpoints.h"
#include "node/gateway/internal/request_check.h"
#include "node/gateway/internal/request_ledger.h"

namespace citronferry::node {

/// Routes and handles the requests to the caller API.
class RequestHandler {
 public:
  RequestHandler(NodeContext& context, WorkRunner& work, RequestLedger& ledger, JobEndpoints& jobs)
      : m_context(context), m_work(work), m_ledger(ledger), m_jobs(jobs) {}

  /// Authenticates a request, runs its endpoint and counts its outcome.
  QCoro::Task<http::Response> Handle(http::Request request);

 private:
  void RecordMetrics(const std::string& outcome, Duration elapsed);
  /// A submission that this entry is processing.
  struct ActiveRequest {
    StopSignal cancel;
    bool idempotent = false;
    bool started = false;  ///< A slot was assigned, so the request may have been sent.
  };
  class TrackingGate;

  using Endpoint = QCoro::Task<http::Response> (RequestHandler::*)(Call);
  struct Route;
  /// Finds the route of a request.
  /// @param target receives the path segment that names the resource.
  /// @param path_is_known set to true when a route has this path, with any method.
  /// @return the route, or null when none matches.
  static const Route* FindRoute(std::string_view method, std::string_view path, std::string& target,
                                bool& path_is_known);

  QCoro::Task<http::Response> SubmitRequest(Call call);
  QCoro::Task<http::Response> ShowRequest(Call call);
  QCoro::Task<http::Response> CancelRequest(Call call);
  QCoro::Task<http::Response> SubmitJob(Call call);
  QCoro::Task<http::Response> ShowJob(Call call);
  QCoro::Task<http::Response> CancelJob(Call call);

  /// Runs an idempotent submission, which is not recorded in the ledger.
  QCoro::Task<http::Response> RunIdempotent(WorkItem work, Submission submission,
                                            ActiveRequest& active);
  /// Runs a non-idempotent submission once this entry holds the claim of its key, or responds from
  /// the ledger row of an earlier submission.
  QCoro::Task<http::Response> RunClaimed(WorkItem work, Submission submission,
                                         ActiveRequest& active);
  /// Records the outcome of a claimed request in the background.
  /// @return the response to its submission.
  http::Response RecordAndRespond(const std::string& ledger_key, const Submission& submission,
                                  const ClaimGate& gate, const WorkResult& result);
  /// @return the response to a submission that its claim gate refused.
  QCoro::Task<http::Response> RespondToRefusal(std::string ledger_key, Submission submission,
                                               requests::RefuseRequest refusal);
  /// @param in_progress_status HTTP status code while the request is waiting or running.
  /// @return the response to a submission or query whose ledger row has this status.
  QCoro::Task<http::Response> RespondFromRow(std::string request_key, requests::RecordRow row,
                                             requests::RecordStatus status, int in_progress_status);
  /// Writes a cancellation to the ledger row, unless the request may have been sent.
  QCoro::Task<http::Response> RecordCancellation(std::string ledger_key, std::string request_key);
  http::Response MakeWorkResponse(const WorkResult& result, std::string_view request_key) const;
  /// @return a submission with this key that this entry is processing, or null.
  ActiveRequest* FindActive(const std::string& ledger_key);

  NodeContext& m_context;
  WorkRunner& m_work;
  RequestLedger& m_ledger;
  JobEndpoints& m_jobs;
  // By ledger key, which several submissions can have.
  std::multimap<std::string, ActiveRequest*> m_active;
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_GATEWAY_INTERNAL_REQUEST_HANDLER_H_
