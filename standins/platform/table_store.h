#ifndef CITRONFERRY_STANDINS_PLATFORM_TABLE_STORE_H_
#define CITRONFERRY_STANDINS_PLATFORM_TABLE_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citronferry::standin {

/// Row of a table. Deleted rows are kept as tombstones.
struct StoredRow {
  std::string value;
  uint64_t version = 0;   ///< Number of writes and deletions of this row.
  uint64_t sequence = 0;  ///< Position of the last change among the changes of all tables.
  bool deleted = false;
};

enum class WriteResult { kWritten, kConflict, kNotFound };

/// In-memory table service with conditional writes and a change feed.
class TableStore {
 public:
  /// @return the row; null if it does not exist or is deleted. Valid until the next write.
  const StoredRow* Find(std::string_view table, std::string_view key) const;
  /// Writes a row if its version matches.
  /// @param expected_version version of the existing row; without one, the row must not exist.
  WriteResult Put(std::string_view table, std::string_view key, std::string value,
                  std::optional<uint64_t> expected_version);
  /// Deletes a row if its version matches.
  WriteResult Delete(std::string_view table, std::string_view key, uint64_t expected_version);

  /// Latest state of a changed row.
  struct Change {
    std::string key;
    StoredRow row;
  };
  /// @return the rows of a table with a sequence greater than `after`, in ascending order.
  std::vector<Change> Changes(std::string_view table, uint64_t after) const;
  uint64_t last_sequence() const { return m_sequence; }
  /// @return the number of successful writes and deletions.
  uint64_t writes() const { return m_writes; }

 private:
  using Table = std::map<std::string, StoredRow, std::less<>>;
  std::map<std::string, Table, std::less<>> m_tables;
  uint64_t m_sequence = 0;
  uint64_t m_writes = 0;
};

}  // namespace citronferry::standin

#endif  // CITRONFERRY_STANDINS_PLATFORM_TABLE_STORE_H_
