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

/// What the header of a client call says.
struct CallHead {
  const QueueRoute* queue = nullptr;  ///< Queue of the call, in the configuration that decoded it.
  std::string api_key;                ///< Empty for a public queue, and without teams.
  Duration deadline{};                ///< How long the client waits for the response.
};

/// What a client call asks for.
using CallAction = std::variant<SubmitJob, ShowJob, CancelJob, CountPending>;

/// A decoded client call.
struct ClientCall {
  scheduling::QueuePolicy queue;  ///< Policy of the queue to which the call was sent.
  TeamName team;                  ///< Team of the caller; empty if the queue is public.
  Duration deadline{};            ///< How long the client waits for the response.
  CallAction action;
};

/// Why a call cannot be served.
struct CallError {
  enum class Kind {
    kNoSuchQueue,
    kMalformed,
    kMethodNotAllowed,
    kUnknownKey,  ///< No API key, or one that no team has.
    kOtherTeam,   ///< The job belongs to another team.
  };
  Kind kind = Kind::kMalformed;
  std::string message;
};

/// Outcome of a client call.
enum class CallOutcome {
  kAccepted,
  kCancelled,
  kNoSuchJob,
  kOtherTeam,       ///< The job belongs to another team.
  kTooLarge,        ///< The store does not take the job; it was not accepted.
  kNotAccepted,     ///< Had no effect and will have none; the client may try again.
  kUnknownOutcome,  ///< May have taken effect; the call is idempotent, so the client may repeat it.
};

/// Decodes client calls and encodes the responses.
class ClientProtocol {
 public:
  virtual ~ClientProtocol() = default;

  /// Decodes what decides whether the call may be served, without its body.
  /// @param configuration in force; determines the queue of the call and has to outlive the result.
  /// @return the head, or why the call cannot be served.
  virtual std::variant<CallHead, CallError> DecodeHead(
      const http::Request& request, const Configuration& configuration) const = 0;
  /// @param head of this request.
  /// @return what the call asks for, or why it cannot be served.
  virtual std::variant<CallAction, CallError> Decode(const http::Request& request,
                                                     const CallHead& head) const = 0;
  /// @param retry_after delay after which the client should retry, for kNotAccepted.
  virtual http::Response Encode(CallOutcome answer, Duration retry_after = {}) const = 0;
  virtual http::Response EncodeState(scheduling::JobState state) const = 0;
  /// @param pending number of pending jobs.
  virtual http::Response EncodePending(int64_t pending) const = 0;
  virtual http::Response EncodeError(const CallError& error) const = 0;
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_INTERFACES_CLIENT_PROTOCOL_H_
