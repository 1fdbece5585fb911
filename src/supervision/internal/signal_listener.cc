#include "supervision/signal_listener.h"

#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

namespace citronferry {

SignalListener::SignalListener(std::initializer_list<int> signals,
                               std::function<void(int)> callback) {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : signals) sigaddset(&set, signal);
  sigprocmask(SIG_BLOCK, &set, nullptr);
  m_descriptor = signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
  m_notifier = std::make_unique<QSocketNotifier>(m_descriptor, QSocketNotifier::Read);
  QObject::connect(m_notifier.get(), &QSocketNotifier::activated, m_notifier.get(),
                   [this, callback = std::move(callback)] {
                     signalfd_siginfo info{};
                     while (read(m_descriptor, &info, sizeof(info)) == sizeof(info)) {
                       callback(static_cast<int>(info.ssi_signo));
                     }
                   });
}

SignalListener::~SignalListener() {
  m_notifier.reset();
  close(m_descriptor);
}

}  // namespace citronferry
