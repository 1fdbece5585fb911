#ifndef CITRONFERRY_PROVIDER_TESTING_FAKE_TABLE_SERVICE_H_
#define CITRONFERRY_PROVIDER_TESTING_FAKE_TABLE_SERVICE_H_

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "provider/table_service.h"

namespace citronferry::provider {

/// In-memory table service for tests, with fault injection. Calls complete without suspending.
class FakeTableService : public TableService {
 public:
  // Injected faults.
  bool outage = false;     ///< Every call returns kUnavailable.
  int lost_responses = 0;  ///< Number of next writes that take effect but return kUnknownOutcome.
  int conflicts = 0;       ///< Number of next writes that return kConflict without effect.
  /// Called before each conditional write, so that a test can interleave another writer or a pause.
  std::function<void(const RowKey&)> before_write;

  int reads() const { return m_reads; }
  int writes() const { return m_writes; }

  /// @return the value of a row, or nothing if it does not exist.
  std::optional<std::string> Value(const RowKey& key) const {
    const auto found = m_rows.find(key);
    if (found == m_rows.end() || found->second.deleted) return std::nullopt;
    return found->second.value;
  }
  /// Writes a row unconditionally, as an operator does.
  void Put(const RowKey& key, std::string value) { Store(key, std::move(value), false); }
  /// Deletes a row unconditionally.
  void Remove(const RowKey& key) { Store(key, {}, true); }

  QCoro::Task<RetVal<Row>> Get(RowKey key) override {
    ++m_reads;
    if (outage) co_return Ret(ErrorCode::kUnavailable, "injected outage");
    const auto found = m_rows.find(key);
    if (found == m_rows.end() || found->second.deleted) {
      co_return Ret(ErrorCode::kNotFound, "no such row");
    }
    // QCoro moves from the operand of co_return even if it is an lvalue that outlives the
    // coroutine, so a copy is returned.
    Row copy = found->second;
    co_return copy;
  }
  QCoro::Task<RetVal<Row>> Create(RowKey key, std::string value) override {
    co_return Write(key, std::move(value), std::nullopt, false);
  }
  QCoro::Task<RetVal<Row>> Update(RowKey key, std::string value,
                                  uint64_t expected_version) override {
    co_return Write(key, std::move(value), expected_version, false);
  }
  QCoro::Task<Ret> Delete(RowKey key, uint64_t expected_version) override {
    const RetVal<Row> removed = Write(key, {}, expected_version, true);
    co_return removed.ret();
  }
  QCoro::Task<RetVal<ChangeBatch>> Changes(std::string table, uint64_t after) override {
    ++m_reads;
    if (outage) co_return Ret(ErrorCode::kUnavailable, "injected outage");
    ChangeBatch batch;
    for (const auto& [key, row] : m_rows) {
      if (key.table == table && row.sequence > after) batch.rows.push_back(row);
    }
    std::sort(batch.rows.begin(), batch.rows.end(),
              [](const Row& a, const Row& b) { return a.sequence < b.sequence; });
    batch.last_sequence = m_sequence;
    co_return batch;
  }

 private:
  RetVal<Row> Write(const RowKey& key, std::string value, std::optional<uint64_t> expected_version,
                    bool deleted) {
    ++m_writes;
    if (before_write) before_write(key);
    if (outage) return Ret(ErrorCode::kUnavailable, "injected outage");
    if (conflicts > 0) {
      --conflicts;
      return Ret(ErrorCode::kConflict, "injected conflict");
    }
    const auto found = m_rows.find(key);
    const bool exists = found != m_rows.end() && !found->second.deleted;
    if (expected_version && !exists) return Ret(ErrorCode::kNotFound, "no such row");
    if (expected_version ? found->second.version != *expected_version : exists) {
      return Ret(ErrorCode::kConflict, "the row has another version");
    }
    Row row = Store(key, std::move(value), deleted);
    if (lost_responses > 0) {
      --lost_responses;
      return Ret(ErrorCode::kUnknownOutcome, "injected loss of the response");
    }
    return row;
  }

  Row Store(const RowKey& key, std::string value, bool deleted) {
    Row& row = m_rows[key];
    row = {.key = key.key,
           .value = std::move(value),
           .version = row.version + 1,
           .sequence = ++m_sequence,
           .deleted = deleted};
    return row;
  }

  std::map<RowKey, Row> m_rows;
  uint64_t m_sequence = 0;
  int m_reads = 0;
  int m_writes = 0;
};

}  // namespace citronferry::provider

#endif  // CITRONFERRY_PROVIDER_TESTING_FAKE_TABLE_SERVICE_H_
