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

struct RowKey {
  std::string table;
  std::string partition;
  std::string key;

  friend auto operator<=>(const RowKey&, const RowKey&) = default;  // NOLINT(modernize-use-nullptr)
};

struct Row {
  RowKey key;
  std::string value;
  int64_t version = 0;  ///< From one counter of the store; 0: the row does not exist.
};

/// Writes that take effect together, or not at all. All rows are of one partition.
struct Transaction {
  struct Condition {
    RowKey key;
    int64_t version = 0;  ///< 0: the row must not exist.
  };
  struct Put {
    RowKey key;
    std::string value;
  };
  std::vector<Condition> conditions;
  std::vector<Put> puts;
  std::vector<RowKey> removals;
};

/// Most conditions, puts and removals together in one transaction.
inline constexpr size_t kMaxTransactionEntries = 100;

enum class TransactionOutcome {
  kApplied,
  kConflict,  ///< A condition did not hold; nothing was done.
  kRefused,   ///< The store was not reached or turned the call away; nothing was done.
  kUnknown,   ///< It may have been applied, or be applied later if its conditions still hold.
  kInvalid,   ///< The store will never accept it.
};

struct TransactionResult {
  TransactionOutcome outcome = TransactionOutcome::kUnknown;
  int64_t version = 0;    ///< Version of the written rows, after kApplied.
  std::vector<Row> rows;  ///< The conditions' rows as they are, after kConflict.
  std::string error;
};

struct RowRange {
  std::vector<Row> rows;
  int64_t version = 0;  ///< The newest version of the store at the time of reading.
  bool has_more = false;
};

struct RowChanges {
  std::vector<Row> changed;
  std::vector<RowKey> removed;
  int64_t version = 0;  ///< Where to continue.
};

/// The store in which everything that lasts is kept. Its answers are linearizable.
class RowStore {
 public:
  virtual ~RowStore() = default;

  /// @param from first key; @param to first key beyond the range, empty for no bound.
  /// @return rows of one partition in the order of their keys, or kUnavailable.
  virtual QCoro::Task<RetVal<RowRange>> Read(std::string table, std::string partition,
                                             std::string from, std::string to) = 0;
  /// @param timeout longest wait for the answer.
  virtual QCoro::Task<TransactionResult> Transact(Transaction transaction, Duration timeout) = 0;
  /// Waits for changes of a table in any partition.
  /// @param wait longest time to wait for a change.
  /// @return kNotFound when the history after this version is gone, or kUnavailable.
  virtual QCoro::Task<RetVal<RowChanges>> Follow(std::string table, int64_t after,
                                                 Duration wait) = 0;
};

/// Reads a whole partition of a table, page by page.
/// @return the rows with the version of the first page, so that changes made meanwhile are
/// followed.
QCoro::Task<RetVal<RowRange>> ReadPartition(RowStore& store, std::string table,
                                            std::string partition);

/// Reads several partitions of a table one after the other, as ReadPartition does.
QCoro::Task<RetVal<RowRange>> ReadPartitions(RowStore& store, std::string table,
                                             std::vector<std::string> partitions);

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_INTERFACES_ROW_STORE_H_
