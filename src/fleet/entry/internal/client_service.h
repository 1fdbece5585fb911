#ifndef CITRONFERRY_FLEET_ENTRY_INTERNAL_CLIENT_SERVICE_H_
#define CITRONFERRY_FLEET_ENTRY_INTERNAL_CLIENT_SERVICE_H_

#include "fleet/entry/job_repository.h"
#include "fleet/fleet_context.h"
#include "http/server.h"
#include "supervision/supervisor.h"

namespace citronferry::fleet {

/// HTTP server for the clients' calls: submits, shows and cancels jobs, and counts pending ones.
class ClientService : public Service {
 public:
  explicit ClientService(FleetContext& context);

  QCoro::Task<Ret> Run() override;
  void Stop() override { m_server.Stop(); }

 private:
  QCoro::Task<http::Response> Handle(http::Request request);
  QCoro::Task<http::Response> Submit(ClientCall call, TimePoint deadline);
  QCoro::Task<http::Response> Show(ClientCall call);
  QCoro::Task<http::Response> Cancel(ClientCall call, TimePoint deadline);
  QCoro::Task<http::Response> Count(ClientCall call);
  /// Updates the metrics of a call and logs it.
  void Record(std::string_view action, const scheduling::QueuePolicy& queue, const JobId& job,
              int status, TimePoint received_at);

  FleetContext& m_context;
  JobRepository m_jobs;
  http::Server m_server;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_ENTRY_INTERNAL_CLIENT_SERVICE_H_
