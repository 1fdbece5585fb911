// Stand-ins of the third review: the platform (store, list of machines, adviser, executors) in
// one process, and a client. They speak what PROTOCOL.md describes and behave soundly.
//
//   standin base                            prints a free loopback prefix such as 127.81.7
//   standin platform SETUP.json RECORD      runs until SIGTERM
//   standin call METHOD IP PORT HOST PATH [BODY-FILE [TIMEOUT-MS]]    prints "STATUS BODY"
//
// The spec of a task is "FIRST-MS MS": how long a task of occurrence 0 and of any other
// occurrence works; a negative figure means that it lasts.

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <boost/json/src.hpp>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <queue>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace bj = boost::json;
using asio::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
using SteadyClock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

constexpr uint16_t kStorePort = 8621;
constexpr uint16_t kMachinesPort = 8631;
constexpr uint16_t kAdvicePort = 8641;
constexpr uint16_t kExecutorPort = 8080;
constexpr int64_t kHeartbeatMs = 1500;
constexpr int64_t kTransactionMs = 6;
constexpr int64_t kReadMs = 4;
constexpr int64_t kMaxHoldMs = 10000;
constexpr int64_t kStopMs = 50;
constexpr size_t kMaxListedEnds = 500;
constexpr uint16_t kControlPort = 8651;
// Closes the connection.
constexpr int kNoAnswer = -1;

int64_t SteadyMs() {
  return std::chrono::duration_cast<Millis>(SteadyClock::now().time_since_epoch()).count();
}

int64_t UnixMs() {
  return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void Sleep(int64_t ms) { std::this_thread::sleep_for(Millis(ms)); }

std::string Encode64(const std::string& text) {
  constexpr const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t at = 0; at < text.size(); at += 3) {
    const size_t count = std::min<size_t>(3, text.size() - at);
    uint32_t bits = 0;
    for (size_t i = 0; i < 3; ++i) {
      bits = bits << 8U | (i < count ? static_cast<unsigned char>(text[at + i]) : 0U);
    }
    for (size_t i = 0; i < 4; ++i) {
      out += i <= count ? kDigits[bits >> (18U - 6U * i) & 63U] : '=';
    }
  }
  return out;
}

std::string Text(const bj::object& from, const char* name) {
  const bj::value* value = from.if_contains(name);
  return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

int64_t Number(const bj::object& from, const char* name, int64_t absent = 0) {
  const bj::value* value = from.if_contains(name);
  if (!value || !value->is_number()) return absent;
  return value->is_double() ? static_cast<int64_t>(value->as_double())
                            : value->to_number<int64_t>();
}

bj::array List(const bj::object& from, const char* name) {
  const bj::value* value = from.if_contains(name);
  return value && value->is_array() ? value->as_array() : bj::array();
}

// Lines "UNIX-MS WHAT" of what the stand-ins have seen.
class Record {
 public:
  explicit Record(const std::string& path) : m_file(path, std::ios::app) {}
  void Add(const std::string& line) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_file << UnixMs() << ' ' << line << '\n' << std::flush;
  }

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
};

struct Answer {
  int status = 200;
  std::string body;
  std::string instance;
};

Answer JsonAnswer(const bj::value& body, int status = 200) {
  return {status, bj::serialize(body), {}};
}

using Handler = std::function<Answer(const Request&)>;

// Serves one connection in a thread of its own until the peer closes it.
void ServeConnection(tcp::socket socket, const Handler& handler) {
  beast::error_code error;
  socket.set_option(tcp::no_delay(true), error);
  beast::flat_buffer buffer;
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(64UL << 20U);
    http::read(socket, buffer, parser, error);
    if (error) break;
    const Request request = parser.release();
    const Answer answer = handler(request);
    if (answer.status == kNoAnswer) break;
    Response response(static_cast<http::status>(answer.status), request.version());
    response.set(http::field::content_type, "application/json");
    if (!answer.instance.empty()) response.set("X-Instance-Id", answer.instance);
    response.body() = answer.body;
    response.keep_alive(request.keep_alive());
    response.prepare_payload();
    http::write(socket, response, error);
    if (error || !request.keep_alive()) break;
  }
  socket.shutdown(tcp::socket::shutdown_both, error);
}

