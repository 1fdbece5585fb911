#ifndef CITRONFERRY_PROVIDER_INTERNAL_HTTP_OBJECT_STORE_H_
#define CITRONFERRY_PROVIDER_INTERNAL_HTTP_OBJECT_STORE_H_

#include "provider/internal/provider_call.h"
#include "provider/object_store.h"

namespace citronferry::provider {

class HttpObjectStore : public ObjectStore {
 public:
  explicit HttpObjectStore(ProviderCaller caller) : m_caller(caller) {}

  QCoro::Task<Ret> Put(std::string key, std::string content) override;
  QCoro::Task<RetVal<std::string>> Get(std::string key) override;

 private:
  ProviderCaller m_caller;
};

}  // namespace citronferry::provider

#endif  // CITRONFERRY_PROVIDER_INTERNAL_HTTP_OBJECT_STORE_H_
