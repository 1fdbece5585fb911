#include "node/gateway/internal/job_endpoints.h"

#include "node/gateway/internal/responses.h"

namespace citronferry::node {
namespace {

http::Response MakeLookupErrorResponse(const Ret& ret) {
  if (ret.code() == ErrorCode::kNotFound) {
    return http::MakeErrorResponse(404, "unknown_job", "no job with this identifier");
  }
  return StoreUnavailableResponse("the job can not be read now");
}

}  // namespace

QCoro::Task<http::Response> JobEndpoints::Submit(Call call) {
  CheckResult checked = CheckSubmission(call, SubmissionKind::kJob, m_context.timers.Now());
  if (auto* refusal = std::get_if<http::Response>(&checked)) co_return std::move(*refusal);
  const auto& submission = std::get<Submission>(checked);
  const JobId id = JobStore::MakeId(call.team, submission.key);
  jobs::Job job{.team = call.team,
                .queue = submission.queue.name,
                .fingerprint = submission.fingerprint,
                .content_type = submission.content_type,
                .body = call.request.body.toStdString()};
  const auto accepted = co_await m_store.Accept(id, std::move(job));
  if (!accepted.ok()) {
    if (accepted.code() == ErrorCode::kUnavailable) {
      co_return NotRunResponse(503, "not_accepted", accepted.ret().message(), 1s);
    }
    co_return UnknownOutcomeResponse(accepted.ret().message(), JobLocation(id.view()));
  }
  if (accepted->job.fingerprint != submission.fingerprint) {
    co_return NotRunResponse(422, "key_reused",
                             "the Idempotency-Key belongs to a job with another body");
  }
  http::Response response = http::MakeErrorResponse(202, "accepted", "the job will be run");
  response.headers.push_back({kOutcomeHeader, "accepted"});
  response.headers.push_back({"Location", JobLocation(id.view())});
  co_return response;
}

QCoro::Task<http::Response> JobEndpoints::Show(Call call) {
  auto row = co_await Find(std::move(call));
  if (!row.ok()) co_return MakeLookupErrorResponse(row.ret());
  co_return co_await Describe(std::move(row).value());
}

QCoro::Task<http::Response> JobEndpoints::Cancel(Call call) {
  auto row = co_await Find(std::move(call));
  if (!row.ok()) co_return MakeLookupErrorResponse(row.ret());
  // An idempotent job that waits for another attempt may already have run.
  const bool is_waiting = row->job.state == jobs::State::kAccepted && row->job.attempts == 0;
  if (is_waiting) {
    jobs::Job cancelled = row->job;
    cancelled.state = jobs::State::kEnded;
    cancelled.answer = {.outcome = requests::Outcome::kCancelled, .reason = "cancelled"};
    const auto written = co_await m_store.Replace(row.value(), std::move(cancelled));
    if (written.ok()) co_return CancelledResponse("the job was cancelled before it ran");
    if (written.code() == ErrorCode::kConflict) {
      co_return InProgressResponse(409, JobLocation(row->id.view()));
    }
    co_return StoreUnavailableResponse(
        "it is not known whether the job was cancelled; ask for the job");
  }
  if (row->job.state != jobs::State::kEnded) {
    co_return InProgressResponse(409, JobLocation(row->id.view()));
  }
  if (row->job.answer.outcome == requests::Outcome::kCancelled) {
    co_return CancelledResponse("the job was cancelled before it ran");
  }
  http::Response ended = http::MakeErrorResponse(409, "already_ended", "the job has ended");
  const http::Response answer = MakeResponse(row->job.answer);
  ended.headers.push_back(
      {kOutcomeHeader, std::string(http::FindHeader(answer.headers, kOutcomeHeader))});
  co_return ended;
}

QCoro::Task<RetVal<jobs::JobRow>> JobEndpoints::Find(Call call) {
  auto row = co_await m_store.Read(JobId(call.target));
  // The existence of a job is not disclosed to other teams.
  if (row.ok() && row->job.team != call.team) co_return Ret(ErrorCode::kNotFound, "no such job");
  co_return row;
}

QCoro::Task<http::Response> JobEndpoints::Describe(jobs::JobRow row) {
  if (row.job.state != jobs::State::kEnded)
    co_return InProgressResponse(202, JobLocation(row.id.view()));
  const auto answer = co_await m_store.LoadAnswer(row.job.answer);
  if (!answer.ok()) co_return StoreUnavailableResponse("the recorded answer can not be read now");
  co_return MakeResponse(answer.value());
}

}  // namespace citronferry::node
