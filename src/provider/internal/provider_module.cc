#include "provider/provider_module.h"

#include "provider/internal/http_instance_service.h"
#include "provider/internal/http_object_store.h"
#include "provider/internal/http_table_service.h"

namespace citronferry::provider {

ProviderModule::ProviderModule(ProviderOptions options)
    : m_options(std::move(options)), m_http_client(std::make_unique<http::Client>()) {
  const ProviderClient client(*m_http_client, m_options);
  m_tables = std::make_unique<HttpTableService>(client);
  m_objects = std::make_unique<HttpObjectStore>(client);
  m_instances = std::make_unique<HttpInstanceService>(client);
}

ProviderModule::~ProviderModule() = default;

}  // namespace citronferry::provider
