#ifndef CITRONFERRY_PROVIDER_INTERNAL_PLATFORM_CALL_H_
#define CITRONFERRY_PROVIDER_INTERNAL_PLATFORM_CALL_H_

#include <string>

#include "http/client.h"
#include "provider/provider_module.h"

namespace citronferry::provider {

/// One call to the platform over HTTP.
struct ProviderCall {
  std::string method = "GET";
  std::string path;  ///< Path and query, percent-encoded.
  http::Headers headers;
  std::string body;
};

/// Sends calls with the platform's address, token and deadline.
class ProviderCaller {
 public:
  ProviderCaller(http::Client& client, const ProviderOptions& options)
      : m_client(client), m_options(options) {}

  /// @return the response with a status below 500; kUnavailable when the platform refused the call
  ///   or could not be reached; kUnknownOutcome when its answer was lost.
  QCoro::Task<RetVal<http::Response>> Send(ProviderCall call);

 private:
  http::Client& m_client;
  const ProviderOptions& m_options;
};

/// Maps a status that is not a success to an error.
Ret StatusError(const http::Response& response, std::string_view what);

}  // namespace citronferry::provider

#endif  // CITRONFERRY_PROVIDER_INTERNAL_PLATFORM_CALL_H_