void Listen(const std::string& ip, uint16_t port, const Handler& handler) {
  std::thread([ip, port, handler] {
    asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address(ip), port));
    for (;;) {
      beast::error_code error;
      tcp::socket socket = acceptor.accept(error);
      if (error) continue;
      // The context lives as long as the process, so sockets may outlast this loop.
      std::thread(ServeConnection, std::move(socket), handler).detach();
    }
  }).detach();
}

std::map<std::string, std::string> Query(const std::string& target) {
  std::map<std::string, std::string> fields;
  const size_t mark = target.find('?');
  if (mark == std::string::npos) return fields;
  std::istringstream stream(target.substr(mark + 1));
  std::string item;
  while (std::getline(stream, item, '&')) {
    const size_t equals = item.find('=');
    std::string value;
    if (equals != std::string::npos) {
      for (size_t i = equals + 1; i < item.size(); ++i) {
        if (item[i] == '%' && i + 2 < item.size()) {
          value += static_cast<char>(std::stoi(item.substr(i + 1, 2), nullptr, 16));
          i += 2;
        } else {
          value += item[i] == '+' ? ' ' : item[i];
        }
      }
    }
    fields[item.substr(0, equals)] = value;
  }
  return fields;
}

std::string PathOf(const Request& request) {
  const std::string target(request.target());
  return target.substr(0, target.find('?'));
}

// The platform's metadata store.
class Store {
 public:
  Answer Handle(const Request& request) {
    const std::string path = PathOf(request);
    const auto query = Query(std::string(request.target()));
    if (path == "/v1/rows-tx") return Transact(request);
    if (path == "/v1/rows-get") return Get(query);
    if (path == "/v1/rows-parts") return Parts(query);
    if (path == "/v1/rows-feed") return Feed(query);
    return Blob(request, path, query);
  }

