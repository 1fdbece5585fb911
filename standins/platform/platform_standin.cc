#include "standins/platform/platform_standin.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <charconv>

#include "standins/common/program.h"

namespace citronferry::standin {
namespace {

// Longer than any client waits.
constexpr Duration kHangDuration = 24h;

/// @param text decimal number, with or without the quotes of an ETag.
/// @return the number; 0 if the text is not one.
uint64_t ParseNumber(std::string_view text) {
  if (text.size() >= 2 && text.front() == '"') text = text.substr(1, text.size() - 2);
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

/// Removes a prefix from a path.
/// @return false if the path does not start with the prefix.
bool ConsumePrefix(std::string_view& path, std::string_view prefix) {
  if (!path.starts_with(prefix)) return false;
  path.remove_prefix(prefix.size());
  return true;
}

/// Removes the part of a path before its first slash.
/// @return the removed part.
std::string_view TakeSegment(std::string_view& path) {
  const std::string_view segment = path.substr(0, path.find('/'));
  path.remove_prefix(segment.size());
  return segment;
}

http::Response RowResponse(int status, const StoredRow& row) {
  return {.status = status,
          .headers = {{"ETag", '"' + std::to_string(row.version) + '"'},
                      {"Citronferry-Sequence", std::to_string(row.sequence)}},
          .body = QByteArray::fromStdString(row.value)};
}

http::Response WriteFailure(WriteResult result) {
  return result == WriteResult::kNotFound
             ? http::MakeErrorResponse(404, "not_found", "no such row")
             : http::MakeErrorResponse(412, "conflict", "the row has another version");
}

QJsonObject ToJson(const TableStore::Change& change) {
  return {{QStringLiteral("key"), QString::fromStdString(change.key)},
          {QStringLiteral("value"), QString::fromStdString(change.row.value)},
          {QStringLiteral("version"), static_cast<qint64>(change.row.version)},
          {QStringLiteral("sequence"), static_cast<qint64>(change.row.sequence)},
          {QStringLiteral("deleted"), change.row.deleted}};
}

bool IsWrite(const http::Request& request) { return request.method != "GET"; }

}  // namespace

QCoro::Task<http::Response> PlatformStandin::Handle(http::Request request) {
  std::string_view path = request.path;
  if (ConsumePrefix(path, "/standin/")) co_return HandleControl(request, path);
  if (m_switches.unresponsive) co_await SleepFor(m_timers, kHangDuration, request.abandoned.get());
  if (m_switches.delay > Duration::zero()) co_await SleepFor(m_timers, m_switches.delay);
  if (m_switches.outage) co_return http::MakeErrorResponse(503, "outage", "injected outage");
  http::Response response = Route(request);
  if (IsWrite(request) && m_switches.failing_writes > 0) {
    --m_switches.failing_writes;
    co_return http::MakeErrorResponse(500, "lost_answer", "injected after the write took effect");
  }
  co_return response;
}

void PlatformStandin::LoadInstances(const QJsonArray& instances) {
  for (const auto& instance : instances) m_instances.Put(instance.toObject(), m_timers.Now());
}

http::Response PlatformStandin::Route(const http::Request& request) {
  std::string_view path = request.path;
  if (path == "/v1/instances" && request.method == "GET") {
    return ListInstances(request);
  }
  if (ConsumePrefix(path, "/v1/instances/")) {
    const std::string id(TakeSegment(path));
    if (path == "/reboot" && request.method == "POST") return HandleReboot(id);
  } else if (ConsumePrefix(path, "/v1/objects/")) {
    return HandleObject(request, path);
  } else if (ConsumePrefix(path, "/v1/tables/")) {
    const std::string_view table = TakeSegment(path);
    if (path == "/changes") return ReadChanges(table, request.query);
    if (ConsumePrefix(path, "/rows/")) return HandleRow(request, table, path);
  }
  return http::MakeErrorResponse(404, "unknown_path", "no such resource");
}

http::Response PlatformStandin::ListInstances(const http::Request& request) {
  const std::string etag = '"' + std::to_string(m_instances.VisibleVersion(m_timers.Now())) + '"';
  if (http::FindHeader(request.headers, "If-None-Match") == etag) return {.status = 304};
  const QJsonDocument json(m_instances.VisibleInstances(m_timers.Now()));
  http::Response response = JsonResponse(200, json.toJson(QJsonDocument::Compact));
  response.headers.push_back({"ETag", etag});
  return response;
}

http::Response PlatformStandin::HandleRow(const http::Request& request, std::string_view table,
                                          std::string_view key) {
  if (request.method == "GET") return ReadRow(table, key);
  if (request.method == "PUT") return WriteRow(request, table, key);
  if (request.method == "DELETE") return DeleteRow(request, table, key);
  return http::MakeErrorResponse(405, "method_not_allowed", "use GET, PUT or DELETE");
}

http::Response PlatformStandin::ReadRow(std::string_view table, std::string_view key) {
  const StoredRow* row = m_tables.Find(table, key);
  if (!row) return http::MakeErrorResponse(404, "not_found", "no such row");
  return RowResponse(200, *row);
}

http::Response PlatformStandin::WriteRow(const http::Request& request, std::string_view table,
                                         std::string_view key) {
  const std::string_view match = http::FindHeader(request.headers, "If-Match");
  const std::string_view none_match = http::FindHeader(request.headers, "If-None-Match");
  if (match.empty() && none_match != "*") {
    return http::MakeErrorResponse(428, "condition_required", "send If-Match or If-None-Match: *");
  }
  const auto expected = match.empty() ? std::nullopt : std::optional(ParseNumber(match));
  const WriteResult result = m_tables.Put(table, key, request.body.toStdString(), expected);
  if (result != WriteResult::kWritten) return WriteFailure(result);
  http::Response response = RowResponse(expected ? 200 : 201, *m_tables.Find(table, key));
  response.body.clear();
  return response;
}

http::Response PlatformStandin::DeleteRow(const http::Request& request, std::string_view table,
                                          std::string_view key) {
  const uint64_t expected = ParseNumber(http::FindHeader(request.headers, "If-Match"));
  const WriteResult result = m_tables.Delete(table, key, expected);
  return result == WriteResult::kWritten ? http::Response{.status = 204} : WriteFailure(result);
}

http::Response PlatformStandin::ReadChanges(std::string_view table, std::string_view query) {
  ConsumePrefix(query, "after=");
  QJsonArray rows;
  for (const auto& change : m_tables.Changes(table, ParseNumber(query))) {
    rows.append(ToJson(change));
  }
  const QJsonObject json{
      {QStringLiteral("rows"), rows},
      {QStringLiteral("last_sequence"), static_cast<qint64>(m_tables.last_sequence())}};
  return JsonResponse(200, QJsonDocument(json).toJson(QJsonDocument::Compact));
}

http::Response PlatformStandin::HandleObject(const http::Request& request, std::string_view key) {
  if (request.method == "PUT") {
    m_objects[std::string(key)] = request.body;
    return {.status = 201};
  }
  const auto found = m_objects.find(key);
  if (found == m_objects.end()) {
    return http::MakeErrorResponse(404, "not_found", "no such object");
  }
  return {.headers = {{"Content-Type", "application/octet-stream"}}, .body = found->second};
}

http::Response PlatformStandin::HandleReboot(const std::string& id) {
  if (m_reboots.contains(id)) return {.status = 202};
  const QJsonArray visible = m_instances.VisibleInstances(m_timers.Now());
  for (const auto& item : visible) {
    const QJsonObject instance = item.toObject();
    if (instance.value(QLatin1String("id")).toString().toStdString() != id) continue;
    m_instances.Remove(id, m_timers.Now());
    m_reboots[id] = m_timers.SubscribeOnce(m_switches.reboot_time, [this, id, instance] {
      m_instances.Put(instance, m_timers.Now());
      m_reboots.erase(id);
    });
    return {.status = 202};
  }
  return http::MakeErrorResponse(404, "not_found", "no such instance");
}

http::Response PlatformStandin::HandleControl(const http::Request& request, std::string_view path) {
  const QJsonObject json = ParseObject(request.body);
  if (path == "switches" && request.method == "PUT") {
    const auto milliseconds = [&json](const char* key) {
      return std::chrono::milliseconds(json.value(QLatin1String(key)).toInteger());
    };
    m_switches = {.outage = json.value(QLatin1String("outage")).toBool(),
                  .delay = milliseconds("delay_ms"),
                  .failing_writes = json.value(QLatin1String("lose_answers")).toInt(),
                  .unresponsive = json.value(QLatin1String("silent")).toBool(),
                  .reboot_time = json.contains(QLatin1String("reboot_ms"))
                                     ? Duration(milliseconds("reboot_ms"))
                                     : m_switches.reboot_time};
    m_instances.SetLag(milliseconds("list_lag_ms"));
    return {.status = 204};
  }
  if (path == "instances" && request.method == "PUT") {
    m_instances.Put(json, m_timers.Now());
    return {.status = 204};
  }
  if (ConsumePrefix(path, "instances/") && request.method == "DELETE") {
    m_instances.Remove(std::string(path), m_timers.Now());
    return {.status = 204};
  }
  if (path == "writes") return {.body = QByteArray::number(static_cast<qint64>(m_tables.writes()))};
  return http::MakeErrorResponse(404, "unknown_path", "no such control");
}

}  // namespace citronferry::standin
