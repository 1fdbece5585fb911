#ifndef REVIEW_STANDINS_PLATFORM_H_
#define REVIEW_STANDINS_PLATFORM_H_

#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "http.h"

namespace review {

/// Milliseconds of the steady clock.
int64_t NowMs();

/// Appends a line to the record of the case. Each process of the case appends to the same file.
class Record {
 public:
  /// @param started_ms time of NowMs at which the case began.
  Record(const std::string& path, int64_t started_ms, std::string source);
  void Write(const std::string& text) const;

 private:
  int m_file;
  int64_t m_started_ms;
  std::string m_source;
};

/// The platform's store, with its registry of executors.
class Platform {
 public:
  Platform(std::string ip, int port, const Record& record);

  bool Listen() { return m_server.Listen(); }
  /// Writes a row as the operator or an executor does.
  void Put(const std::string& table, const std::string& key, const std::string& value);
  /// @return the value of a row, or an empty string.
  std::string Get(const std::string& table, const std::string& part, const std::string& key);

  /// The store goes down for a time: calls that it has received take effect, but are not answered,
  /// all connections end, and new ones are refused.
  /// @param stall_ms for this long before, the store has taken calls without answering.
  void GoDown(int stall_ms);
  void ComeUp();
  /// Ignores what an executor writes, as if it were cut off.
  void SetCutOff(const std::string& executor, bool cut_off);

 private:
  using Key = std::tuple<std::string, std::string, std::string>;  // Table, part, key.
  struct StoredRow {
    std::string value;
    int64_t version = 0;
    bool deleted = false;
  };

  std::optional<HttpResponse> Handle(const HttpRequest& request);
  HttpResponse Transact(const HttpRequest& request);
  HttpResponse ReadRows(const HttpRequest& request);
  HttpResponse Feed(const HttpRequest& request);
  HttpResponse Register(const HttpRequest& request);
  void Store(const Key& key, const std::string& value, bool deleted);
  static boost::json::object Encode(const Key& key, const StoredRow& row);

  const Record& m_record;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<Key, StoredRow> m_rows;
  int64_t m_version = 0;
  bool m_stalled = false;
  bool m_down = false;
  int m_down_count = 0;
  std::set<std::string> m_cut_off;
  std::map<std::string, int64_t> m_heard_ms;  // Of executors, when they last wrote.
  HttpServer m_server;
};

}  // namespace review

#endif  // REVIEW_STANDINS_PLATFORM_H_
