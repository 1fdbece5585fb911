#include "platform/internal/row_store.h"

#include <utility>

#include "json/reader.h"
#include "platform/internal/wire.h"

namespace citronferry::platform {
namespace {

using fleet::Row;
using fleet::RowChanges;
using fleet::RowKey;
using fleet::RowRange;
using fleet::Transaction;
using fleet::TransactionOutcome;
using fleet::TransactionResult;
namespace bj = boost::json;

// Reads take 4 ms in normal operation and up to 60 times that when the store is slow.
constexpr Duration kReadTimeout = 1000ms;
// Added to the wait for a change, for the transfer of the response.
constexpr Duration kFollowTimeoutMargin = 1000ms;

std::string ToBase64(std::string_view bytes) {
  return QByteArrayView(bytes.data(), static_cast<qsizetype>(bytes.size()))
      .toByteArray()
      .toBase64()
      .toStdString();
}

// @return the bytes, or an empty string if the text is not base64.
std::string FromBase64(std::string_view text) {
  const auto decoded = QByteArray::fromBase64Encoding(
      QByteArray(text.data(), static_cast<qsizetype>(text.size())),
      QByteArray::Base64Encoding | QByteArray::AbortOnBase64DecodingErrors);
  return decoded ? decoded.decoded.toStdString() : std::string();
}

bj::object EncodeKey(const RowKey& key) {
  return {{"tableName", key.table}, {"part", key.partition}, {"key", key.key}};
}

// Row of a response. A deleted row is flagged and has no value.
struct DecodedRow {
  Row row;
  bool removed = false;
};

DecodedRow DecodeRow(const bj::value& value) {
  json::ObjectReader reader(value);
  DecodedRow decoded;
  decoded.row.key = {.table = reader.Text("tableName"),
                     .partition = reader.Text("part"),
                     .key = reader.Text("key")};
  decoded.row.value = FromBase64(reader.Text("value"));
  decoded.row.version = reader.Integer("rowVersion");
  decoded.removed = reader.Boolean("deleted");
  return decoded;
}

Ret StatusError(int status) {
  if (status == 410) return {ErrorCode::kNotFound, "the store no longer has this change history"};
  return {ErrorCode::kUnavailable, "the store returned HTTP status " + std::to_string(status)};
}

TransactionResult DecodeTransaction(const http::Response& response) {
  TransactionResult result;
  const auto body = json::Parse(BodyText(response));
  if (!body.ok()) {
    result.error = std::string(body.ret().message());
    return result;
  }
  json::ObjectReader reader(body.value());
  result.version = reader.Integer("rowVersion");
  result.clock_ms = reader.Integer("nowMs", 0);
  if (response.status == 200) {
    result.outcome = TransactionOutcome::kApplied;
    return result;
  }
  result.outcome = TransactionOutcome::kConflict;
  if (const bj::array* rows = reader.Array("rows")) {
    for (const bj::value& row : *rows) result.rows.push_back(DecodeRow(row).row);
  }
  return result;
}

}  // namespace

QCoro::Task<RetVal<http::Response>> HttpRowStore::Get(std::string path_and_query, Duration timeout,
                                                      std::string_view kind) {
  // A named variable because g++ 12 destroys aggregate temporaries of a co_await expression twice.
  http::ClientRequest request{.url = m_url + path_and_query,
                              .timeout = timeout,
                              .progress_extends_timeout = true,
                              .idempotency = http::Idempotency::kSafe,
                              .kind = kind};
  auto response = co_await m_client.Send(std::move(request));
  // Reads have no side effects, so every failure, also a lost response, is kUnavailable.
  if (!response.ok()) co_return Ret(ErrorCode::kUnavailable, std::string(response.ret().message()));
  co_return response;
}

QCoro::Task<RetVal<RowRange>> HttpRowStore::Read(std::string table, std::string partition,
                                                 std::string from, std::string to) {
  std::string query = "/v1/rows-get?tableName=" + http::PercentEncode(table) +
                      "&part=" + http::PercentEncode(partition);
  if (!from.empty()) query += "&from=" + http::PercentEncode(from);
  // "target" is the exclusive end of the range.
  if (!to.empty()) query += "&target=" + http::PercentEncode(to);
  const auto response = co_await Get(std::move(query), kReadTimeout, "store_read");
  if (!response.ok()) co_return response.ret();
  if (response->status != 200) co_return StatusError(response->status);
  const auto body = json::Parse(BodyText(response.value()));
  if (!body.ok()) co_return Ret(ErrorCode::kUnavailable, std::string(body.ret().message()));
  json::ObjectReader reader(body.value());
  RowRange range{.version = reader.Integer("rowVersion"),
                 .has_more = reader.Boolean("hasMore"),
                 .clock_ms = reader.Integer("nowMs", 0)};
  if (const bj::array* rows = reader.Array("rows")) {
    for (const bj::value& row : *rows) range.rows.push_back(DecodeRow(row).row);
  }
  co_return range;
}

QCoro::Task<TransactionResult> HttpRowStore::Transact(Transaction transaction, Duration timeout) {
  bj::array conditions;
  for (const Transaction::Condition& condition : transaction.conditions) {
    bj::object encoded = EncodeKey(condition.key);
    encoded["rowVersion"] = condition.version;
    conditions.push_back(std::move(encoded));
  }
  bj::array puts;
  for (const Transaction::Put& put : transaction.puts) {
    bj::object encoded = EncodeKey(put.key);
    encoded["value"] = ToBase64(put.value);
    puts.push_back(std::move(encoded));
  }
  bj::array removals;
  for (const RowKey& key : transaction.removals) removals.push_back(EncodeKey(key));
  const bj::object body{{"expected", std::move(conditions)},
                        {"puts", std::move(puts)},
                        {"remove", std::move(removals)}};

  // The conditions make a repetition harmless, so idle keep-alive connections may be reused.
  http::ClientRequest request{.method = "POST",
                              .url = m_url + "/v1/rows-tx",
                              .headers = {{"Content-Type", "application/json"}},
                              .body = QByteArray::fromStdString(bj::serialize(body)),
                              .timeout = timeout,
                              .idempotency = http::Idempotency::kIdempotent,
                              .kind = "store_commit"};
  const auto response = co_await m_client.Send(std::move(request));
  if (!response.ok()) {
    co_return TransactionResult{.outcome = response.code() == ErrorCode::kUnavailable
                                               ? TransactionOutcome::kRefused
                                               : TransactionOutcome::kUnknown,
                                .error = std::string(response.ret().message())};
  }
  switch (response->status) {
    case 200:
    case 412:
      co_return DecodeTransaction(response.value());
    case 429:
    case 503:
      co_return TransactionResult{
          .outcome = TransactionOutcome::kRefused,
          .error = "the store returned HTTP status " + std::to_string(response->status)};
    case 400:
    case 403:
    case 404:
    case 413:
      co_return TransactionResult{.outcome = TransactionOutcome::kInvalid,
                                  .error = "the store returned HTTP status " +
                                           std::to_string(response->status) + ": " +
                                           std::string(BodyText(response.value()))};
    default:
      co_return TransactionResult{
          .outcome = TransactionOutcome::kUnknown,
          .error = "the store returned HTTP status " + std::to_string(response->status)};
  }
}

QCoro::Task<RetVal<RowChanges>> HttpRowStore::Follow(std::string table, int64_t after,
                                                     Duration wait) {
  const auto response = co_await Get(
      "/v1/rows-feed?tableName=" + http::PercentEncode(table) + "&after=" + std::to_string(after) +
          "&waitMs=" + std::to_string(ToMilliseconds(wait)),
      wait + kFollowTimeoutMargin, table == kRegistryTable ? "store_feed_registry" : "store_feed");
  if (!response.ok()) co_return response.ret();
  if (response->status != 200) co_return StatusError(response->status);
  const auto body = json::Parse(BodyText(response.value()));
  if (!body.ok()) co_return Ret(ErrorCode::kUnavailable, std::string(body.ret().message()));
  json::ObjectReader reader(body.value());
  RowChanges changes{.version = reader.Integer("rowVersion", after)};
  if (const bj::array* rows = reader.Array("rows")) {
    for (const bj::value& value : *rows) {
      DecodedRow decoded = DecodeRow(value);
      if (decoded.removed) {
        changes.removed.push_back(std::move(decoded.row.key));
      } else {
        changes.changed.push_back(std::move(decoded.row));
      }
    }
  }
  co_return changes;
}

}  // namespace citronferry::platform
