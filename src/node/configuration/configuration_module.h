#ifndef CITRONFERRY_NODE_CONFIGURATION_CONFIGURATION_MODULE_H_
#define CITRONFERRY_NODE_CONFIGURATION_CONFIGURATION_MODULE_H_

#include "node/node_context.h"
#include "supervision/supervisor.h"

namespace citronferry::node {

/// Service that updates NodeContext::configuration, the active configuration of this entry.
struct ConfigurationModule {
  static ChildSpec MakeChild(NodeContext& context);
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_CONFIGURATION_CONFIGURATION_MODULE_H_
