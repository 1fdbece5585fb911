#ifndef CITRONFERRY_PLATFORM_INTERNAL_HTTP_INSTANCE_SERVICE_H_
#define CITRONFERRY_PLATFORM_INTERNAL_HTTP_INSTANCE_SERVICE_H_

#include "platform/instance_service.h"
#include "platform/internal/platform_call.h"

namespace citronferry::platform {

class HttpInstanceService : public InstanceService {
 public:
  explicit HttpInstanceService(PlatformCaller caller) : m_caller(caller) {}

  QCoro::Task<RetVal<std::vector<InstanceInfo>>> List() override;
  QCoro::Task<Ret> Reboot(InstanceId instance) override;

 private:
  PlatformCaller m_caller;
};

}  // namespace citronferry::platform

#endif  // CITRONFERRY_PLATFORM_INTERNAL_HTTP_INSTANCE_SERVICE_H_
