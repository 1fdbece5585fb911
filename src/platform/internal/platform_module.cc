#include "platform/platform_module.h"

#include "platform/internal/http_instance_service.h"
#include "platform/internal/http_object_store.h"
#include "platform/internal/http_table_service.h"

namespace citronferry::platform {

PlatformModule::PlatformModule(PlatformOptions options)
    : m_options(std::move(options)), m_client(std::make_unique<http::Client>()) {
  const PlatformCaller caller(*m_client, m_options);
  m_tables = std::make_unique<HttpTableService>(caller);
  m_objects = std::make_unique<HttpObjectStore>(caller);
  m_instances = std::make_unique<HttpInstanceService>(caller);
}

PlatformModule::~PlatformModule() = default;

}  // namespace citronferry::platform
