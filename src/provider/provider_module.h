#ifndef CITRONFERRY_PROVIDER_PROVIDER_MODULE_H_
#define CITRONFERRY_PROVIDER_PROVIDER_MODULE_H_

#include <memory>
#include <string>

#include "base/time.h"
#include "provider/instance_service.h"
#include "provider/object_store.h"
#include "provider/table_service.h"

namespace citronferry::http {
class Client;
}

namespace citronferry::provider {

/// Connection settings of the platform's HTTP API.
struct ProviderOptions {
  std::string url;        ///< Base URL; the host is an IP address, without a trailing slash.
  std::string token;      ///< Bearer token; empty sends none.
  Duration timeout = 1s;  ///< Deadline of each call.
};

/// Creates and owns the clients of the platform's services.
class ProviderModule {
 public:
  explicit ProviderModule(ProviderOptions options);
  ~ProviderModule();

  TableService& tables() { return *m_tables; }
  ObjectStore& objects() { return *m_objects; }
  InstanceService& instances() { return *m_instances; }

 private:
  ProviderOptions m_options;
  std::unique_ptr<http::Client> m_http_client;
  std::unique_ptr<TableService> m_tables;
  std::unique_ptr<ObjectStore> m_objects;
  std::unique_ptr<InstanceService> m_instances;
};

}  // namespace citronferry::provider

#endif  // CITRONFERRY_PROVIDER_PROVIDER_MODULE_H_
