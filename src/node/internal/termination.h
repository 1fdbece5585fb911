#ifndef CITRONFERRY_NODE_INTERNAL_TERMINATION_H_
#define CITRONFERRY_NODE_INTERNAL_TERMINATION_H_

#include <QSocketNotifier>
#include <functional>
#include <memory>

namespace citronferry::node {

/// Delivers SIGTERM and SIGINT to the event loop.
class TerminationSignals {
 public:
  explicit TerminationSignals(std::function<void()> callback);
  ~TerminationSignals();

 private:
  int m_descriptor = -1;
  std::unique_ptr<QSocketNotifier> m_notifier;
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_INTERNAL_TERMINATION_H_