  void Put(const std::string& table, const std::string& key, const std::string& text) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_version;
    Change({table, "", key}, Encode64(text));
    m_changed.notify_all();
  }

 private:
  using Key = std::array<std::string, 3>;  // table, part, key
  struct Row {
    std::string value;
    int64_t version = 0;
  };
  struct Event {
    int64_t version = 0;
    int64_t at_ms = 0;
    Key key;
    std::optional<std::string> value;
  };

  static bj::object Describe(const Key& key) {
    return {{"tableName", key[0]}, {"part", key[1]}, {"key", key[2]}};
  }

  static bj::object Describe(const Key& key, const Row& row) {
    bj::object object = Describe(key);
    object["value"] = row.value;
    object["rowVersion"] = row.version;
    return object;
  }

  static std::string Field(const std::map<std::string, std::string>& query, const char* name) {
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
  }

  static int64_t Field(const std::map<std::string, std::string>& query, const char* name,
                       int64_t absent) {
    const std::string text = Field(query, name);
    return text.empty() ? absent : std::stoll(text);
  }

  void Change(const Key& key, const std::optional<std::string>& value) {
    if (value) {
      m_rows[key] = Row{*value, m_version};
    } else {
      m_rows.erase(key);
    }
    m_events.push_back({m_version, SteadyMs(), key, value});
    while (!m_events.empty() && m_events.front().at_ms < SteadyMs() - 20000) {
      m_forgotten = m_events.front().version;
      m_events.pop_front();
    }
  }

  Answer Transact(const Request& request) {
    Sleep(kTransactionMs);
    beast::error_code error;
    const bj::value parsed = bj::parse(request.body(), error);
    if (error || !parsed.is_object() || request.body().size() > (1UL << 20U)) return {400, "", {}};
    const bj::object& body = parsed.as_object();
    const bj::array expected = List(body, "expected");
    const bj::array puts = List(body, "puts");
    const bj::array removed = List(body, "remove");
    const auto key_of = [](const bj::value& row) {
      const bj::object& object = row.as_object();
      return Key{Text(object, "tableName"), Text(object, "part"), Text(object, "key")};
    };
    if (expected.size() + puts.size() + removed.size() > 100) return {400, "", {}};
    for (const bj::array* rows : {&puts, &removed}) {
      for (const bj::value& row : *rows) {
        const std::string table = key_of(row)[0];
        if (table == "op" || table == "servers") return {403, "", {}};
      }
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    bool holds = true;
    bj::array current;
    for (const bj::value& row : expected) {
      const Key key = key_of(row);
      const auto found = m_rows.find(key);
      const int64_t version = found == m_rows.end() ? 0 : found->second.version;
      holds = holds && version == Number(row.as_object(), "rowVersion");
      if (found != m_rows.end()) current.push_back(Describe(key, found->second));
    }
    bj::object answer{{"nowMs", SteadyMs()}};
    if (!holds) {
      answer["rowVersion"] = m_version;
      answer["rows"] = current;
      return JsonAnswer(answer, 412);
    }
    ++m_version;
    for (const bj::value& row : puts) Change(key_of(row), Text(row.as_object(), "value"));
    for (const bj::value& row : removed) Change(key_of(row), std::nullopt);
    m_changed.notify_all();
    answer["rowVersion"] = m_version;
    return JsonAnswer(answer);
  }

  Answer Get(const std::map<std::string, std::string>& query) {
    Sleep(kReadMs);
    const std::string table = Field(query, "tableName");
    const std::string part = Field(query, "part");
    const std::string to = Field(query, "target");
    const size_t limit = static_cast<size_t>(std::min<int64_t>(Field(query, "limit", 500), 500));
    const std::lock_guard<std::mutex> lock(m_mutex);
    bj::array rows;
    size_t bytes = 0;
    bool more = false;
    for (auto row = m_rows.lower_bound({table, part, Field(query, "from")}); row != m_rows.end();
         ++row) {
      if (row->first[0] != table || row->first[1] != part) break;
      if (!to.empty() && row->first[2] >= to) break;
      if (rows.size() >= limit || (bytes > 0 && bytes + row->second.value.size() > (1UL << 20U))) {
        more = true;
        break;
      }
      bytes += row->second.value.size();
      rows.push_back(Describe(row->first, row->second));
    }
    return JsonAnswer(bj::object{{"rows", std::move(rows)},
                                 {"hasMore", more},
                                 {"rowVersion", m_version},
                                 {"nowMs", SteadyMs()}});
  }

  Answer Parts(const std::map<std::string, std::string>& query) {
    Sleep(kReadMs);
    const std::string table = Field(query, "tableName");
    const std::string after = Field(query, "after");
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<std::string> parts;
    for (const auto& [key, row] : m_rows) {
      if (key[0] != table || key[1] <= after || (!parts.empty() && parts.back() == key[1]))
        continue;
      parts.push_back(key[1]);
    }
    const bool more = parts.size() > 1000;
    if (more) parts.resize(1000);
    bj::array names;
    for (const std::string& name : parts) names.emplace_back(name);
    return JsonAnswer(bj::object{{"parts", std::move(names)},
                                 {"hasMore", more},
                                 {"rowVersion", m_version},
                                 {"nowMs", SteadyMs()}});
  }

  Answer Feed(const std::map<std::string, std::string>& query) {
    const std::string table = Field(query, "tableName");
    const int64_t after = Field(query, "after", 0);
    const auto until =
        SteadyClock::now() + Millis(std::min<int64_t>(Field(query, "waitMs", 0), 30000));
    std::unique_lock<std::mutex> lock(m_mutex);
    for (;;) {
      if (after < m_forgotten) return {410, "{}", {}};
      bj::array rows;
      int64_t reached = m_version;
      size_t bytes = 0;
      for (auto event = std::lower_bound(
               m_events.begin(), m_events.end(), after + 1,
               [](const Event&left, int64_t version) { return left.version < version; });
           event != m_events.end(); ++event) {
        // An answer ends only between two transactions.
        if (bytes > (1UL << 20U) && event->version != reached) break;
        if (bytes > (1UL << 20U) || event->key[0] == table) reached = event->version;
        if (event->key[0] != table) continue;
        bj::object row = Describe(event->key);
        row["rowVersion"] = event->version;
        if (event->value) {
          row["value"] = *event->value;
          bytes += event->value->size();
        } else {
          row["deleted"] = true;
        }
        rows.push_back(std::move(row));
      }
      if (bytes <= (1UL << 20U)) reached = m_version;
      if (!rows.empty() || SteadyClock::now() >= until) {
        return JsonAnswer(
            bj::object{{"rows", std::move(rows)}, {"rowVersion", reached}, {"nowMs", SteadyMs()}});
      }
      m_changed.wait_until(lock, until);
    }
  }

  Answer Blob(const Request& request, const std::string& path,
              const std::map<std::string, std::string>& query) {
    Sleep(25);
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::string name = path.substr(path.find_last_of('/') + 1);
    if (path.rfind("/v1/blob-put/", 0) == 0) {
      if (request["If-None-Match"] == "*" && m_blobs.count(name) > 0) return {412, "", {}};
      m_blobs[name] = request.body();
      return {200, "{}", {}};
    }
    if (path.rfind("/v1/blob-get/", 0) == 0) {
      const auto found = m_blobs.find(name);
      return found == m_blobs.end() ? Answer{404, "", {}} : Answer{200, found->second, {}};
    }
    if (path.rfind("/v1/blob-drop/", 0) == 0) {
      m_blobs.erase(name);
      return {200, "{}", {}};
    }
    if (path != "/v1/blob-list") return {404, "", {}};
    bj::array names;
    for (const auto& [key, bytes] : m_blobs) {
      if (key.rfind(Field(query, "pathPrefix"), 0) == 0 && key > Field(query, "after")) {
        names.emplace_back(key);
      }
    }
    return JsonAnswer(bj::object{{"names", std::move(names)}, {"hasMore", false}});
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<Key, Row> m_rows;
  std::deque<Event> m_events;
  int64_t m_version = 0;
  int64_t m_forgotten = 0;
  std::map<std::string, std::string> m_blobs;
};

struct Need {
  int64_t cpu = 0;
  int64_t mem_mb = 0;
};

// What each task of the jobs that the script submits asks for: a step's figures aren't part of an
// order, so the executors that guard their capacity know them from here.
using Needs = std::map<std::string, Need>;

// One executor in its only life. It guards its capacity.
class Executor {
 public:
  Executor(std::string id, std::string ip, const bj::object& pool, size_t index, Record& record)
      : m_id(std::move(id)),
        m_ip(std::move(ip)),
        m_pool(Text(pool, "name")),
        m_kind(Text(pool, "kind")),
        m_rack("r" + std::to_string(index / 4)),
        m_cores(Number(pool, "cores", 64)),
        m_needs_ticket(Number(pool, "tickets") > 0),
        m_record(record) {}

  const std::string& id() const { return m_id; }
  const std::string& kind() const { return m_kind; }

  // The process crashes. What ran there is gone.
  void Crash() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_down = true;
    m_record.Add("crash " + m_id);
    for (const auto& [task, run] : m_active) {
      m_record.Add("end " + task + " run " + std::to_string(run.run) + " on " + m_id + " crash");
    }
    m_active.clear();
    m_ends.clear();
    m_ended.clear();
    m_finished.clear();
    m_needs.clear();
    m_used = Need();
    m_token = m_deadline = m_last_end = 0;
    m_listed.notify_all();
  }

  // It starts again under its id, as another kind, and knows nothing of before.
  void Restart(const std::string& kind) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_down = false;
    m_kind = kind;
    m_started = SteadyMs();
    m_born = UnixMs();
    m_record.Add("restart " + m_id + " as kind " + kind);
  }

  // Until it registers, it writes nothing.
  void SetRegistered(bool registered) { m_registered = registered; }
  bool registered() const { return m_registered; }

  bool down() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_down;
  }

  void Start() {
    Listen(m_ip, kExecutorPort, [this](const Request& request) {
      Answer answer = Handle(request);
      answer.instance = m_id;
      return answer;
    });
    std::thread([this] { Work(); }).detach();
  }

  bj::object Capacity() const {
    return {{"cpu", m_cores * 1000}, {"memMb", m_cores * 4096}, {"gpus", 0}};
  }

  std::string Beat(int64_t number) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return bj::serialize(bj::object{{"backend", m_pool},
                                    {"address", m_ip + ":" + std::to_string(kExecutorPort)},
                                    {"zone", "zone-a"},
                                    {"version", "v1"},
                                    {"slots", 8},
                                    {"state", "ready"},
                                    {"coldLeftMs", 0},
                                    {"capacity", Capacity()},
                                    {"labels", bj::array{m_kind, m_rack}},
                                    {"clockMs", ClockMs()},
                                    {"born", m_born},
                                    {"seqNo", number}});
  }

  bj::object Machine() const {
    return {{"machineId", "m-" + m_id},
            {"pool", m_pool},
            {"state", "up"},
            {"zone", "zone-a"},
            {"capacity", Capacity()},
            {"labels", bj::array{m_kind, m_rack}},
            {"id", m_id}};
  }

 private:
  struct Run {
    int64_t run = 0;
    std::optional<int64_t> ends_ms;
    std::string how = "done";
  };
  struct End {
    int64_t number = 0;
    std::string task;
    int64_t run = 0;
    std::string how;
  };

  int64_t ClockMs() const { return SteadyMs() - m_started; }

  Answer Refuse(const char* reason) const {
    return JsonAnswer(bj::object{{"clockMs", ClockMs()}, {"reason", reason}}, 409);
  }

  Answer Handle(const Request& request) {
    const std::string path = PathOf(request);
    if (down()) return {kNoAnswer, "", {}};
    if (path == "/health") return {200, "", {}};
    const auto expected = request["X-Expect-Instance"];
    if (!expected.empty() && expected != m_id) return {421, "{}", {}};
    beast::error_code error;
    const bj::value parsed = bj::parse(request.body(), error);
    if (error || !parsed.is_object()) return {400, "{}", {}};
    const bj::object& body = parsed.as_object();
    std::unique_lock<std::mutex> lock(m_mutex);
    const int64_t token = Number(body, "fencingToken");
    if (token < m_token) return Refuse("fence");
    m_token = token;
    if (path == "/v1/run-start") return StartRun(body);
    if (path == "/v1/run-stop") return StopRun(body);
    if (path == "/v1/hold") return Hold(body, lock);
    if (path == "/v1/pace") return JsonAnswer(bj::object{{"clockMs", ClockMs()}});
    return {404, "{}", {}};
  }

  void Extend(const bj::object& body) {
    const int64_t deadline = Number(body, "deadlineMs");
    m_deadline = std::max(m_deadline, std::min(deadline, ClockMs() + kMaxHoldMs));
  }

  Answer StartRun(const bj::object& body) {
    const std::string task = Text(body, "task");
    const int64_t run = Number(body, "runId");
    const auto active = m_active.find(task);
    if (active != m_active.end() && active->second.run == run) {
      Extend(body);
      return JsonAnswer(bj::object{{"clockMs", ClockMs()}});
    }
    const auto ended = m_ended.find(task);
    if (active != m_active.end() || (ended != m_ended.end() && run <= ended->second)) {
      Extend(body);
      return Refuse("old");
    }
    if (Number(body, "deadlineMs") <= ClockMs()) return Refuse("late");
    if (m_needs_ticket && Text(body, "ticket") != "t-" + m_id) return Refuse("ticket");
    const std::string spec = Text(body, "spec");
    std::istringstream figures(spec);
    int64_t first_ms = 0;
    int64_t ms = 0;
    Need need{1000, 16};
    figures >> first_ms >> ms >> need.cpu >> need.mem_mb;
    if (m_used.cpu + need.cpu > m_cores * 1000 || m_used.mem_mb + need.mem_mb > m_cores * 4096) {
      Extend(body);
      return Refuse("room");
    }
    Extend(body);
    const int64_t length = task.find(".0.", 16) == 16 ? first_ms : ms;
    Run started{run, std::nullopt, "done"};
    if (length >= 0) {
      started.ends_ms = ClockMs() + length;
      m_ends.emplace(*started.ends_ms, task);
    }
    m_active[task] = started;
    m_needs[task] = need;
    m_used.cpu += need.cpu;
    m_used.mem_mb += need.mem_mb;
    m_record.Add("start " + task + " run " + std::to_string(run) + " on " + m_id + " token " +
                 std::to_string(m_token));
    m_change.notify_all();
    return JsonAnswer(bj::object{{"clockMs", ClockMs()}});
  }

  Answer StopRun(const bj::object& body) {
    const std::string task = Text(body, "task");
    const int64_t run = Number(body, "runId");
    const auto active = m_active.find(task);
    if (active != m_active.end() && active->second.run <= run) {
      active->second.ends_ms = ClockMs() + kStopMs;
      active->second.how = "stopped";
      m_ends.emplace(*active->second.ends_ms, task);
      m_change.notify_all();
    }
    m_ended[task] = std::max(m_ended[task], run);
    return JsonAnswer(bj::object{{"clockMs", ClockMs()}});
  }

  Answer Hold(const bj::object& body, std::unique_lock<std::mutex>& lock) {
    if (Number(body, "deadlineMs") > 0) Extend(body);
    const int64_t seen = Number(body, "lastSeen");
    while (!m_finished.empty() && m_finished.front().number <= seen) {
      const End& end = m_finished.front();
      m_record.Add("noted " + end.task + " run " + std::to_string(end.run) + " " + end.how);
      m_finished.pop_front();
    }
    m_change.notify_all();
    const auto until = SteadyClock::now() + Millis(std::min<int64_t>(Number(body, "waitMs"), 2000));
    const int64_t life = m_born;
    while (m_finished.empty() && !m_down && SteadyClock::now() < until) {
      m_listed.wait_until(lock, until);
    }
    if (m_down || m_born != life) return {kNoAnswer, "", {}};
    bj::array active;
    for (const auto& [task, run] : m_active) active.push_back(bj::array{task, run.run, "", 100, 0});
    bj::array finished;
    for (const End& end : m_finished) {
      if (finished.size() >= kMaxListedEnds) break;
      finished.push_back(bj::array{end.number, end.task, end.run, end.how, ""});
    }
    return JsonAnswer(bj::object{{"clockMs", ClockMs()},
                                 {"born", m_born},
                                 {"active", std::move(active)},
                                 {"finished", std::move(finished)}});
  }

  void Finish(const std::string& task, const Run& run, const std::string& how) {
    m_finished.push_back({++m_last_end, task, run.run, how});
    m_ended[task] = std::max(m_ended[task], run.run);
    m_used.cpu -= m_needs[task].cpu;
    m_used.mem_mb -= m_needs[task].mem_mb;
    m_needs.erase(task);
    m_record.Add("end " + task + " run " + std::to_string(run.run) + " on " + m_id + " " + how);
    m_listed.notify_all();
  }

  // Ends runs when their time has come or the lease has lapsed.
  void Work() {
    std::unique_lock<std::mutex> lock(m_mutex);
    for (;;) {
      const int64_t now = ClockMs();
      if (!m_active.empty() && now >= m_deadline) {
        for (const auto& [task, run] : m_active) Finish(task, run, "lapsed");
        m_active.clear();
        m_ends.clear();
      }
      while (!m_ends.empty() && m_ends.begin()->first <= now) {
        const auto [at, task] = *m_ends.begin();
        m_ends.erase(m_ends.begin());
        const auto active = m_active.find(task);
        if (active == m_active.end() || active->second.ends_ms != at) continue;
        const Run run = active->second;
        m_active.erase(active);
        Finish(task, run, run.how);
      }
      int64_t next = now + 1000;
      if (!m_active.empty()) next = std::min(next, m_deadline);
      if (!m_ends.empty()) next = std::min(next, m_ends.begin()->first);
      m_change.wait_for(lock, Millis(std::max<int64_t>(1, next - now)));
    }
  }

  const std::string m_id;
  const std::string m_ip;
  const std::string m_pool;
  std::string m_kind;
  const std::string m_rack;
  const int64_t m_cores;
  const bool m_needs_ticket;
  int64_t m_started = SteadyMs() - 1000;
  int64_t m_born = UnixMs() - 1000;
  Record& m_record;
  std::mutex m_mutex;
  std::condition_variable m_change;
  std::condition_variable m_listed;
  std::atomic<bool> m_registered = true;
  bool m_down = false;
  int64_t m_token = 0;
  int64_t m_deadline = 0;
  int64_t m_last_end = 0;
  Need m_used;
  Needs m_needs;
  std::map<std::string, Run> m_active;
  std::multimap<int64_t, std::string> m_ends;
  std::map<std::string, int64_t> m_ended;
  std::deque<End> m_finished;
};

