#include "platform/platform_module.h"

#include "platform/internal/announcements.h"
#include "platform/internal/client_protocol.h"
#include "platform/internal/executors.h"
#include "platform/internal/instances.h"
#include "platform/internal/row_store.h"

namespace citronferry::platform {

PlatformModule::PlatformModule(const NodeSettings& settings)
    : m_rows(std::make_unique<HttpRowStore>(m_client, settings.store_address)),
      m_announcements(std::make_unique<StoreAnnouncements>(*m_rows)),
      m_executors(std::make_unique<HttpExecutors>(m_client)),
      m_adviser(std::make_unique<HttpPlacementAdviser>(m_client, settings.adviser_address)),
      m_instances(std::make_unique<HttpInstances>(m_client, settings.instances_address)),
      m_client_protocol(std::make_unique<HttpClientProtocol>()) {}

PlatformModule::~PlatformModule() = default;

}  // namespace citronferry::platform
