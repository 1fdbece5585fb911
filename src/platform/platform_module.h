#ifndef CITRONFERRY_PLATFORM_PLATFORM_MODULE_H_
#define CITRONFERRY_PLATFORM_PLATFORM_MODULE_H_

#include <memory>

#include "fleet/interfaces/announcements.h"
#include "fleet/interfaces/client_protocol.h"
#include "fleet/interfaces/executors.h"
#include "fleet/interfaces/instances.h"
#include "fleet/interfaces/row_store.h"
#include "http/client.h"
#include "platform/settings.h"

namespace citronferry::platform {

/// Creates the adapters to the platform's services and to the executors. They share one HTTP
/// client.
class PlatformModule {
 public:
  explicit PlatformModule(const NodeSettings& settings);
  ~PlatformModule();

  fleet::RowStore& rows() { return *m_rows; }
  fleet::Announcements& announcements() { return *m_announcements; }
  fleet::Executors& executors() { return *m_executors; }
  fleet::PlacementAdviser& adviser() { return *m_adviser; }
  fleet::Instances& instances() { return *m_instances; }
  const fleet::ClientProtocol& client_protocol() const { return *m_client_protocol; }
  http::Client& http_client() { return m_client; }

 private:
  http::Client m_client;
  std::unique_ptr<fleet::RowStore> m_rows;
  std::unique_ptr<fleet::Announcements> m_announcements;
  std::unique_ptr<fleet::Executors> m_executors;
  std::unique_ptr<fleet::PlacementAdviser> m_adviser;
  std::unique_ptr<fleet::Instances> m_instances;
  std::unique_ptr<fleet::ClientProtocol> m_client_protocol;
};

}  // namespace citronferry::platform

#endif  // CITRONFERRY_PLATFORM_PLATFORM_MODULE_H_
