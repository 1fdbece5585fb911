#ifndef CITRONFERRY_NODE_GATEWAY_INTERNAL_DISPATCH_SERVICE_H_
#define CITRONFERRY_NODE_GATEWAY_INTERNAL_DISPATCH_SERVICE_H_

#include <unordered_map>

#include "decisions/dispatch/dispatcher.h"
#include "node/node_context.h"
#include "supervision/awaitables.h"

namespace citronferry::node {

/// Connects request coroutines to the dispatcher: passes events to the dispatcher and delivers each
/// of its actions to the coroutine of the request concerned.
class DispatchService {
 public:
  /// A request that was submitted to the dispatcher. Destruction cancels it if it still waits.
  class SubmittedRequest {
   public:
    ~SubmittedRequest();
    SubmittedRequest(const SubmittedRequest&) = delete;
    SubmittedRequest& operator=(const SubmittedRequest&) = delete;

    /// Awaits the next action of the dispatcher for this request.
    Mailbox<dispatch::Action>::NextAwaiter Next() { return m_actions.Next(); }
    /// Reports the outcome of the attempt that was started last.
    void EndAttempt(dispatch::AttemptOutcome outcome);
    /// Cancels the request; Next then yields the actions already queued and nothing more.
    void Cancel();

   private:
    friend class DispatchService;
    SubmittedRequest(DispatchService& service, dispatch::RequestNumber number)
        : m_service(service), m_number(number) {}

    DispatchService& m_service;
    dispatch::RequestNumber m_number;
    Mailbox<dispatch::Action> m_actions;
    bool m_open = true;
  };

  explicit DispatchService(NodeContext& context);
  ~DispatchService();
  DispatchService(const DispatchService&) = delete;
  DispatchService& operator=(const DispatchService&) = delete;

  /// Queues a request in the dispatcher.
  /// @param deadline time after which the request is no longer started.
  /// @return the submitted request; it must not outlive this service.
  std::unique_ptr<SubmittedRequest> Submit(const QueueName& queue, const TeamName& team,
                                           TimePoint deadline);
  const dispatch::Dispatcher& dispatcher() const { return m_dispatcher; }

 private:
  /// Passes an event to the dispatcher and delivers the resulting actions.
  void Handle(const dispatch::Event& event);
  void UpdateExecutors();
  /// @return the load of the executors and pools, for NodeContext::read_load.
  GatewayLoad ReadLoad() const;

  NodeContext& m_context;
  dispatch::Dispatcher m_dispatcher;
  dispatch::RequestNumber m_last_number = 0;
  std::unordered_map<dispatch::RequestNumber, SubmittedRequest*> m_requests;
  std::vector<Subscription> m_subscriptions;
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_GATEWAY_INTERNAL_DISPATCH_SERVICE_H_
