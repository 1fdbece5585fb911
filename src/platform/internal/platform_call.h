#ifndef CITRONFERRY_PLATFORM_INTERNAL_PLATFORM_CALL_H_
#define CITRONFERRY_PLATFORM_INTERNAL_PLATFORM_CALL_H_

#include <string>

#include "http/client.h"
#include "platform/platform_module.h"

namespace citronferry::platform {

/// One call to the platform over HTTP.
struct PlatformCall {
  std::string method = "GET";
  std::string path;  ///< Path and query, percent-encoded.
  http::Headers headers;
  std::string body;
};

/// Sends calls with the platform's address, token and deadline.
class PlatformCaller {
 public:
  PlatformCaller(http::Client& client, const PlatformOptions& options)
      : m_client(client), m_options(options) {}

  /// @return the response with a status below 500; kUnavailable when the platform refused the call
  ///   or could not be reached; kUnknownOutcome when its answer was lost.
  QCoro::Task<RetVal<http::Response>> Send(PlatformCall call);

 private:
  http::Client& m_client;
  const PlatformOptions& m_options;
};

/// @return the text percent-encoded for one path segment.
std::string EncodePathSegment(std::string_view text);

/// Maps a status that is not a success to an error.
Ret StatusError(const http::Response& response, std::string_view what);

}  // namespace citronferry::platform

#endif  // CITRONFERRY_PLATFORM_INTERNAL_PLATFORM_CALL_H_
