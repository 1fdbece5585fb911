#include "store.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>
#include <chrono>

#include "record.h"

namespace review {
namespace {

namespace bj = boost::json;
namespace base64 = boost::beast::detail::base64;

constexpr size_t kMaxEntries = 100;
constexpr size_t kMaxCallBytes = 1'000'000;
constexpr size_t kMaxRowBytes = 65536;
constexpr size_t kMaxRows = 500;
constexpr size_t kKeptTransactions = 200;
constexpr int64_t kReadMs = 4;
constexpr int64_t kTransactionMs = 6;

std::string Encode(const std::string& bytes) {
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

std::string Decode(const std::string& text) {
  std::string bytes(base64::decoded_size(text.size()), '\0');
  bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
  return bytes;
}

std::string Text(const bj::object& object, const char* name) {
  const bj::value* value = object.if_contains(name);
  return value && value->is_string() ? std::string(value->as_string().c_str()) : std::string();
}

const bj::array& List(const bj::object& object, const char* name) {
  static const bj::array kEmpty;
  const bj::value* value = object.if_contains(name);
  return value && value->is_array() ? value->get_array() : kEmpty;
}

std::string Query(const Request& request, const char* name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? std::string() : found->second;
}

int64_t Number(const Request& request, const char* name) {
  return std::strtoll(Query(request, name).c_str(), nullptr, 10);
}

}  // namespace

Store::Store() : m_server([this](const Request& request) { return Handle(request); }) {}

int Store::rejected() const {
  const std::lock_guard lock(m_mutex);
  return m_rejected;
}

std::string Store::LastConditionalWriter(const std::vector<std::string>& names) const {
  const std::lock_guard lock(m_mutex);
  for (auto values = m_conditional.rbegin(); values != m_conditional.rend(); ++values) {
    for (const std::string& name : names) {
      if (values->find('"' + name + '"') != std::string::npos) return name;
    }
  }
  return {};
}

void Store::Put(const std::string& table, const std::string& key, const std::string& value) {
  const std::lock_guard lock(m_mutex);
  Apply({table, "", key}, value, false, ++m_version);
  m_changed.notify_all();
}

void Store::Remove(const std::string& table, const std::string& key) {
  const std::lock_guard lock(m_mutex);
  Apply({table, "", key}, "", true, ++m_version);
  m_changed.notify_all();
}

void Store::Apply(const Key& key, const std::string& value, bool removed, int64_t version) {
  if (removed) {
    m_rows.erase(key);
  } else {
    m_rows[key] = {.value = value, .version = version};
  }
  m_changes[std::get<0>(key)].push_back(
      {.version = version, .key = key, .value = value, .removed = removed});
}

bj::object Store::Describe(const Key& key, const std::string& value, int64_t version) const {
  return {{"tableName", std::get<0>(key)},
          {"part", std::get<1>(key)},
          {"key", std::get<2>(key)},
          {"value", Encode(value)},
          {"rowVersion", version}};
}

Response Store::Handle(const Request& request) {
  if (request.path == "/v1/rows-get") return Get(request);
  if (request.path == "/v1/rows-feed") return Feed(request);
  if (request.path == "/v1/rows-parts") return Parts(request);
  if (request.path == "/v1/rows-tx") return Transact(request);
  return {.status = 404, .body = "{}"};
}

Response Store::Get(const Request& request) {
  Sleep(kReadMs);
  const std::string table = Query(request, "tableName");
  const std::string part = Query(request, "part");
  const std::string target = Query(request, "target");
  const int64_t limit = Number(request, "limit");
  const size_t most = limit > 0 ? std::min<size_t>(kMaxRows, limit) : kMaxRows;
  const std::lock_guard lock(m_mutex);
  bj::array rows;
  bool more = false;
  size_t bytes = 0;
  for (auto row = m_rows.lower_bound({table, part, Query(request, "from")}); row != m_rows.end();
       ++row) {
    if (std::get<0>(row->first) != table || std::get<1>(row->first) != part) break;
    if (!target.empty() && std::get<2>(row->first) >= target) break;
    bytes += row->second.value.size();
    if (rows.size() >= most || (!rows.empty() && bytes > kMaxCallBytes)) {
      more = true;
      break;
    }
    rows.push_back(Describe(row->first, row->second.value, row->second.version));
  }
  return {.body = bj::serialize(bj::object{{"rows", std::move(rows)},
                                           {"hasMore", more},
                                           {"rowVersion", m_version},
                                           {"nowMs", NowMs()}})};
}

Response Store::Parts(const Request& request) {
  const std::string table = Query(request, "tableName");
  const std::lock_guard lock(m_mutex);
  bj::array parts;
  for (const auto& [key, row] : m_rows) {
    if (std::get<0>(key) != table) continue;
    const bj::value part(std::get<1>(key));
    if (parts.empty() || parts.back() != part) parts.push_back(part);
  }
  return {.body = bj::serialize(bj::object{{"parts", std::move(parts)},
                                           {"hasMore", false},
                                           {"rowVersion", m_version},
                                           {"nowMs", NowMs()}})};
}

Response Store::Feed(const Request& request) {
  const std::string table = Query(request, "tableName");
  const int64_t after = Number(request, "after");
  const auto wait = std::chrono::milliseconds(Number(request, "waitMs"));
  Sleep(kReadMs);
  std::unique_lock lock(m_mutex);
  m_changed.wait_for(lock, wait, [&] {
    const auto& changes = m_changes[table];
    return !changes.empty() && changes.back().version > after;
  });
  bj::array rows;
  int64_t version = m_version;
  const auto& changes = m_changes[table];
  auto change = std::partition_point(changes.begin(), changes.end(),
                                     [&](const Change& c) { return c.version <= after; });
  for (; change != changes.end(); ++change) {
    // A transaction is returned as a whole.
    if (rows.size() >= kMaxRows && change->version != version) break;
    version = change->version;
    bj::object row = Describe(change->key, change->value, change->version);
    if (change->removed) row["deleted"] = true;
    rows.push_back(std::move(row));
  }
  if (change == changes.end()) version = m_version;
  return {.body = bj::serialize(
              bj::object{{"rows", std::move(rows)}, {"rowVersion", version}, {"nowMs", NowMs()}})};
}

Response Store::Reject(const std::string& reason) {
  if (m_rejected++ < 5) Record("store: transaction rejected, " + reason);
  return {.status = 400, .body = bj::serialize(bj::object{{"error", reason}})};
}

Response Store::Transact(const Request& request) {
  Sleep(kTransactionMs);
  const bj::value body = bj::parse(request.body);
  const bj::object& call = body.as_object();
  const bj::array& expected = List(call, "expected");
  const bj::array& puts = List(call, "puts");
  const bj::array& removals = List(call, "remove");
  const std::lock_guard lock(m_mutex);
  if (expected.size() + puts.size() + removals.size() > kMaxEntries) {
    return Reject("over 100 entries");
  }
  if (request.body.size() > kMaxCallBytes) return Reject("over 1 MB");
  const auto key_of = [](const bj::value& entry) {
    const bj::object& row = entry.as_object();
    return Key{Text(row, "tableName"), Text(row, "part"), Text(row, "key")};
  };
  for (const bj::value& put : puts) {
    const size_t size = Decode(Text(put.as_object(), "value")).size();
    if (size <= kMaxRowBytes) continue;
    return Reject("a row of table " + std::get<0>(key_of(put)) + " has " + std::to_string(size) +
                  " bytes, rowBytes is " + std::to_string(kMaxRowBytes));
  }
  bool met = true;
  bj::array current;
  for (const bj::value& condition : expected) {
    const Key key = key_of(condition);
    const auto row = m_rows.find(key);
    const int64_t version = row == m_rows.end() ? 0 : row->second.version;
    met = met && version == condition.as_object().at("rowVersion").to_number<int64_t>();
    if (version != 0) current.push_back(Describe(key, row->second.value, version));
  }
  if (!met) {
    return {.status = 412,
            .body = bj::serialize(bj::object{
                {"rows", std::move(current)}, {"rowVersion", m_version}, {"nowMs", NowMs()}})};
  }
  const int64_t version = ++m_version;
  for (const bj::value& put : puts) {
    Apply(key_of(put), Decode(Text(put.as_object(), "value")), false, version);
  }
  if (!expected.empty()) {
    std::string values;
    for (const bj::value& put : puts) values += Decode(Text(put.as_object(), "value"));
    m_conditional.push_back(std::move(values));
    if (m_conditional.size() > kKeptTransactions) m_conditional.pop_front();
  }
  for (const bj::value& removal : removals) Apply(key_of(removal), "", true, version);
  m_changed.notify_all();
  return {.body = bj::serialize(bj::object{{"rowVersion", version}, {"nowMs", NowMs()}})};
}

}  // namespace review
