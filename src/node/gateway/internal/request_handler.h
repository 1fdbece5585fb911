#ifndef CITRONFERRY_NODE_GATEWAY_INTERNAL_REQUEST_HANDLER_H_
#define CITRONFERRY_NODE_GATEWAY_INTERNAL_REQUEST_HANDLER_H_

#include "http/server.h"
#include "node/gateway/internal/dispatch_service.h"
#include "node/gateway/internal/executor_client.h"

namespace citronferry::node {

/// Answers the requests of callers.
class RequestHandler {
 public:
  RequestHandler(NodeContext& context, DispatchService& dispatch, ExecutorClient& executors)
      : m_context(context), m_dispatch(dispatch), m_executors(executors) {}

  QCoro::Task<http::Response> Handle(http::Request request);

 private:
  /// A request that has passed all checks.
  struct Accepted {
    document::Queue queue;
    TeamName team;
    std::string request_id;
    TimePoint deadline;
    http::Request request;
  };

  QCoro::Task<http::Response> Run(Accepted accepted, Span& span);
  QCoro::Task<AttemptResult> RunAttempt(const Accepted& accepted,
                                        const dispatch::StartAttempt& start,
                                        const TraceContext& parent);
  std::optional<http::Response> Check(const http::Request& request, Accepted& accepted) const;

  NodeContext& m_context;
  DispatchService& m_dispatch;
  ExecutorClient& m_executors;
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_GATEWAY_INTERNAL_REQUEST_HANDLER_H_