// The service that knows which executors the policy of a queue allows.
class Adviser {
 public:
  Adviser(const bj::object& setup, const std::map<std::string, std::string>& kinds, Record& record)
      : m_allowed(Text(setup, "kind")),
        m_decision_ms(Number(setup, "decisionMs")),
        m_period_ms(Number(setup, "periodMs")),
        m_valid_ms(Number(setup, "validMs")),
        m_kinds(kinds),
        m_record(record) {}

  Answer Handle(const Request& request) {
    beast::error_code error;
    const bj::value parsed = bj::parse(request.body(), error);
    if (error || !parsed.is_object()) return {400, "{}", {}};
    const bj::array workers = List(parsed.as_object(), "workers");
    if (workers.size() > 100) return {400, "{}", {}};
    Sleep(m_decision_ms + m_period_ms * static_cast<int64_t>(workers.size()));
    bj::array allowed;
    for (const bj::value& worker : workers) {
      const std::string id(worker.as_string());
      const auto found = m_kinds.find(id);
      if (found == m_kinds.end() || found->second != m_allowed) continue;
      allowed.push_back(bj::array{id, "t-" + id});
    }
    m_record.Add("advice on " + Text(parsed.as_object(), "stepId") + " asked " +
                 std::to_string(workers.size()) + " allowed " + std::to_string(allowed.size()));
    return JsonAnswer(bj::object{{"allowed", std::move(allowed)}, {"validMs", m_valid_ms}});
  }

