#ifndef CITRONFERRY_FLEET_ENTRY_INTERNAL_CLIENT_SERVICE_H_
#define CITRONFERRY_FLEET_ENTRY_INTERNAL_CLIENT_SERVICE_H_

#include "fleet/entry/internal/access_control.h"
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
  /// Refuses a call because of its header or its API key.
  http::Response Refuse(const http::Request& request, const AccessRefusal& refusal);
  /// Refuses a call that cannot be decoded.
  http::Response Reject(const http::Request& request, const CallError& error);
  /// What a call is recorded by.
  struct CallRecord {
    std::string_view action;
    scheduling::QueuePolicy queue;
    TeamName team;
    JobId job;
    TimePoint received_at{};
  };
  /// Updates the metrics of a call and logs it.
  void Record(const CallRecord& call, int status);

  FleetContext& m_context;
  AccessControl m_access;
  JobRepository m_jobs;
  http::Server m_server;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_ENTRY_INTERNAL_CLIENT_SERVICE_H_
