#ifndef CITRONFERRY_STANDINS_PLATFORM_TABLE_STORE_H_
#define CITRONFERRY_STANDINS_PLATFORM_TABLE_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citronferry::standin {

struct StoredRow {
  std::string value;
  uint64_t version = 0;
  uint64_t sequence = 0;
  bool deleted = false;
};

enum class WriteResult { kWritten, kConflict, kNotFound };

/// Tables with conditional writes and a change feed, in memory.
class TableStore {
 public:
  const StoredRow* Find(std::string_view table, std::string_view key) const;
  /// @param expected_version version the row must have; nothing means that it must not exist.
  WriteResult Put(std::string_view table, std::string_view key, std::string value,
                  std::optional<uint64_t> expected_version);
  WriteResult Delete(std::string_view table, std::string_view key, uint64_t expected_version);

  struct Change {
    std::string key;
    StoredRow row;
  };
  /// @return rows of a table that changed after a sequence, oldest first.
  std::vector<Change> Changes(std::string_view table, uint64_t after) const;
  uint64_t last_sequence() const { return m_sequence; }
  uint64_t writes() const { return m_writes; }

 private:
  using Table = std::map<std::string, StoredRow, std::less<>>;
  std::map<std::string, Table, std::less<>> m_tables;
  uint64_t m_sequence = 0;
  uint64_t m_writes = 0;
};

}  // namespace citronferry::standin

#endif  // CITRONFERRY_STANDINS_PLATFORM_TABLE_STORE_H_
