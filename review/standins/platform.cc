#include "platform.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <thread>
#include <utility>

namespace review {
namespace {

namespace bj = boost::json;

constexpr int kReadMs = 4;
constexpr int kTransactionMs = 6;
constexpr size_t kPageRows = 500;
constexpr int64_t kHeartbeatMs = 1500;
constexpr int64_t kMissedHeartbeats = 3;

std::string ToBase64(const std::string& bytes) {
  static constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t bits = 0;
    for (size_t k = 0; k < 3; ++k) {
      bits = bits << 8U | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (size_t k = 0; k < 4; ++k) {
      text += i + k <= bytes.size() ? kDigits[bits >> (18U - 6U * k) & 63U] : '=';
    }
  }
  return text;
}

std::string FromBase64(const std::string& text) {
  const auto digit = [](char c) -> uint32_t {
    if (c >= 'A' && c <= 'Z') return static_cast<uint32_t>(c - 'A');
    if (c >= 'a' && c <= 'z') return static_cast<uint32_t>(c - 'a') + 26;
    if (c >= '0' && c <= '9') return static_cast<uint32_t>(c - '0') + 52;
    return c == '+' ? 62 : 63;
  };
  std::string bytes;
  uint32_t bits = 0;
  int count = 0;
  for (const char c : text) {
    if (c == '=') break;
    bits = bits << 6U | digit(c);
    count += 6;
    if (count < 8) continue;
    count -= 8;
    bytes += static_cast<char>(bits >> static_cast<uint32_t>(count) & 255U);
  }
  return bytes;
}

std::string Text(const bj::object& object, const char* name) {
  const bj::value* value = object.if_contains(name);
  return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

HttpResponse Json(int status, const bj::object& body) {
  return {.status = status, .body = bj::serialize(body)};
}

void Sleep(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

}  // namespace

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

Record::Record(const std::string& path, int64_t started_ms, std::string source)
    : m_file(open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644)),
      m_started_ms(started_ms),
      m_source(std::move(source)) {}

void Record::Write(const std::string& text) const {
  const std::string line =
      std::to_string(NowMs() - m_started_ms) + " " + m_source + " " + text + "\n";
  if (write(m_file, line.data(), line.size()) < 0) std::abort();
}

Platform::Platform(std::string ip, int port, const Record& record)
    : m_record(record), m_server(std::move(ip), port, [this](const HttpRequest& request) {
        return Handle(request);
      }) {
  std::thread([this] {
    while (true) {
      Sleep(100);
      const std::lock_guard lock(m_mutex);
      for (auto entry = m_heard_ms.begin(); entry != m_heard_ms.end();) {
        if (NowMs() - entry->second <= kMissedHeartbeats * kHeartbeatMs) {
          ++entry;
          continue;
        }
        Store({"servers", "", entry->first}, {}, true);
        entry = m_heard_ms.erase(entry);
      }
    }
  }).detach();
}

void Platform::Store(const Key& key, const std::string& value, bool deleted) {
  if (deleted && !m_rows.contains(key)) return;
  m_rows[key] = {.value = value, .version = ++m_version, .deleted = deleted};
  m_changed.notify_all();
}

void Platform::Put(const std::string& table, const std::string& key, const std::string& value) {
  const std::lock_guard lock(m_mutex);
  Store({table, "", key}, value, false);
}

std::string Platform::Get(const std::string& table, const std::string& part,
                          const std::string& key) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_rows.find({table, part, key});
  return found == m_rows.end() || found->second.deleted ? std::string() : found->second.value;
}

void Platform::GoDown(int stall_ms) {
  {
    const std::lock_guard lock(m_mutex);
    m_stalled = true;
  }
  Sleep(stall_ms);
  {
    const std::lock_guard lock(m_mutex);
    m_down = true;
    ++m_down_count;
  }
  m_server.Close();
  m_changed.notify_all();
}

void Platform::ComeUp() {
  {
    const std::lock_guard lock(m_mutex);
    m_down = m_stalled = false;
  }
  while (!m_server.Listen()) Sleep(10);
}

void Platform::SetCutOff(const std::string& executor, bool cut_off) {
  const std::lock_guard lock(m_mutex);
  if (cut_off) {
    m_cut_off.insert(executor);
  } else {
    m_cut_off.erase(executor);
  }
}

std::optional<HttpResponse> Platform::Handle(const HttpRequest& request) {
  int down_count = 0;
  {
    const std::lock_guard lock(m_mutex);
    if (m_down) return std::nullopt;
    down_count = m_down_count;
  }
  HttpResponse response{.status = 404};
  if (request.path == "/v1/rows-tx") response = Transact(request);
  if (request.path == "/v1/rows-get") response = ReadRows(request);
  if (request.path == "/v1/rows-feed") response = Feed(request);
  if (request.path == "/v1/machines") {
    return Json(200, {{"machines", bj::array()}, {"nextToken", nullptr}});
  }
  if (request.path == "/standin/register") return Register(request);
  std::unique_lock lock(m_mutex);
  while (m_stalled && m_down_count == down_count)
    m_changed.wait_for(lock, std::chrono::milliseconds(5));
  if (m_down_count != down_count) return std::nullopt;
  return response;
}

bj::object Platform::Encode(const Key& key, const StoredRow& row) {
  bj::object encoded{{"tableName", std::get<0>(key)},
                     {"part", std::get<1>(key)},
                     {"key", std::get<2>(key)},
                     {"rowVersion", row.version}};
  if (row.deleted) {
    encoded["deleted"] = true;
  } else {
    encoded["value"] = ToBase64(row.value);
  }
  return encoded;
}

HttpResponse Platform::Transact(const HttpRequest& request) {
  const bj::object body = bj::parse(request.body).as_object();
  const auto key_of = [](const bj::value& row) {
    const bj::object& object = row.as_object();
    return Key{Text(object, "tableName"), Text(object, "part"), Text(object, "key")};
  };
  Sleep(kTransactionMs);
  const std::lock_guard lock(m_mutex);
  std::set<std::string> parts;
  size_t entries = 0;
  for (const char* list : {"expected", "puts", "remove"}) {
    for (const bj::value& row : body.at(list).as_array()) {
      const Key key = key_of(row);
      const std::string& table = std::get<0>(key);
      if (list[0] != 'e' && (table == "op" || table == "servers")) return {.status = 403};
      parts.insert(std::get<1>(key));
      ++entries;
    }
  }
  if (parts.size() > 1 || entries > 100) return {.status = 400};
  bj::array current;
  bool holds = true;
  for (const bj::value& row : body.at("expected").as_array()) {
    const Key key = key_of(row);
    const auto found = m_rows.find(key);
    const bool exists = found != m_rows.end() && !found->second.deleted;
    if (exists) current.push_back(Encode(key, found->second));
    const int64_t version = exists ? found->second.version : 0;
    holds = holds && version == row.at("rowVersion").to_number<int64_t>();
  }
  if (!holds) {
    return Json(412, {{"rows", current}, {"rowVersion", m_version}, {"nowMs", NowMs()}});
  }
  // All rows of a transaction have one version.
  const int64_t before = m_version;
  for (const bj::value& row : body.at("puts").as_array()) {
    m_version = before;
    Store(key_of(row), FromBase64(Text(row.as_object(), "value")), false);
  }
  for (const bj::value& row : body.at("remove").as_array()) {
    m_version = before;
    Store(key_of(row), {}, true);
  }
  m_version = before + 1;
  return Json(200, {{"rowVersion", m_version}, {"nowMs", NowMs()}});
}

HttpResponse Platform::ReadRows(const HttpRequest& request) {
  Sleep(kReadMs);
  const std::lock_guard lock(m_mutex);
  const std::string table = request.Parameter("tableName");
  const std::string part = request.Parameter("part");
  const std::string target = request.Parameter("target");
  bj::array rows;
  bool more = false;
  for (auto row = m_rows.lower_bound({table, part, request.Parameter("from")}); row != m_rows.end();
       ++row) {
    const auto& [row_table, row_part, key] = row->first;
    if (row_table != table || row_part != part || (!target.empty() && key >= target)) break;
    if (row->second.deleted) continue;
    if (rows.size() == kPageRows) {
      more = true;
      break;
    }
    rows.push_back(Encode(row->first, row->second));
  }
  return Json(200, {{"rows", std::move(rows)},
                    {"hasMore", more},
                    {"rowVersion", m_version},
                    {"nowMs", NowMs()}});
}

HttpResponse Platform::Feed(const HttpRequest& request) {
  Sleep(kReadMs);
  const std::string table = request.Parameter("tableName");
  const int64_t after = std::atoll(request.Parameter("after").c_str());
  const int64_t deadline = NowMs() + std::atoll(request.Parameter("waitMs").c_str());
  std::unique_lock lock(m_mutex);
  const int down_count = m_down_count;
  while (true) {
    std::map<int64_t, std::vector<bj::object>> changes;
    for (auto row = m_rows.lower_bound({table, "", ""});
         row != m_rows.end() && std::get<0>(row->first) == table; ++row) {
      if (row->second.version <= after) continue;
      changes[row->second.version].push_back(Encode(row->first, row->second));
    }
    if (!changes.empty() || NowMs() >= deadline || m_down_count != down_count) {
      bj::array rows;
      for (auto& [version, objects] : changes) {
        for (bj::object& object : objects) rows.push_back(std::move(object));
      }
      return Json(200, {{"rows", std::move(rows)}, {"rowVersion", m_version}, {"nowMs", NowMs()}});
    }
    m_changed.wait_for(lock, std::chrono::milliseconds(deadline - NowMs() + 1));
  }
}

HttpResponse Platform::Register(const HttpRequest& request) {
  const std::string id = request.Parameter("id");
  const std::lock_guard lock(m_mutex);
  if (m_cut_off.contains(id)) return {.status = 503};
  m_heard_ms[id] = NowMs();
  Store({"servers", "", id}, request.body, false);
  return {};
}

}  // namespace review
