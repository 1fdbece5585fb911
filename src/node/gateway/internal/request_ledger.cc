#include "node/gateway/internal/request_ledger.h"

#include <QJsonDocument>

#include "node/gateway/answer_record.h"
#include "telemetry/log.h"

namespace citronferry::node {
namespace {

constexpr char kRequestsTable[] = "requests";
// Longest time, without faults, between the end of an attempt and its outcome in the table.
constexpr Duration kOutcomeGrace = 10s;
// Bounds the memory of a long outage to 16 MB, with bodies of up to 16 KB held in memory.
constexpr size_t kMaxSettlements = 1000;
// Large bodies stay in memory until the object store takes them, so they are given up after 1 min.
constexpr Duration kStoreRetryPeriod = 2s;
constexpr int kMaxStoreTries = 30;

std::string Encode(const requests::Record& record) {
  const bool ended = record.state == requests::State::kEnded;
  QJsonObject json{
      {QStringLiteral("state"), ended ? QStringLiteral("ended") : QStringLiteral("claimed")},
      {QStringLiteral("token"), ToQString(record.token)},
      {QStringLiteral("holder"), EncodeHolder(record.holder)},
      {QStringLiteral("fingerprint"), ToQString(record.fingerprint)},
      {QStringLiteral("lease_ms"), static_cast<qint64>(ToMilliseconds(record.lease))}};
  if (ended) json.insert(QStringLiteral("answer"), EncodeAnswer(record.answer));
  return QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
}

std::optional<requests::Record> Decode(const std::string& text) {
  const QJsonDocument document = QJsonDocument::fromJson(QByteArray::fromStdString(text));
  const QJsonObject json = document.object();
  const std::string state = TextMember(json, "state");
  if (state != "claimed" && state != "ended") return std::nullopt;
  return requests::Record{
      .state = state == "ended" ? requests::State::kEnded : requests::State::kClaimed,
      .token = TextMember(json, "token"),
      .holder = DecodeHolder(json.value(QLatin1String("holder")).toObject()),
      .fingerprint = TextMember(json, "fingerprint"),
      .lease = std::chrono::milliseconds(json.value(QLatin1String("lease_ms")).toInteger()),
      .answer = DecodeAnswer(json.value(QLatin1String("answer")).toObject())};
}

}  // namespace

std::string LedgerKey(const TeamName& team, std::string_view request_key) {
  std::string key;
  for (const char c : team.view()) {
    if (c == '.') {
      key += "%2E";
    } else if (c == '%') {
      key += "%25";
    } else {
      key += c;
    }
  }
  return key + '.' + std::string(request_key);
}

requests::Record RequestLedger::MakeClaim(std::string fingerprint, TimePoint deadline) const {
  return {.token = RandomToken() + RandomToken(),
          .holder = {.entry = m_context.settings.id, .incarnation = m_context.incarnation},
          .fingerprint = std::move(fingerprint),
          .lease = deadline - m_context.timers.Now() + kOutcomeGrace};
}

QCoro::Task<requests::RowRead> RequestLedger::Read(std::string key) {
  const provider::RowKey row_key{.table = kRequestsTable, .key = std::move(key)};
  const auto row = co_await m_tables.Get(row_key);
  if (!row.ok()) co_return requests::RowRead{.code = row.code()};
  auto record = Decode(row->value);
  if (!record) {
    Log(LogLevel::kError, "request_row_invalid", {{"key", row_key.key}});
    co_return requests::RowRead{.code = ErrorCode::kInternal};
  }
  requests::RowRead read{.row = {.record = std::move(*record), .version = row->version}};
  co_return read;
}

QCoro::Task<requests::ClaimWritten> RequestLedger::Write(std::string key, requests::Record record,
                                                         std::optional<uint64_t> expected_version) {
  const provider::RowKey row_key{.table = kRequestsTable, .key = std::move(key)};
  RetVal<provider::Row> row = Ret(ErrorCode::kInternal, {});
  if (expected_version) {
    row = co_await m_tables.Update(row_key, Encode(record), *expected_version);
  } else {
    row = co_await m_tables.Create(row_key, Encode(record));
  }
  if (!row.ok()) co_return requests::ClaimWritten{.code = row.code()};
  co_return requests::ClaimWritten{.version = row->version};
}

void RequestLedger::Settle(std::string key, requests::Record claim, requests::Answer answer,
                           std::optional<uint64_t> version) {
  if (m_settlements.running() >= kMaxSettlements) {
    Log(LogLevel::kError, "request_outcome_dropped", {{"key", key}});
    return;
  }
  claim.state = requests::State::kEnded;
  claim.answer = std::move(answer);
  m_settlements.Spawn(
      [this, key = std::move(key), record = std::move(claim), version]() -> QCoro::Task<void> {
        return RunSettlement(key, record, version);
      });
}

QCoro::Task<void> RequestLedger::RunSettlement(std::string key, requests::Record record,
                                               std::optional<uint64_t> version) {
  auto stored = co_await StoreAnswerBody(record.answer);
  if (!stored) co_return;
  record.answer = std::move(*stored);
  requests::Settlement settlement(record, version);
  requests::SettlementEvent event = requests::SettleNow{};
  while (true) {
    const auto actions = settlement.Handle(event, m_context.timers.Now());
    const requests::SettlementAction& action = actions.front();
    if (const auto* write = std::get_if<requests::WriteRecord>(&action)) {
      const auto written = co_await Write(key, write->record, write->expected_version);
      event = requests::RecordWritten{written.code};
    } else if (std::holds_alternative<requests::ReadRow>(action)) {
      requests::RowRead read = co_await Read(key);
      event = std::move(read);
    } else if (const auto* retry = std::get_if<requests::RetryLater>(&action)) {
      const bool slept = co_await SleepFor(m_context.timers, retry->delay, &m_stop);
      if (!slept) break;
      event = requests::SettleNow{};
    } else {
      if (std::get<requests::EndSettlement>(action).result ==
          requests::SettlementResult::kRecorded) {
        co_return;
      }
      break;
    }
  }
  Log(LogLevel::kWarning, "request_outcome_not_recorded", {{"key", key}});
}

QCoro::Task<std::optional<requests::Answer>> RequestLedger::StoreAnswerBody(
    requests::Answer answer) {
  for (int tries = 0; tries < kMaxStoreTries; ++tries) {
    const auto stored = co_await StoreBody(m_objects, answer.body);
    if (stored.ok()) {
      answer.body = stored->body;
      answer.object = stored->object;
      co_return answer;
    }
    const bool slept = co_await SleepFor(m_context.timers, kStoreRetryPeriod, &m_stop);
    if (!slept) break;
  }
  Log(LogLevel::kWarning, "request_answer_not_stored");
  co_return std::nullopt;
}

requests::RecordStatus RequestLedger::ClassifyRow(std::string_view key,
                                                  const requests::RecordRow& row,
                                                  std::string_view fingerprint) {
  const bool expired =
      m_observer.HasExpired(key, row.version, row.record.lease, m_context.timers.Now());
  return requests::ClassifyRecord(row.record, fingerprint,
                                  expired || IsHolderGone(row.record.holder));
}

QCoro::Task<RetVal<requests::Answer>> RequestLedger::LoadAnswer(requests::Answer answer) {
  StoredBody stored{.body = answer.body, .object = answer.object};
  auto body = co_await LoadBody(m_objects, std::move(stored));
  if (!body.ok()) co_return body.ret();
  answer.body = std::move(body).value();
  co_return answer;
}

QCoro::Task<void> RequestLedger::Finish(Duration timeout) {
  const Ret joined = co_await m_settlements.Join(m_context.timers, timeout);
  if (joined) co_return;
  m_stop.Request();
  // Platform calls in progress end within their deadline of 1 s.
  static_cast<void>(co_await m_settlements.Join(m_context.timers, 3s));
}

bool RequestLedger::IsHolderGone(const requests::Holder& holder) const {
  if (holder.entry == m_context.settings.id) return holder.incarnation != m_context.incarnation;
  const auto& entries = m_context.roster.Get().entries;
  for (const RosterEntry& entry : entries) {
    if (entry.id == holder.entry) return entry.incarnation != holder.incarnation;
  }
  return !entries.empty();
}

QCoro::Task<bool> ClaimGate::Admit() {
  requests::ClaimEvent event = requests::SlotHeld{};
  while (true) {
    const auto actions = m_claim.Handle(event, m_context.timers.Now());
    const requests::ClaimAction& action = actions.front();
    if (const auto* write = std::get_if<requests::WriteClaim>(&action)) {
      const auto written = co_await m_ledger.Write(m_key, write->record, write->expected_version);
      event = written;
    } else if (std::holds_alternative<requests::ReadRow>(action)) {
      requests::RowRead read = co_await m_ledger.Read(m_key);
      event = std::move(read);
    } else if (std::holds_alternative<requests::SendRequest>(action)) {
      co_return true;
    } else {
      m_refusal = std::get<requests::RefuseRequest>(action);
      co_return false;
    }
  }
}

}  // namespace citronferry::node