 private:
  const std::string m_allowed;
  const int64_t m_decision_ms;
  const int64_t m_period_ms;
  const int64_t m_valid_ms;
  const std::map<std::string, std::string> m_kinds;
  Record& m_record;
};

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

int RunPlatform(const std::string& setup_path, const std::string& record_path) {
  sigset_t stop;
  sigemptyset(&stop);
  sigaddset(&stop, SIGTERM);
  sigaddset(&stop, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop, nullptr);
  const bj::value parsed = bj::parse(ReadFile(setup_path));
  const bj::object& setup = parsed.as_object();
  const std::string prefix = Text(setup, "prefix");
  Record record(record_path);
  Store store;
  std::vector<std::unique_ptr<Executor>> executors;
  std::map<std::string, std::string> kinds;
  for (const bj::value& pool : List(setup, "pools")) {
    for (int64_t i = 0; i < Number(pool.as_object(), "count"); ++i) {
      const size_t index = executors.size();
      executors.push_back(std::make_unique<Executor>("i-" + std::to_string(100 + index),
                                                     prefix + "." + std::to_string(20 + index),
                                                     pool.as_object(), index, record));
      kinds[executors.back()->id()] = executors.back()->kind();
    }
  }
  store.Put("op", "config", bj::serialize(setup.at("config")));
  for (const auto& executor : executors) {
    executor->Start();
    store.Put("servers", executor->id(), executor->Beat(1));
  }
  const std::string ip = prefix + ".200";
  Listen(ip, kStorePort, [&store](const Request& request) { return store.Handle(request); });
  Listen(ip, kMachinesPort, [&executors](const Request& request) -> Answer {
    Sleep(kReadMs);
    if (PathOf(request) != "/v1/machines") return {503, "{}", {}};
    bj::array machines;
    for (const auto& executor : executors) machines.push_back(executor->Machine());
    return JsonAnswer(bj::object{{"machines", std::move(machines)}, {"nextToken", nullptr}});
  });
  std::optional<Adviser> adviser;
  if (setup.contains("advice")) {
    adviser.emplace(setup.at("advice").as_object(), kinds, record);
    Listen(ip, kAdvicePort,
           [&adviser](const Request& request) { return adviser->Handle(request); });
  }
  std::thread([&executors, &store] {
    for (int64_t number = 2;; ++number) {
      Sleep(kHeartbeatMs);
      for (const auto& executor : executors) {
        if (executor->registered()) {
          store.Put("servers", executor->id(), executor->Beat(number));
        }
      }
    }
  }).detach();
  // Restarts an executor: it is down for downMs, then its port is open, and after registerMs more
  // it registers.
  Listen(ip, kControlPort, [&executors, &store](const Request& request) -> Answer {
    auto query = Query(std::string(request.target()));
    Executor& executor = *executors.at(std::stoul(query["executor"]));
    executor.SetRegistered(false);
    executor.Crash();
    Sleep(std::stoll(query["downMs"]));
    executor.Restart(query["kind"]);
    Sleep(std::stoll(query["registerMs"]));
    store.Put("servers", executor.id(), executor.Beat(1));
    executor.SetRegistered(true);
    return {200, "{}", {}};
  });
  int signal = 0;
  sigwait(&stop, &signal);
  std::fflush(nullptr);
  std::_Exit(0);
}

