#include "node/jobs/job_store.h"

#include <QJsonDocument>
#include <array>

#include "node/gateway/answer_record.h"
#include "telemetry/log.h"

namespace citronferry::node {
namespace {

constexpr char kJobsTable[] = "jobs";
constexpr size_t kIdHexDigits = 32;
// Names in stored rows, indexed by jobs::State.
constexpr std::array<std::string_view, 3> kStateNames{"accepted", "claimed", "ended"};

std::optional<jobs::State> ParseState(std::string_view name) {
  for (size_t i = 0; i < kStateNames.size(); ++i) {
    if (kStateNames[i] == name) return static_cast<jobs::State>(i);
  }
  return std::nullopt;
}

std::string Encode(const jobs::Job& job) {
  QJsonObject json{
      {QStringLiteral("state"), ToQString(kStateNames[static_cast<size_t>(job.state)])},
      {QStringLiteral("team"), ToQString(job.team.view())},
      {QStringLiteral("queue"), ToQString(job.queue.view())},
      {QStringLiteral("fingerprint"), ToQString(job.fingerprint)},
      {QStringLiteral("write_id"), ToQString(job.write_id)}};
  if (job.state == jobs::State::kEnded) {
    // The body of the job is no longer needed.
    json.insert(QStringLiteral("answer"), EncodeAnswer(job.answer));
  } else {
    json.insert(QStringLiteral("content_type"), ToQString(job.content_type));
    json.insert(QStringLiteral("body"), ToBase64(job.body));
    json.insert(QStringLiteral("object"), ToQString(job.object));
    json.insert(QStringLiteral("attempts"), job.attempts);
  }
  if (job.state == jobs::State::kClaimed) {
    json.insert(QStringLiteral("holder"), EncodeHolder(job.holder));
  }
  return QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
}

std::optional<jobs::Job> Decode(const std::string& text) {
  const QJsonDocument document = QJsonDocument::fromJson(QByteArray::fromStdString(text));
  const QJsonObject json = document.object();
  const auto state = ParseState(TextMember(json, "state"));
  if (!state) return std::nullopt;
  return jobs::Job{.state = *state,
                   .team = TeamName(TextMember(json, "team")),
                   .queue = QueueName(TextMember(json, "queue")),
                   .fingerprint = TextMember(json, "fingerprint"),
                   .content_type = TextMember(json, "content_type"),
                   .body = BytesMember(json, "body"),
                   .object = TextMember(json, "object"),
                   .attempts = json.value(QLatin1String("attempts")).toInt(),
                   .write_id = TextMember(json, "write_id"),
                   .holder = DecodeHolder(json.value(QLatin1String("holder")).toObject()),
                   .answer = DecodeAnswer(json.value(QLatin1String("answer")).toObject())};
}

provider::RowKey MakeRowKey(const JobId& id) { return {.table = kJobsTable, .key = id.str()}; }

RetVal<jobs::JobRow> ToJobRow(const provider::Row& row) {
  auto job = Decode(row.value);
  if (!job) {
    Log(LogLevel::kError, "job_row_invalid", {{"job", row.key}});
    return Ret(ErrorCode::kInternal, "the row of job " + row.key + " is not valid");
  }
  return jobs::JobRow{.id = JobId(row.key), .job = std::move(*job), .version = row.version};
}

}  // namespace

JobId JobStore::MakeId(const TeamName& team, std::string_view request_key) {
  return JobId(Sha256Hex(team.str() + '\n' + std::string(request_key)).substr(0, kIdHexDigits));
}

QCoro::Task<RetVal<jobs::JobRow>> JobStore::Accept(JobId id, jobs::Job job) {
  const auto stored = co_await StoreBody(m_objects, job.body);
  if (!stored.ok()) co_return Ret(ErrorCode::kUnavailable, std::string(stored.ret().message()));
  job.body = stored->body;
  job.object = stored->object;
  job.write_id = RandomToken();
  provider::RowKey key = MakeRowKey(id);
  const auto created = co_await m_tables.Create(std::move(key), Encode(job));
  if (created.ok()) {
    co_return jobs::JobRow{.id = id, .job = std::move(job), .version = created->version};
  }
  if (created.code() == ErrorCode::kUnavailable) co_return created.ret();
  auto read = co_await Read(id);
  if (read.ok()) co_return read;
  // A conflict shows that the job exists, so it cannot be reported as not accepted.
  co_return Ret(ErrorCode::kUnknownOutcome, "it is not known whether the job was accepted");
}

QCoro::Task<RetVal<jobs::JobRow>> JobStore::Read(JobId id) {
  provider::RowKey key = MakeRowKey(id);
  const auto row = co_await m_tables.Get(std::move(key));
  if (!row.ok()) co_return row.ret();
  co_return ToJobRow(row.value());
}

QCoro::Task<RetVal<jobs::JobRow>> JobStore::Replace(jobs::JobRow row, jobs::Job job) {
  job.write_id = RandomToken();
  provider::RowKey key = MakeRowKey(row.id);
  const auto written = co_await m_tables.Update(std::move(key), Encode(job), row.version);
  if (written.ok()) {
    co_return jobs::JobRow{.id = row.id, .job = std::move(job), .version = written->version};
  }
  if (written.code() == ErrorCode::kUnavailable) co_return written.ret();
  const auto read = co_await Read(row.id);
  if (!read.ok()) {
    // A conflict means that another write took effect, even if the row cannot be read now.
    if (written.code() == ErrorCode::kConflict) co_return written.ret();
    co_return Ret(ErrorCode::kUnknownOutcome, "it is not known whether the job was changed");
  }
  if (read->job.write_id == job.write_id) co_return read;
  if (read->version != row.version) co_return Ret(ErrorCode::kConflict, "the job has changed");
  co_return Ret(ErrorCode::kUnknownOutcome, "the change of the job may still take effect");
}

QCoro::Task<RetVal<JobChanges>> JobStore::ReadChanges(uint64_t after) {
  const auto batch = co_await m_tables.Changes(kJobsTable, after);
  if (!batch.ok()) co_return batch.ret();
  JobChanges changes{.last_sequence = batch->last_sequence};
  for (const provider::Row& row : batch->rows) {
    if (row.deleted) {
      changes.rows.push_back({.id = JobId(row.key), .deleted = true});
      continue;
    }
    auto job = ToJobRow(row);
    if (job.ok()) changes.rows.push_back(std::move(job).value());
  }
  co_return changes;
}

QCoro::Task<RetVal<std::string>> JobStore::LoadJobBody(jobs::Job job) {
  StoredBody stored{.body = std::move(job.body), .object = std::move(job.object)};
  co_return co_await LoadBody(m_objects, std::move(stored));
}

QCoro::Task<RetVal<requests::Answer>> JobStore::StoreAnswer(requests::Answer answer) {
  const auto stored = co_await StoreBody(m_objects, answer.body);
  if (!stored.ok()) co_return stored.ret();
  answer.body = stored->body;
  answer.object = stored->object;
  co_return answer;
}

QCoro::Task<RetVal<requests::Answer>> JobStore::LoadAnswer(requests::Answer answer) {
  StoredBody stored{.body = answer.body, .object = answer.object};
  auto body = co_await LoadBody(m_objects, std::move(stored));
  if (!body.ok()) co_return body.ret();
  answer.body = std::move(body).value();
  co_return answer;
}

}  // namespace citronferry::node
