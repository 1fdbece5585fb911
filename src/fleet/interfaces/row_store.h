#ifndef CITRONFERRY_FLEET_INTERFACES_ROW_STORE_H_
#define CITRONFERRY_FLEET_INTERFACES_ROW_STORE_H_

#include <qcoro/qcorotask.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/ret.h"
#include "base/time.h"

namespace citronferry::fleet {

/// Key of a row in the store.
struct RowKey {
  std::string table;
  std::string partition;
  std::string key;

  friend auto operator<=>(const RowKey&, const RowKey&) = default;  // NOLINT(modernize-use-nullptr)
};

struct Row {
  RowKey key;
  std::string value;
  int64_t version = 0;  ///< From a counter of the whole store; 0 if the row does not exist.
};

/// Writes that are applied atomically. All rows have to be in one partition.
struct Transaction {
  /// Version that a row has to have for the transaction to be applied.
  struct Condition {
    RowKey key;
    int64_t version = 0;  ///< 0 if the row must not exist.
  };
  struct Put {
    RowKey key;
    std::string value;
  };
  std::vector<Condition> conditions;
  std::vector<Put> puts;
  std::vector<RowKey> removals;
};

/// Maximum number of conditions, puts and removals in a transaction, all together.
inline constexpr size_t kMaxTransactionEntries = 100;

/// Maximum size of the value of a row, in bytes. In base64 it stays within 64 KB.
inline constexpr size_t kMaxRowBytes = 48'000;
/// Maximum size of the puts of a transaction; see EncodedBytes.
inline constexpr size_t kMaxTransactionBytes = 950'000;

/// @return an upper bound of the bytes that a put takes in the body of a transaction.
inline size_t EncodedBytes(const Transaction::Put& put) {
  constexpr size_t kFieldNames = 100;
  return (put.value.size() + 2) / 3 * 4 + put.key.table.size() + put.key.partition.size() +
         put.key.key.size() + kFieldNames;
}

enum class TransactionOutcome {
  kApplied,
  kConflict,  ///< A condition did not hold; nothing was written.
  kRefused,   ///< The store was not reached or rejected the call; nothing was written.
  kUnknown,   ///< It may have been applied, or be applied later if its conditions still hold.
  kInvalid,   ///< Malformed; the store will never accept it.
};

struct TransactionResult {
  TransactionOutcome outcome = TransactionOutcome::kUnknown;
  int64_t version = 0;    ///< Version of the written rows, after kApplied.
  int64_t clock_ms = 0;   ///< The store's steady clock; 0 if it is not known.
  std::vector<Row> rows;  ///< Current rows of the conditions, after kConflict.
  std::string error;
};

/// Rows of one page of a range, in key order.
struct RowRange {
  std::vector<Row> rows;
  int64_t version = 0;    ///< Newest version of the store at the time of reading.
  bool has_more = false;  ///< The range continues on another page.
  int64_t clock_ms = 0;   ///< The store's steady clock; 0 if it is not known.
};

/// Rows of a table that were written or removed after a version.
struct RowChanges {
  std::vector<Row> changed;
  std::vector<RowKey> removed;
  int64_t version = 0;  ///< Version of the store to continue from.
};

/// Linearizable store of all durable state.
class RowStore {
 public:
  virtual ~RowStore() = default;

  /// Reads a page of rows of a partition.
  /// @param from first key of the range.
  /// @param to key after the end of the range; empty for no bound.
  /// @return the rows in key order, or kUnavailable.
  virtual QCoro::Task<RetVal<RowRange>> Read(std::string table, std::string partition,
                                             std::string from, std::string to) = 0;
  /// @param timeout longest wait for the response.
  virtual QCoro::Task<TransactionResult> Transact(Transaction transaction, Duration timeout) = 0;
  /// Waits for changes in any partition of a table.
  /// @param after version of the store to continue from.
  /// @param wait longest time to wait for a change.
  /// @return the changes, kNotFound if the history after this version is gone, or kUnavailable.
  virtual QCoro::Task<RetVal<RowChanges>> Follow(std::string table, int64_t after,
                                                 Duration wait) = 0;
};

/// Reads a whole partition of a table, page by page.
/// @return all rows, with the clock and the version of the first page. A feed that continues from
///   this version also returns the changes made during the read.
QCoro::Task<RetVal<RowRange>> ReadPartition(RowStore& store, std::string table,
                                            std::string partition);

/// Reads several partitions of a table one after the other, as ReadPartition does.
QCoro::Task<RetVal<RowRange>> ReadPartitions(RowStore& store, std::string table,
                                             std::vector<std::string> partitions);

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_INTERFACES_ROW_STORE_H_
