#include "provider/provider_module.h"

#include "provider/internal/http_instance_service.h"
#include "provider/internal/http_object_store.h"
#include "provider/internal/http_table_service.h"

namespace citronferry::provider {

ProviderModule::ProviderModule(ProviderOptions options)
    : m_options(std::move(options)), m_client(std::make_unique<http::Client>()) {
  const ProviderCaller caller(*m_client, m_options);
  m_tables = std::make_unique<HttpTableService>(caller);
  m_objects = std::make_unique<HttpObjectStore>(caller);
  m_instances = std::make_unique<HttpInstanceService>(caller);
}

ProviderModule::~ProviderModule() = default;

}  // namespace citronferry::provider
