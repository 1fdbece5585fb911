#include "standins/platform/table_store.h"

#include <algorithm>

namespace citronferry::standin {

const StoredRow* TableStore::Find(std::string_view table, std::string_view key) const {
  const auto found_table = m_tables.find(table);
  if (found_table == m_tables.end()) return nullptr;
  const auto found = found_table->second.find(key);
  if (found == found_table->second.end() || found->second.deleted) return nullptr;
  return &found->second;
}

WriteResult TableStore::Put(std::string_view table, std::string_view key, std::string value,
                            std::optional<uint64_t> expected_version) {
  const StoredRow* current = Find(table, key);
  if (!expected_version && current) return WriteResult::kConflict;
  if (expected_version && !current) return WriteResult::kNotFound;
  if (expected_version && current->version != *expected_version) return WriteResult::kConflict;
  // Versions continue after a deletion, so that a version read before it cannot match a row created
  // again.
  StoredRow& row = m_tables[std::string(table)][std::string(key)];
  row = {.value = std::move(value), .version = row.version + 1, .sequence = ++m_sequence};
  ++m_writes;
  return WriteResult::kWritten;
}

WriteResult TableStore::Delete(std::string_view table, std::string_view key,
                               uint64_t expected_version) {
  const StoredRow* current = Find(table, key);
  if (!current) return WriteResult::kNotFound;
  if (current->version != expected_version) return WriteResult::kConflict;
  StoredRow& row = m_tables[std::string(table)][std::string(key)];
  row = {.version = row.version + 1, .sequence = ++m_sequence, .deleted = true};
  ++m_writes;
  return WriteResult::kWritten;
}

std::vector<TableStore::Change> TableStore::Changes(std::string_view table, uint64_t after) const {
  std::vector<Change> changes;
  const auto found = m_tables.find(table);
  if (found == m_tables.end()) return changes;
  for (const auto& [key, row] : found->second) {
    if (row.sequence > after) changes.push_back({.key = key, .row = row});
  }
  std::sort(changes.begin(), changes.end(),
            [](const Change& a, const Change& b) { return a.row.sequence < b.row.sequence; });
  return changes;
}

}  // namespace citronferry::standin
