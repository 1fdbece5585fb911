#ifndef CITRONFERRY_CLI_INTERNAL_NETWORK_COMMAND_H_
#define CITRONFERRY_CLI_INTERNAL_NETWORK_COMMAND_H_

#include <qcoro/qcorotask.h>

#include <functional>

namespace citronferry::cli {

/// Runs an event loop until a coroutine has completed. Creates a QCoreApplication if there is none.
/// @param command coroutine that communicates over the network.
/// @return the exit code that the coroutine returned.
int RunNetworkCommand(const std::function<QCoro::Task<int>()>& command);

}  // namespace citronferry::cli

#endif  // CITRONFERRY_CLI_INTERNAL_NETWORK_COMMAND_H_
