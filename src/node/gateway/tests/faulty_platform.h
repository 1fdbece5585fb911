#ifndef CITRONFERRY_NODE_GATEWAY_TESTS_FAULTY_PLATFORM_H_
#define CITRONFERRY_NODE_GATEWAY_TESTS_FAULTY_PLATFORM_H_

#include <functional>
#include <map>
#include <string>

#include "provider/object_store.h"
#include "provider/table_service.h"
#include "supervision/awaitables.h"

namespace citronferry::testing {

/// Fault of one operation on the table service or the object store.
enum class Fault {
  kNone,
  kUnavailable,    ///< The operation has no effect and reports kUnavailable.
  kResponseLost,   ///< A write takes effect, but its response is lost.
  kRequestLost,    ///< A write has no effect, but reports kUnknownOutcome.
  kEffectDelayed,  ///< As kRequestLost, but the write takes effect at the next operation.
};

/// Rows and objects that all entries of a test share.
struct SharedTables {
  std::map<provider::RowKey, provider::Row> rows;
  std::map<std::string, std::string> objects;
  uint64_t sequence = 0;
  std::vector<std::function<void()>> delayed;
  int overwritten_final_rows = 0;  ///< Writes over rows with a final outcome.

  RetVal<provider::Row> Put(const provider::RowKey& key, std::string value, uint64_t expected) {
    const auto found = rows.find(key);
    const uint64_t version = found == rows.end() ? 0 : found->second.version;
    if (version != expected) return Ret(ErrorCode::kConflict, "version");
    if (found != rows.end() && HasFinalOutcome(found->second.value)) ++overwritten_final_rows;
    rows[key] = {
        .key = key.key, .value = std::move(value), .version = version + 1, .sequence = ++sequence};
    return rows[key];
  }
  /// @return true when a row has ended with another outcome than "not-run", which frees the key.
  static bool HasFinalOutcome(const std::string& value) {
    return value.find("\"state\":\"ended\"") != std::string::npos &&
           value.find("\"outcome\":\"not-run\"") == std::string::npos;
  }
};

/// Platform client of one entry, with injected faults.
class FaultyPlatform : public provider::TableService, public provider::ObjectStore {
 public:
  FaultyPlatform(SharedTables& shared, TimerService& timers) : m_shared(shared), m_timers(timers) {}

  /// Returns the fault of the next operation.
  std::function<Fault(bool is_write)> fault = [](bool) { return Fault::kNone; };
  Duration delay{};  ///< Time between the effect of each write and its response.

  QCoro::Task<RetVal<provider::Row>> Get(provider::RowKey key) override {
    if (NextFault(false) != Fault::kNone) co_return Unavailable();
    const auto found = m_shared.rows.find(key);
    if (found == m_shared.rows.end()) co_return Ret(ErrorCode::kNotFound, "no row");
    // QCoro moves out of an lvalue that is converted to the result type.
    provider::Row row = found->second;
    co_return row;
  }
  QCoro::Task<RetVal<provider::Row>> Create(provider::RowKey key, std::string value) override {
    co_return co_await Update(std::move(key), std::move(value), 0);
  }
  QCoro::Task<RetVal<provider::Row>> Update(provider::RowKey key, std::string value,
                                            uint64_t expected) override {
    const Fault chosen = NextFault(true);
    if (chosen == Fault::kUnavailable) co_return Unavailable();
    const Ret lost(ErrorCode::kUnknownOutcome, "lost");
    if (chosen == Fault::kRequestLost) co_return lost;
    if (chosen == Fault::kEffectDelayed) {
      m_shared.delayed.push_back(
          [this, key, value, expected] { static_cast<void>(m_shared.Put(key, value, expected)); });
      co_return lost;
    }
    auto written = m_shared.Put(key, std::move(value), expected);
    if (delay > Duration::zero()) co_await SleepFor(m_timers, delay);
    if (chosen == Fault::kResponseLost) co_return lost;
    co_return written;
  }
  QCoro::Task<Ret> Delete(provider::RowKey, uint64_t) override {
    co_return Ret(ErrorCode::kUnavailable, "not used");
  }
  QCoro::Task<RetVal<provider::ChangeBatch>> Changes(std::string table, uint64_t after) override {
    if (NextFault(false) != Fault::kNone) co_return Unavailable();
    provider::ChangeBatch batch{.last_sequence = m_shared.sequence};
    for (const auto& [key, row] : m_shared.rows) {
      if (key.table == table && row.sequence > after) batch.rows.push_back(row);
    }
    co_return batch;
  }
  QCoro::Task<Ret> Put(std::string key, std::string content) override {
    if (NextFault(false) != Fault::kNone) co_return Unavailable();
    m_shared.objects[key] = std::move(content);
    co_return MakeOk();
  }
  QCoro::Task<RetVal<std::string>> Get(std::string key) override {
    if (NextFault(false) != Fault::kNone) co_return Unavailable();
    const auto found = m_shared.objects.find(key);
    if (found == m_shared.objects.end()) co_return Ret(ErrorCode::kNotFound, "no object");
    std::string content = found->second;
    co_return content;
  }

 private:
  Fault NextFault(bool is_write) {
    for (const auto& effect : std::exchange(m_shared.delayed, {})) effect();
    return fault(is_write);
  }
  static Ret Unavailable() { return {ErrorCode::kUnavailable, "outage"}; }

  SharedTables& m_shared;
  TimerService& m_timers;
};

}  // namespace citronferry::testing

#endif  // CITRONFERRY_NODE_GATEWAY_TESTS_FAULTY_PLATFORM_H_
