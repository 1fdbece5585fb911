#ifndef CITRONFERRY_FLEET_TESTING_FAKE_ROW_STORE_H_
#define CITRONFERRY_FLEET_TESTING_FAKE_ROW_STORE_H_

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fleet/interfaces/row_store.h"
#include "supervision/awaitables.h"

namespace citronferry::fleet {

/// In-memory row store with injected faults: rejected calls, lost calls and lost responses.
class FakeRowStore : public RowStore {
 public:
  enum class Fault {
    kNone,
    kRefuse,        ///< The transaction is not applied, and the caller knows.
    kInvalid,       ///< The transaction is rejected for good.
    kLoseResponse,  ///< The transaction is applied, but the caller does not know the outcome.
    kLoseCall,      ///< The transaction is not applied, and the caller does not know the outcome.
  };

  QCoro::Task<RetVal<RowRange>> Read(std::string table, std::string partition, std::string from,
                                     std::string to) override {
    if (timers && read_time > Duration::zero()) co_await SleepFor(*timers, read_time);
    if (unavailable) co_return Ret(ErrorCode::kUnavailable, "away");
    RowRange range{.version = m_version, .clock_ms = clock_ms};
    for (const auto& [key, row] : m_rows) {
      if (key.table != table || key.partition != partition || key.key < from) continue;
      if (!to.empty() && key.key >= to) continue;
      range.rows.push_back(row);
    }
    co_return range;
  }

  QCoro::Task<TransactionResult> Transact(Transaction transaction, Duration) override {
    ++transactions;
    if (timers) co_await SleepFor(*timers, kResponseTime);
    const Fault fault = NextFault();
    if (unavailable || fault == Fault::kRefuse) {
      co_return TransactionResult{.outcome = TransactionOutcome::kRefused, .error = "refused"};
    }
    if (fault == Fault::kInvalid) {
      co_return TransactionResult{.outcome = TransactionOutcome::kInvalid, .error = "invalid"};
    }
    if (fault == Fault::kLoseCall) co_return TransactionResult{.error = "lost"};
    TransactionResult result = Apply(transaction);
    if (fault == Fault::kLoseResponse) co_return TransactionResult{.error = "lost"};
    co_return result;
  }

  QCoro::Task<RetVal<RowChanges>> Follow(std::string table, int64_t after, Duration) override {
    if (unavailable) co_return Ret(ErrorCode::kUnavailable, "away");
    if (history_lost) co_return Ret(ErrorCode::kNotFound, "history lost");
    if (feed_stalled) co_return Ret(ErrorCode::kUnavailable, "stalled");
    RowChanges changes{.version = m_version};
    for (const auto& [key, row] : m_rows) {
      if (key.table == table && row.version > after) changes.changed.push_back(row);
    }
    co_return changes;
  }

  /// Applies a transaction without faults or delay.
  TransactionResult Apply(const Transaction& transaction) {
    const size_t entries =
        transaction.conditions.size() + transaction.puts.size() + transaction.removals.size();
    largest_transaction = std::max(largest_transaction, entries);
    if (entries > kMaxTransactionEntries) {
      return {.outcome = TransactionOutcome::kInvalid, .error = "too many entries"};
    }
    size_t bytes = 0;
    for (const auto& put : transaction.puts) {
      bytes += EncodedSize(put.value);
      if (put.value.size() > kRowBytes || put.key.key == rejected_key) {
        return {.outcome = TransactionOutcome::kInvalid, .error = "row " + put.key.key};
      }
    }
    if (bytes > kTransactionBytes) {
      return {.outcome = TransactionOutcome::kInvalid, .error = "too many bytes"};
    }
    std::set<std::string> partitions;
    for (const auto& condition : transaction.conditions) partitions.insert(condition.key.partition);
    for (const auto& put : transaction.puts) partitions.insert(put.key.partition);
    for (const RowKey& key : transaction.removals) partitions.insert(key.partition);
    if (partitions.size() > 1) {
      return {.outcome = TransactionOutcome::kInvalid, .error = "several partitions"};
    }
    TransactionResult result{.outcome = TransactionOutcome::kApplied};
    for (const auto& condition : transaction.conditions) {
      const auto found = m_rows.find(condition.key);
      const int64_t version = found == m_rows.end() ? 0 : found->second.version;
      if (version != condition.version) result.outcome = TransactionOutcome::kConflict;
      result.rows.push_back(found == m_rows.end() ? Row{.key = condition.key} : found->second);
    }
    if (result.outcome == TransactionOutcome::kConflict) return result;
    ++m_version;
    for (const auto& put : transaction.puts) {
      m_rows[put.key] = {.key = put.key, .value = put.value, .version = m_version};
    }
    for (const RowKey& key : transaction.removals) m_rows.erase(key);
    return {.outcome = TransactionOutcome::kApplied, .version = m_version, .clock_ms = clock_ms};
  }

  bool Has(const RowKey& key) const { return m_rows.contains(key); }
  const Row& At(const RowKey& key) const { return m_rows.at(key); }

  static constexpr Duration kResponseTime = 4ms;
  static constexpr size_t kRowBytes = 65'536;             ///< Largest value of a row.
  static constexpr size_t kTransactionBytes = 1'000'000;  ///< Largest transaction, encoded.
  TimerService* timers = nullptr;  ///< If set, transactions take kResponseTime.
  Duration read_time{};            ///< Duration of reads, if timers is set.
  bool unavailable = false;        ///< All calls fail.
  std::string rejected_key;        ///< Transactions that write a row with this key are rejected.
  int64_t clock_ms = 0;            ///< Of responses.
  bool feed_stalled = false;       ///< Follow fails.
  bool history_lost = false;       ///< Follow fails, as if the history were gone.
  std::deque<Fault> faults;        ///< Of the next transactions, one each.
  int transactions = 0;            ///< Number of calls of Transact.
  size_t largest_transaction = 0;  ///< Most entries in a transaction that was given to Apply.

 private:
  static size_t EncodedSize(std::string_view value) { return (value.size() + 2) / 3 * 4; }

  Fault NextFault() {
    if (faults.empty()) return Fault::kNone;
    const Fault fault = faults.front();
    faults.pop_front();
    return fault;
  }

  std::map<RowKey, Row> m_rows;
  int64_t m_version = 0;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_TESTING_FAKE_ROW_STORE_H_
