#ifndef CITRONFERRY_PLATFORM_INTERNAL_HTTP_OBJECT_STORE_H_
#define CITRONFERRY_PLATFORM_INTERNAL_HTTP_OBJECT_STORE_H_

#include "platform/internal/platform_call.h"
#include "platform/object_store.h"

namespace citronferry::platform {

class HttpObjectStore : public ObjectStore {
 public:
  explicit HttpObjectStore(PlatformCaller caller) : m_caller(caller) {}

  QCoro::Task<Ret> Put(std::string key, std::string content) override;
  QCoro::Task<RetVal<std::string>> Get(std::string key) override;

 private:
  PlatformCaller m_caller;
};

}  // namespace citronferry::platform

#endif  // CITRONFERRY_PLATFORM_INTERNAL_HTTP_OBJECT_STORE_H_
