#include "node/jobs/internal/jobs_service.h"

#include "node/jobs/internal/job_runner.h"
#include "node/jobs/jobs_module.h"
#include "telemetry/log.h"

namespace citronferry::node {
namespace {

constexpr Duration kPollPeriod = 1s;
// The gateway drains requests for up to 30 s; jobs that are still running end with it.
constexpr Duration kStopTimeout = 30s;

}  // namespace

JobsService::JobsService(NodeContext& context, provider::TableService& tables,
                         provider::ObjectStore& objects)
    : m_context(context), m_store(tables, objects), m_claimer(context.settings.id) {
  m_subscriptions.push_back(
      context.configuration.Subscribe([this](const auto&) { UpdateQueues(); }));
  m_subscriptions.push_back(context.roster.Subscribe([this](const auto&) { UpdateRoster(); }));
  UpdateQueues();
  UpdateRoster();
}

QCoro::Task<Ret> JobsService::Run() {
  while (!m_stop.requested()) {
    if (m_context.lifecycle.Get() == Lifecycle::kServing) co_await Poll();
    co_await SleepFor(m_context.timers, kPollPeriod, &m_stop);
  }
  co_return co_await m_tasks.Join(m_context.timers, kStopTimeout);
}

QCoro::Task<void> JobsService::Poll() {
  auto changes = co_await m_store.ReadChanges(m_sequence);
  if (!changes.ok()) co_return;
  m_sequence = std::max(m_sequence, changes->last_sequence);
  jobs::FeedRead read{.rows = std::move(changes->rows)};
  Handle(std::move(read));
}

void JobsService::Handle(jobs::Event event) {
  for (const jobs::Action& action : m_claimer.Handle(event, m_context.timers.Now())) {
    if (const auto* attempt = std::get_if<jobs::TryJob>(&action)) {
      m_tasks.Spawn([this, row = attempt->row]() -> QCoro::Task<void> { return RunJob(row); });
    } else {
      const auto& end = std::get<jobs::EndJob>(action);
      m_tasks.Spawn(
          [this, end]() -> QCoro::Task<void> { return RecordAnswer(end.row, end.answer); });
    }
  }
}

QCoro::Task<void> JobsService::RunJob(jobs::JobRow row) {
  const JobId id = row.id;
  if (m_context.work_runner) {
    JobRunner runner(m_context, m_store, std::move(row), m_stop);
    co_await runner.Run();
  }
  Handle(jobs::TryEnded{id});
}

QCoro::Task<void> JobsService::RecordAnswer(jobs::JobRow row, requests::Answer answer) {
  jobs::Job ended = row.job;
  ended.state = jobs::State::kEnded;
  ended.answer = std::move(answer);
  const auto written = co_await m_store.Replace(row, ended);
  if (!written.ok()) co_return;
  Log(LogLevel::kWarning, "job_ended_without_answer",
      {{"job", row.id.view()}, {"reason", ended.answer.reason}});
}

void JobsService::UpdateQueues() {
  const auto& document = m_context.configuration.Get().document;
  if (!document) return;
  jobs::QueuesChanged changed;
  for (const document::Queue& queue : document->queues) {
    if (!queue.durable) continue;
    changed.queues[queue.name] = {.idempotent = queue.idempotent,
                                  .max_attempts = queue.max_attempts};
  }
  Handle(std::move(changed));
}

void JobsService::UpdateRoster() {
  jobs::RosterChanged changed;
  for (const RosterEntry& entry : m_context.roster.Get().entries) {
    changed.entries.push_back(entry.id);
  }
  Handle(std::move(changed));
}

ChildSpec JobsModule::MakeChild(NodeContext& context) {
  return {.name = "jobs", .factory = [&context] {
            return std::make_unique<JobsService>(context, context.platform.tables(),
                                                 context.platform.objects());
          }};
}

}  // namespace citronferry::node
