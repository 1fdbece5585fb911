#ifndef CITRONFERRY_CLI_INTERNAL_NETWORK_COMMAND_H_
#define CITRONFERRY_CLI_INTERNAL_NETWORK_COMMAND_H_

#include <qcoro/qcorotask.h>

#include <functional>

namespace citronferry::cli {

/// Runs a coroutine to its end on an event loop. Creates the QCoreApplication if there is none.
/// @return the exit code that the coroutine returned.
int RunNetworkCommand(const std::function<QCoro::Task<int>()>& command);

}  // namespace citronferry::cli

#endif  // CITRONFERRY_CLI_INTERNAL_NETWORK_COMMAND_H_
