#ifndef CITRONFERRY_PLATFORM_PLATFORM_MODULE_H_
#define CITRONFERRY_PLATFORM_PLATFORM_MODULE_H_

#include <memory>
#include <string>

#include "base/time.h"
#include "platform/instance_service.h"
#include "platform/object_store.h"
#include "platform/table_service.h"

namespace citronferry::http {
class Client;
}

namespace citronferry::platform {

struct PlatformOptions {
  std::string url;        ///< Base URL with an IP address, without a trailing slash.
  std::string token;      ///< Bearer token; empty sends none.
  Duration timeout = 1s;  ///< Deadline of each call.
};

/// Creates the clients of the platform's services.
class PlatformModule {
 public:
  explicit PlatformModule(PlatformOptions options);
  ~PlatformModule();

  TableService& tables() { return *m_tables; }
  ObjectStore& objects() { return *m_objects; }
  InstanceService& instances() { return *m_instances; }

 private:
  PlatformOptions m_options;
  std::unique_ptr<http::Client> m_client;
  std::unique_ptr<TableService> m_tables;
  std::unique_ptr<ObjectStore> m_objects;
  std::unique_ptr<InstanceService> m_instances;
};

}  // namespace citronferry::platform

#endif  // CITRONFERRY_PLATFORM_PLATFORM_MODULE_H_
