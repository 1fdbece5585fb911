#include "cli/internal/publisher.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <utility>

#include "document/changes.h"
#include "node/node_context.h"
#include "supervision/awaitables.h"

namespace citronferry::cli {
namespace {

constexpr char kConfigTable[] = "config";
/// Each call has its own deadline, so during an outage a command fails after a few seconds.
constexpr int kMaxAttempts = 3;
constexpr Duration kRetryDelay = 300ms;

bool IsRetryable(const Ret& ret) {
  return ret.code() == ErrorCode::kUnavailable || ret.code() == ErrorCode::kUnknownOutcome;
}

std::optional<ConfigurationRow> ParseRow(const provider::Row& row) {
  const QJsonObject json = QJsonDocument::fromJson(QByteArray::fromStdString(row.value)).object();
  const auto text = [&json](const char* key) {
    return json.value(QLatin1String(key)).toString().toStdString();
  };
  const auto number = [&json](const char* key) {
    return static_cast<uint64_t>(json.value(QLatin1String(key)).toInteger());
  };
  ConfigurationRow parsed{.version = number("version"),
                          .digest = text("digest"),
                          .author = text("author"),
                          .base = number("base"),
                          .base_digest = text("base_digest"),
                          .row_version = row.version};
  if (parsed.version == 0 || parsed.digest.empty()) return std::nullopt;
  return parsed;
}

std::string FormatRow(const PreparedChange& change) {
  const QJsonObject json{
      {QStringLiteral("version"), static_cast<qint64>(change.current.version + 1)},
      {QStringLiteral("digest"), QString::fromStdString(change.digest)},
      {QStringLiteral("author"), QString::fromStdString(change.request.author)},
      {QStringLiteral("base"), static_cast<qint64>(change.current.version)},
      {QStringLiteral("base_digest"), QString::fromStdString(change.current.digest)}};
  return QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
}

/// State of a write whose response was lost or was a conflict, as derived from the row.
enum class WriteState { kWritten, kNotWritten, kSuperseded };

WriteState ClassifyWrite(const PreparedChange& change, const ConfigurationRow& latest) {
  if (latest.digest == change.digest) return WriteState::kWritten;
  if (latest.row_version == change.current.row_version) return WriteState::kNotWritten;
  return WriteState::kSuperseded;
}

/// Repeats an idempotent call up to kMaxAttempts times while the platform does not respond.
template <typename Result, typename Call>
QCoro::Task<Result> Retry(TimerService& timers, Call call) {
  for (int attempt = 1;; ++attempt) {
    Result result = co_await call();
    if (result.ok() || attempt == kMaxAttempts) co_return result;
    if constexpr (std::is_same_v<Result, Ret>) {
      if (!IsRetryable(result)) co_return result;
    } else {
      if (!IsRetryable(result.ret())) co_return result;
    }
    co_await SleepFor(timers, kRetryDelay);
  }
}

}  // namespace

QCoro::Task<RetVal<ConfigurationRow>> Publisher::ReadRow(std::string environment) {
  const auto get = [&] {
    provider::RowKey key{.table = kConfigTable, .key = environment};
    return m_platform.tables().Get(std::move(key));
  };
  const auto row = co_await Retry<RetVal<provider::Row>>(m_timers, get);
  if (row.code() == ErrorCode::kNotFound) co_return ConfigurationRow();
  if (!row.ok()) co_return row.ret();
  const auto parsed = ParseRow(row.value());
  if (!parsed) {
    co_return Ret(ErrorCode::kInternal, "row config/" + environment + " is not valid");
  }
  co_return *parsed;
}

QCoro::Task<RetVal<std::string>> Publisher::ReadDocument(std::string digest) {
  const auto get = [&] { return m_platform.objects().Get(digest); };
  auto text = co_await Retry<RetVal<std::string>>(m_timers, get);
  if (text.ok() && node::Sha256Hex(text.value()) != digest) {
    co_return Ret(ErrorCode::kInternal, "object " + digest + " does not match its digest");
  }
  co_return text;
}

QCoro::Task<std::string> Publisher::DescribeDifference(std::string base_digest,
                                                       std::string digest) {
  document::ParseResult base;
  if (!base_digest.empty()) {
    const auto base_text = co_await ReadDocument(base_digest);
    if (!base_text.ok()) co_return "  (the previous document cannot be read)\n";
    base = document::ParseDocument(base_text.value());
  }
  const auto text = co_await ReadDocument(digest);
  if (!text.ok()) co_return "  (the document cannot be read)\n";
  const document::ParseResult next = document::ParseDocument(text.value());
  std::string lines;
  for (const std::string& line : document::DescribeChanges(base.document, next.document)) {
    lines += "  " + line + '\n';
  }
  if (lines.empty()) co_return "  (no effective changes)\n";
  co_return lines;
}

QCoro::Task<Ret> Publisher::MakeConflict(ConfigurationRow current, std::string base_digest,
                                         std::string own_digest) {
  std::string message = "version " + std::to_string(current.version) + " by " + current.author +
                        ", based on version " + std::to_string(current.base) + ", is active:\n";
  const bool replaced_own = current.base_digest == own_digest;
  if (replaced_own) base_digest = own_digest;
  message += co_await DescribeDifference(base_digest, current.digest);
  if (replaced_own) {
    message += "This document was version " + std::to_string(current.base) +
               " and has been replaced by that change.\n";
  }
  co_return Ret(ErrorCode::kConflict, std::move(message));
}

QCoro::Task<RetVal<PreparedChange>> Publisher::Prepare(PublishRequest request) {
  const auto current = co_await ReadRow(request.environment);
  if (!current.ok()) co_return current.ret();
  PreparedChange change{.request = std::move(request), .digest = {}, .current = current.value()};
  change.digest = node::Sha256Hex(change.request.text);
  change.already_active = change.current.digest == change.digest;
  if (change.already_active) co_return change;
  if (change.request.base && *change.request.base != change.current.version) {
    if (change.current.version == 0) {
      co_return Ret(ErrorCode::kInvalidArgument, "no document is active yet, so --base must be 0");
    }
    co_return co_await MakeConflict(change.current, change.current.base_digest, change.digest);
  }
  document::ParseResult base;
  if (change.current.version != 0) {
    const auto text = co_await ReadDocument(change.current.digest);
    if (!text.ok()) co_return text.ret();
    base = document::ParseDocument(text.value());
  }
  const document::ParseResult next = document::ParseDocument(change.request.text);
  change.changes = document::DescribeChanges(base.document, next.document);
  co_return change;
}

QCoro::Task<Ret> Publisher::WriteObject(std::string digest, std::string text) {
  const auto put = [&] { return m_platform.objects().Put(digest, text); };
  co_return co_await Retry<Ret>(m_timers, put);
}

QCoro::Task<RetVal<provider::Row>> Publisher::WriteRow(PreparedChange change) {
  provider::RowKey key{.table = kConfigTable, .key = change.request.environment};
  std::string value = FormatRow(change);
  if (change.current.row_version == 0) {
    co_return co_await m_platform.tables().Create(std::move(key), std::move(value));
  }
  co_return co_await m_platform.tables().Update(std::move(key), std::move(value),
                                                change.current.row_version);
}

QCoro::Task<RetVal<uint64_t>> Publisher::Commit(PreparedChange change) {
  if (change.already_active) co_return change.current.version;
  const Ret stored = co_await WriteObject(change.digest, change.request.text);
  if (!stored) co_return stored;
  Ret last_error;
  bool outcome_unknown = false;
  for (int attempt = 1; attempt <= kMaxAttempts; ++attempt) {
    if (attempt > 1) co_await SleepFor(m_timers, kRetryDelay);
    const auto written = co_await WriteRow(change);
    if (written.ok()) co_return change.current.version + 1;
    last_error = written.ret();
    if (last_error.code() == ErrorCode::kUnavailable) continue;
    const bool unknown = last_error.code() == ErrorCode::kUnknownOutcome;
    outcome_unknown = outcome_unknown || unknown;
    if (!unknown && last_error.code() != ErrorCode::kConflict &&
        last_error.code() != ErrorCode::kNotFound) {
      co_return last_error;
    }
    const auto latest = co_await ReadRow(change.request.environment);
    if (!latest.ok()) continue;
    switch (ClassifyWrite(change, latest.value())) {
      case WriteState::kWritten:
        co_return latest->version;
      case WriteState::kSuperseded:
        co_return co_await MakeConflict(latest.value(), change.current.digest, change.digest);
      case WriteState::kNotWritten:
        // Safe to retry: the condition on the row version prevents a second write.
        break;
    }
  }
  if (outcome_unknown) {
    co_return Ret(
        ErrorCode::kUnknownOutcome,
        "the platform did not confirm whether the change was written; run the command again");
  }
  co_return last_error;
}

}  // namespace citronferry::cli
