#ifndef CITRONFERRY_FLEET_INTERFACES_CLIENT_PROTOCOL_H_
#define CITRONFERRY_FLEET_INTERFACES_CLIENT_PROTOCOL_H_

#include <optional>
#include <string>
#include <variant>

#include "base/ret.h"
#include "base/time.h"
#include "decisions/scheduling/types.h"
#include "fleet/interfaces/configuration.h"
#include "http/message.h"

namespace citronferry::fleet {

struct SubmitJob {
  scheduling::JobDefinition definition;
};
struct ShowJob {
  JobId job;
};
struct CancelJob {
  JobId job;
};
struct CountPending {};

/// A decoded client call.
struct ClientCall {
  scheduling::QueuePolicy queue;  ///< Policy of the queue to which the call was sent.
  Duration deadline{};            ///< How long the client waits for the response.
  std::variant<SubmitJob, ShowJob, CancelJob, CountPending> action;
};

/// Why a call cannot be served.
struct CallError {
  enum class Kind { kNoSuchQueue, kMalformed, kMethodNotAllowed };
  Kind kind = Kind::kMalformed;
  std::string message;
};

/// Outcome of a client call.
enum class CallOutcome {
  kAccepted,
  kCancelled,
  kNoSuchJob,
  kNotAccepted,     ///< Had no effect and will have none; the client may try again.
  kUnknownOutcome,  ///< May have taken effect; the call is idempotent, so the client may repeat it.
};

/// Decodes client calls and encodes the responses.
class ClientProtocol {
 public:
  virtual ~ClientProtocol() = default;

  /// @param configuration in force; determines the queue of the call.
  /// @return the call, or why it cannot be served.
  virtual std::variant<ClientCall, CallError> Decode(const http::Request& request,
                                                     const Configuration& configuration) const = 0;
  /// @param retry_after delay after which the client should retry, for kNotAccepted.
  virtual http::Response Encode(CallOutcome answer, Duration retry_after = {}) const = 0;
  virtual http::Response EncodeState(scheduling::JobState state) const = 0;
  /// @param pending number of pending jobs.
  virtual http::Response EncodePending(int64_t pending) const = 0;
  virtual http::Response EncodeError(const CallError& error) const = 0;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_INTERFACES_CLIENT_PROTOCOL_H_
