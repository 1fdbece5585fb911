#ifndef CITRONFERRY_PLATFORM_INTERNAL_CLIENT_PROTOCOL_H_
#define CITRONFERRY_PLATFORM_INTERNAL_CLIENT_PROTOCOL_H_

#include "fleet/interfaces/client_protocol.h"

namespace citronferry::platform {

/// Decodes clients' HTTP requests and encodes the responses to them, with JSON bodies.
class HttpClientProtocol : public fleet::ClientProtocol {
 public:
  std::variant<fleet::CallHead, fleet::CallError> DecodeHead(
      const http::Request& request, const fleet::Configuration& configuration) const override;
  std::variant<fleet::CallAction, fleet::CallError> Decode(
      const http::Request& request, const fleet::CallHead& head) const override;
  http::Response Encode(fleet::CallOutcome answer, Duration retry_after) const override;
  http::Response EncodeState(scheduling::JobState state) const override;
  http::Response EncodePending(int64_t pending) const override;
  http::Response EncodeError(const fleet::CallError& error) const override;
};

}  // namespace citronferry::platform

#endif  // CITRONFERRY_PLATFORM_INTERNAL_CLIENT_PROTOCOL_H_
