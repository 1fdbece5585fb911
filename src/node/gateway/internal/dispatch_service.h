#ifndef CITRONFERRY_NODE_GATEWAY_INTERNAL_DISPATCH_SERVICE_H_
#define CITRONFERRY_NODE_GATEWAY_INTERNAL_DISPATCH_SERVICE_H_

#include <unordered_map>

#include "decisions/dispatch/dispatcher.h"
#include "node/node_context.h"
#include "supervision/awaitables.h"

namespace citronferry::node {

/// Connects the tasks of the requests with the dispatcher: feeds it events and hands its actions to
/// the task of the request that they concern.
class DispatchService {
 public:
  /// A request's place in the dispatcher; leaving scope cancels what is still waiting.
  class SubmittedRequest {
   public:
    ~SubmittedRequest();
    SubmittedRequest(const SubmittedRequest&) = delete;
    SubmittedRequest& operator=(const SubmittedRequest&) = delete;

    /// Awaits what to do next.
    Mailbox<dispatch::Action>::NextAwaiter Next() { return m_actions.Next(); }
    /// Reports how the attempt that was started last has ended.
    void EndAttempt(dispatch::AttemptOutcome outcome);
    /// Withdraws the request; Next then yields nothing more.
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

  std::unique_ptr<SubmittedRequest> Submit(const QueueName& queue, const TeamName& team,
                                           TimePoint deadline);
  const dispatch::Dispatcher& dispatcher() const { return m_dispatcher; }

 private:
  void Handle(const dispatch::Event& event);
  void UpdateExecutors();
  GatewayLoad ReadLoad() const;

  NodeContext& m_context;
  dispatch::Dispatcher m_dispatcher;
  dispatch::RequestNumber m_last_number = 0;
  std::unordered_map<dispatch::RequestNumber, SubmittedRequest*> m_requests;
  std::vector<Subscription> m_subscriptions;
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_GATEWAY_INTERNAL_DISPATCH_SERVICE_H_
