#ifndef CITRONFERRY_PROVIDER_TABLE_SERVICE_H_
#define CITRONFERRY_PROVIDER_TABLE_SERVICE_H_

#include <qcoro/qcorotask.h>

#include <cstdint>
#include <string>
#include <vector>

#include "base/ret.h"

namespace citronferry::provider {

/// Identifies a row. Coroutines take it by value, because the caller's object may be destroyed
/// while they are suspended.
struct RowKey {
  std::string table;
  std::string key;

  // False positive of clang-tidy 14, which reports the defaulted operator as a null pointer.
  friend auto operator<=>(const RowKey&, const RowKey&) = default;  // NOLINT(modernize-use-nullptr)
};

/// A row as read from or written to the table service.
struct Row {
  std::string key;
  std::string value;      ///< JSON text.
  uint64_t version = 0;   ///< Increases with each write of the row; used for conditional writes.
  uint64_t sequence = 0;  ///< Position in the table's change feed.
  bool deleted = false;   ///< The row was deleted; set only in change feeds.
};

/// Result of one read of a table's change feed.
struct ChangeBatch {
  std::vector<Row> rows;       ///< Latest state of each changed row, in ascending sequence.
  uint64_t last_sequence = 0;  ///< Value of `after` for the next read.
};

/// The platform's transactional table service.
///
/// Every operation ends within its deadline. After kUnavailable nothing was written; after
/// kUnknownOutcome a write may have taken effect, although no response to it was
/// received.
class TableService {
 public:
  virtual ~TableService() = default;

  /// @return the row; kNotFound when it does not exist.
  virtual QCoro::Task<RetVal<Row>> Get(RowKey key) = 0;
  /// Creates a row.
  /// @param value JSON text.
  /// @return the new row; kConflict when the row exists already.
  virtual QCoro::Task<RetVal<Row>> Create(RowKey key, std::string value) = 0;
  /// Replaces the value of a row if the row still has the expected version.
  /// @param value JSON text.
  /// @return the new row; kConflict when the version differs, kNotFound when the row does not
  /// exist.
  virtual QCoro::Task<RetVal<Row>> Update(RowKey key, std::string value,
                                          uint64_t expected_version) = 0;
  /// Deletes a row if it still has the expected version.
  /// @return kConflict when the version differs, kNotFound when the row does not exist.
  virtual QCoro::Task<Ret> Delete(RowKey key, uint64_t expected_version) = 0;
  /// Reads the change feed of a table.
  /// @param after sequence of the last known change; 0 reads the whole table.
  /// @return the rows that have changed since.
  virtual QCoro::Task<RetVal<ChangeBatch>> Changes(std::string table, uint64_t after) = 0;
};

}  // namespace citronferry::provider

#endif  // CITRONFERRY_PROVIDER_TABLE_SERVICE_H_
