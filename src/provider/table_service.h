#ifndef CITRONFERRY_PROVIDER_TABLE_SERVICE_H_
#define CITRONFERRY_PROVIDER_TABLE_SERVICE_H_

#include <qcoro/qcorotask.h>

#include <cstdint>
#include <string>
#include <vector>

#include "base/ret.h"

namespace citronferry::provider {

/// Names a row. Coroutines take it by value, since the caller may go on before they end.
struct RowKey {
  std::string table;
  std::string key;

  // clang-tidy 14 takes the defaulted operator for a null pointer.
  friend auto operator<=>(const RowKey&, const RowKey&) = default;  // NOLINT(modernize-use-nullptr)
};

struct Row {
  std::string key;
  std::string value;      ///< JSON text.
  uint64_t version = 0;   ///< Grows with each write of the row; used for conditional writes.
  uint64_t sequence = 0;  ///< Position in the table's change feed.
  bool deleted = false;   ///< Set only in change feeds.
};

struct ChangeBatch {
  std::vector<Row> rows;       ///< Latest state of each changed row, by sequence.
  uint64_t last_sequence = 0;  ///< Where the next read continues.
};

/// The platform's transactional table service.
///
/// Every operation ends within its deadline. kUnavailable means that nothing was written;
/// kUnknownOutcome means that a write may have taken effect although its answer was lost.
class TableService {
 public:
  virtual ~TableService() = default;

  /// @return the row; kNotFound when it does not exist.
  virtual QCoro::Task<RetVal<Row>> Get(RowKey key) = 0;
  /// Writes a row that must not exist yet.
  /// @return the new row; kConflict when it exists.
  virtual QCoro::Task<RetVal<Row>> Create(RowKey key, std::string value) = 0;
  /// Replaces a row if it still has the expected version.
  /// @return the new row; kConflict when the version differs, kNotFound when it is gone.
  virtual QCoro::Task<RetVal<Row>> Update(RowKey key, std::string value,
                                          uint64_t expected_version) = 0;
  /// Removes a row if it still has the expected version.
  virtual QCoro::Task<Ret> Delete(RowKey key, uint64_t expected_version) = 0;
  /// @param after sequence of the last change that is known; 0 reads the whole table.
  /// @return the rows that changed since.
  virtual QCoro::Task<RetVal<ChangeBatch>> Changes(std::string table, uint64_t after) = 0;
};

}  // namespace citronferry::provider

#endif  // CITRONFERRY_PROVIDER_TABLE_SERVICE_H_
