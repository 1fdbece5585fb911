#ifndef CITRONFERRY_PLATFORM_INTERNAL_INSTANCES_H_
#define CITRONFERRY_PLATFORM_INTERNAL_INSTANCES_H_

#include <string>
#include <utility>
#include <vector>

#include "fleet/interfaces/instances.h"
#include "http/client.h"

namespace citronferry::platform {

/// HTTP client of the platform's instance service, which lists instances, moves them between pools
/// and starts their maintenance.
class HttpInstances : public fleet::Instances {
 public:
  HttpInstances(http::Client& client, std::string address)
      : m_client(client), m_address(std::move(address)) {}

  QCoro::Task<RetVal<std::vector<fleet::Instance>>> List() override;
  QCoro::Task<fleet::InstanceOrderOutcome> Move(InstanceId instance, PoolName pool,
                                                fleet::OrderIssuer authority) override;
  QCoro::Task<fleet::InstanceOrderOutcome> StartMaintenance(InstanceId instance, int64_t wave,
                                                            fleet::OrderIssuer authority) override;

 private:
  QCoro::Task<fleet::InstanceOrderOutcome> SendOrder(std::string path, std::string body,
                                                     fleet::OrderIssuer authority);

  http::Client& m_client;
  std::string m_address;
};

}  // namespace citronferry::platform

#endif  // CITRONFERRY_PLATFORM_INTERNAL_INSTANCES_H_
