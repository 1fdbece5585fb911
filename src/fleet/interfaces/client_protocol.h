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

/// A call of a client, decoded.
struct ClientCall {
  scheduling::QueuePolicy queue;
  Duration deadline{};  ///< How long the client waits for the answer.
  std::variant<SubmitJob, ShowJob, CancelJob, CountPending> action;
};

/// Why a call can not be served.
struct CallError {
  enum class Kind { kNoSuchQueue, kMalformed, kMethodNotAllowed };
  Kind kind = Kind::kMalformed;
  std::string message;
};

enum class CallOutcome {
  kAccepted,
  kCancelled,
  kNoSuchJob,
  kNotAccepted,     ///< Never runs; the client may try again.
  kUnknownOutcome,  ///< The client may repeat the call, which has no second effect.
};

/// Encoding of the clients' calls and of the answers to them.
class ClientProtocol {
 public:
  virtual ~ClientProtocol() = default;

  virtual std::variant<ClientCall, CallError> Decode(const http::Request& request,
                                                     const Configuration& configuration) const = 0;
  /// @param retry_after when the client should come back, for kNotAccepted.
  virtual http::Response Encode(CallOutcome answer, Duration retry_after = {}) const = 0;
  virtual http::Response EncodeState(scheduling::JobState state) const = 0;
  virtual http::Response EncodePending(int64_t pending) const = 0;
  virtual http::Response EncodeError(const CallError& error) const = 0;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_INTERFACES_CLIENT_PROTOCOL_H_
