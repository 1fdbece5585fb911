#ifndef CITRONFERRY_FLEET_RELAY_RELAY_MESSAGES_H_
#define CITRONFERRY_FLEET_RELAY_RELAY_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fleet/interfaces/executors.h"

namespace citronferry::fleet {

// Calls to executors that a pool's owner makes through another entry, and their results. They are
// sent in batches. The payload of a job, which is most of a start order, is sent to each relay
// once.

struct RelayedHold {
  std::optional<int64_t> lease_until_ms;
  int64_t acknowledged_end = 0;
  Duration wait{};
};

struct RelayedStart {
  /// Of its definition, only the payload is sent. A received order has no definition if the sender
  /// takes the payload for known.
  scheduling::StartOrder order;
  bool payload_known = false;  ///< The relay has received the payload before.
  int64_t lease_until_ms = 0;
};

using RelayedOrder =
    std::variant<RelayedHold, RelayedStart, scheduling::StopOrder, scheduling::PaceOrder>;

struct RelayedCall {
  uint64_t number = 0;  ///< Identifies the call among those of the sending process.
  ExecutorAddress to;
  int64_t fencing_token = 0;
  Duration timeout{};  ///< For the whole call, on the side of the relay.
  RelayedOrder order;
};

struct RelayedCalls {
  TimePoint sent_at{};  ///< When the first of the calls was made, on the clock of the sender.
  std::vector<RelayedCall> calls;
};

struct RelayedResult {
  uint64_t number = 0;
  /// HoldOutcome, scheduling::StartAnswer, scheduling::StopAnswer or ErrorCode, depending on the
  /// order.
  int outcome = 0;
  std::string error;
  scheduling::ExecutorReport report;  ///< After HoldOutcome::kReported.
  bool payload_missing = false;       ///< The start was not sent, since the payload is not known.
};

std::string EncodeCalls(std::span<const RelayedCall> calls, TimePoint sent_at);
/// @return the calls, or nothing if the batch is malformed or holds a value out of range.
std::optional<RelayedCalls> DecodeCalls(std::string_view bytes);
std::string EncodeResults(std::span<const RelayedResult> results);
/// @return the results, or nothing if the batch is malformed or holds a value out of range.
std::optional<std::vector<RelayedResult>> DecodeResults(std::string_view bytes);

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_RELAY_RELAY_MESSAGES_H_
