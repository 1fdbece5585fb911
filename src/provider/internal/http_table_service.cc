#include "provider/internal/http_table_service.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <charconv>

namespace citronferry::provider {
namespace {

std::string RowPath(const RowKey& key) {
  return "/v1/tables/" + http::PercentEncode(key.table) + "/rows/" + http::PercentEncode(key.key);
}

std::string QuoteVersion(uint64_t version) { return '"' + std::to_string(version) + '"'; }

/// Parses a decimal number, with or without the quotes of an ETag.
uint64_t ParseNumber(std::string_view text) {
  if (text.size() >= 2 && text.front() == '"') text = text.substr(1, text.size() - 2);
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

Row MakeRow(const RowKey& key, std::string value, const http::Response& response) {
  return {.key = key.key,
          .value = std::move(value),
          .version = ParseNumber(http::FindHeader(response.headers, "ETag")),
          .sequence = ParseNumber(http::FindHeader(response.headers, "Citronferry-Sequence"))};
}

std::optional<ChangeBatch> ParseChanges(const QByteArray& body) {
  const QJsonDocument json = QJsonDocument::fromJson(body);
  if (!json.isObject()) return std::nullopt;
  ChangeBatch batch;
  batch.last_sequence =
      static_cast<uint64_t>(json.object().value(QLatin1String("last_sequence")).toInteger());
  const QJsonArray rows = json.object().value(QLatin1String("rows")).toArray();
  batch.rows.reserve(static_cast<size_t>(rows.size()));
  for (const auto& item : rows) {
    const QJsonObject row = item.toObject();
    batch.rows.push_back(
        {.key = row.value(QLatin1String("key")).toString().toStdString(),
         .value = row.value(QLatin1String("value")).toString().toStdString(),
         .version = static_cast<uint64_t>(row.value(QLatin1String("version")).toInteger()),
         .sequence = static_cast<uint64_t>(row.value(QLatin1String("sequence")).toInteger()),
         .deleted = row.value(QLatin1String("deleted")).toBool()});
  }
  return batch;
}

}  // namespace

QCoro::Task<RetVal<Row>> HttpTableService::Get(RowKey key) {
  ProviderCall call{.path = RowPath(key)};
  const auto response = co_await m_client.Send(std::move(call));
  if (!response.ok()) co_return response.ret();
  if (response->status != 200) co_return MakeStatusError(response.value(), "read of a row");
  co_return MakeRow(key, response->body.toStdString(), response.value());
}

QCoro::Task<RetVal<Row>> HttpTableService::Create(RowKey key, std::string value) {
  http::Header condition{"If-None-Match", "*"};
  co_return co_await Write(std::move(key), std::move(value), std::move(condition));
}

QCoro::Task<RetVal<Row>> HttpTableService::Update(RowKey key, std::string value,
                                                  uint64_t expected_version) {
  http::Header condition{"If-Match", QuoteVersion(expected_version)};
  co_return co_await Write(std::move(key), std::move(value), std::move(condition));
}

QCoro::Task<RetVal<Row>> HttpTableService::Write(RowKey key, std::string value,
                                                 http::Header condition) {
  ProviderCall call{.method = "PUT", .path = RowPath(key), .body = value};
  call.headers.push_back(std::move(condition));
  const auto response = co_await m_client.Send(std::move(call));
  if (!response.ok()) co_return response.ret();
  if (response->status != 200 && response->status != 201) {
    co_return MakeStatusError(response.value(), "write of a row");
  }
  co_return MakeRow(key, std::move(value), response.value());
}

QCoro::Task<Ret> HttpTableService::Delete(RowKey key, uint64_t expected_version) {
  ProviderCall call{.method = "DELETE", .path = RowPath(key)};
  call.headers.push_back({"If-Match", QuoteVersion(expected_version)});
  const auto response = co_await m_client.Send(std::move(call));
  if (!response.ok()) co_return response.ret();
  if (response->status != 204) co_return MakeStatusError(response.value(), "removal of a row");
  co_return MakeOk();
}

QCoro::Task<RetVal<ChangeBatch>> HttpTableService::Changes(std::string table, uint64_t after) {
  ProviderCall call{.path = "/v1/tables/" + http::PercentEncode(table) +
                            "/changes?after=" + std::to_string(after)};
  const auto response = co_await m_client.Send(std::move(call));
  if (!response.ok()) co_return response.ret();
  if (response->status != 200) co_return MakeStatusError(response.value(), "read of changes");
  auto batch = ParseChanges(response->body);
  if (!batch) co_return Ret(ErrorCode::kInternal, "the change feed is not valid JSON");
  co_return std::move(*batch);
}

}  // namespace citronferry::provider
