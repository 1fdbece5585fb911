#ifndef CITRONFERRY_NODE_GATEWAY_INTERNAL_JOB_ENDPOINTS_H_
#define CITRONFERRY_NODE_GATEWAY_INTERNAL_JOB_ENDPOINTS_H_

#include "node/gateway/internal/request_check.h"
#include "node/jobs/job_store.h"

namespace citronferry::node {

/// Endpoints of the caller API that submit, query and cancel durable jobs.
class JobEndpoints {
 public:
  JobEndpoints(NodeContext& context, JobStore store) : m_context(context), m_store(store) {}

  /// Stores a job; a repeated submission returns the location of the first one.
  QCoro::Task<http::Response> Submit(Call call);
  /// @return the recorded answer of a job, or status 202 until it has ended.
  QCoro::Task<http::Response> Show(Call call);
  /// Cancels a job that has certainly not run yet.
  QCoro::Task<http::Response> Cancel(Call call);

 private:
  QCoro::Task<RetVal<jobs::JobRow>> Find(Call call);
  QCoro::Task<http::Response> Describe(jobs::JobRow row);

  NodeContext& m_context;
  JobStore m_store;
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_GATEWAY_INTERNAL_JOB_ENDPOINTS_H_
