#ifndef CITRONFERRY_REVIEW_STANDINS_2_STORE_H_
#define CITRONFERRY_REVIEW_STANDINS_2_STORE_H_

#include <boost/json/fwd.hpp>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

#include "http.h"

namespace review {

/// The platform's store with the limits of its settings: 100 entries and 1 MB a transaction,
/// 64 KB a row, 500 rows or 1 MB a read.
class Store {
 public:
  Store();

  std::string address() const { return m_server.address(); }
  /// Writes a row of the platform itself, in the empty partition.
  void Put(const std::string& table, const std::string& key, const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  /// @return the name, of those given, in the newest transaction with a condition that has one of
  ///   them in a row; empty if there is none.
  std::string LastConditionalWriter(const std::vector<std::string>& names) const;
  /// @return the number of transactions that exceeded a limit.
  int rejected() const;

 private:
  using Key = std::tuple<std::string, std::string, std::string>;  // Table, partition, key.
  struct Row {
    std::string value;
    int64_t version = 0;
  };
  struct Change {
    int64_t version = 0;
    Key key;
    std::string value;
    bool removed = false;
  };

  Response Handle(const Request& request);
  Response Get(const Request& request);
  Response Feed(const Request& request);
  Response Parts(const Request& request);
  Response Transact(const Request& request);
  Response Reject(const std::string& reason);
  /// The mutex is held.
  void Apply(const Key& key, const std::string& value, bool removed, int64_t version);
  boost::json::object Describe(const Key& key, const std::string& value, int64_t version) const;

  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<Key, Row> m_rows;
  std::map<std::string, std::vector<Change>> m_changes;  // By table.
  int64_t m_version = 0;
  int m_rejected = 0;
  std::deque<std::string> m_conditional;  // Rows of the newest transactions with a condition.
  Server m_server;
};

}  // namespace review

#endif  // CITRONFERRY_REVIEW_STANDINS_2_STORE_H_