// Prints the status and the body; status 0 if there was no complete answer in time.
int Call(const std::vector<std::string>& words) {
  const auto word = [&words](size_t at) { return at < words.size() ? words[at] : std::string(); };
  const int64_t timeout_ms = word(6).empty() ? 3000 : std::stoll(word(6));
  Request request(http::string_to_verb(word(0)), word(4), 11);
  request.set(http::field::host, word(3));
  request.set("X-Request-Deadline", std::to_string(timeout_ms));
  request.keep_alive(false);
  if (!word(5).empty() && word(5) != "-") {
    request.set(http::field::content_type, "application/json");
    request.body() = ReadFile(word(5));
  }
  request.prepare_payload();
  asio::io_context context;
  beast::tcp_stream stream(context);
  beast::flat_buffer buffer;
  Response response;
  bool answered = false;
  stream.expires_after(Millis(timeout_ms));
  const auto port = static_cast<uint16_t>(std::stoi(word(2)));
  stream.async_connect(
      tcp::endpoint(asio::ip::make_address(word(1)), port), [&](beast::error_code connected) {
        if (connected) return;
        http::async_write(stream, request, [&](beast::error_code written, size_t) {
          if (written) return;
          http::async_read(stream, buffer, response,
                           [&](beast::error_code read, size_t) { answered = !read; });
        });
      });
  context.run();
  if (answered) {
    std::cout << response.result_int() << ' ' << response.body() << '\n';
  } else {
    std::cout << "0\n";
  }
  return 0;
}

// A prefix of three numbers at whose address 1 the ports of an entry are free.
int PrintBase() {
  std::random_device random;
  for (int attempt = 0; attempt < 100; ++attempt) {
    const std::string prefix =
        "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250);
    asio::io_context context;
    bool taken = false;
    for (const uint16_t port : {kStorePort, kMachinesPort, kAdvicePort, kExecutorPort}) {
      beast::error_code error;
      tcp::acceptor acceptor(context);
      const tcp::endpoint endpoint(asio::ip::make_address(prefix + ".200"), port);
      acceptor.open(endpoint.protocol(), error);
      acceptor.bind(endpoint, error);
      taken = taken || error;
    }
    if (taken) continue;
    std::cout << prefix << '\n';
    return 0;
  }
  return 2;
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  if (words.size() == 1 && words[0] == "base") return PrintBase();
  if (words.size() == 3 && words[0] == "platform") return RunPlatform(words[1], words[2]);
  if (words.size() >= 6 && words[0] == "call") return Call({words.begin() + 1, words.end()});
  std::cerr << "usage: standin base | platform SETUP RECORD | call METHOD IP PORT HOST PATH\n";
  return 2;
}
