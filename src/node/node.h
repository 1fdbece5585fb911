#ifndef CITRONFERRY_NODE_NODE_H_
#define CITRONFERRY_NODE_NODE_H_

#include "base/ret.h"
#include "document/settings.h"

namespace citronferry::node {

/// Runs an entry until SIGTERM, SIGINT or the drain command, then drains and stops it.
/// @param settings validated settings of the process.
/// @return success after a graceful shutdown, otherwise the error that stopped the entry.
/// @note Needs a QCoreApplication and runs its event loop.
Ret RunNode(const document::Settings& settings);

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_NODE_H_
