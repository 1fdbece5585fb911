#ifndef CITRONFERRY_PROVIDER_INTERNAL_HTTP_OBJECT_STORE_H_
#define CITRONFERRY_PROVIDER_INTERNAL_HTTP_OBJECT_STORE_H_

#include "provider/internal/provider_client.h"
#include "provider/object_store.h"

namespace citronferry::provider {

/// Object store over HTTP.
class HttpObjectStore : public ObjectStore {
 public:
  explicit HttpObjectStore(ProviderClient client) : m_client(client) {}

  QCoro::Task<Ret> Put(std::string key, std::string content) override;
  QCoro::Task<RetVal<std::string>> Get(std::string key) override;

 private:
  ProviderClient m_client;
};

}  // namespace citronferry::provider

#endif  // CITRONFERRY_PROVIDER_INTERNAL_HTTP_OBJECT_STORE_H_
