#include "node/internal/termination.h"

#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

namespace citronferry::node {

TerminationSignals::TerminationSignals(std::function<void()> callback) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  m_descriptor = signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK);
  m_notifier = std::make_unique<QSocketNotifier>(m_descriptor, QSocketNotifier::Read);
  QObject::connect(m_notifier.get(), &QSocketNotifier::activated, m_notifier.get(),
                   [this, callback = std::move(callback)] {
                     signalfd_siginfo info{};
                     while (read(m_descriptor, &info, sizeof(info)) == sizeof(info)) callback();
                   });
}

TerminationSignals::~TerminationSignals() {
  m_notifier.reset();
  close(m_descriptor);
}

}  // namespace citronferry::node
