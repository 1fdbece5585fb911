#include "fleet/interfaces/configuration.h"

#include <algorithm>

namespace citronferry::fleet {

const QueueRoute* Configuration::FindQueue(std::string_view host, std::string_view path) const {
  const QueueRoute* best = nullptr;
  for (const QueueRoute& queue : queues) {
    if (queue.host != host || !path.starts_with(queue.path_prefix)) continue;
    if (!best || queue.path_prefix.size() > best->path_prefix.size()) best = &queue;
  }
  return best;
}

const Pool* Configuration::FindPool(const PoolName& name) const {
  const auto found =
      std::find_if(pools.begin(), pools.end(), [&](const Pool& pool) { return pool.name == name; });
  return found == pools.end() ? nullptr : &*found;
}

}  // namespace citronferry::fleet
