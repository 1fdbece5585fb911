#ifndef CITRONFERRY_PROVIDER_INTERNAL_PROVIDER_CLIENT_H_
#define CITRONFERRY_PROVIDER_INTERNAL_PROVIDER_CLIENT_H_

#include <string>

#include "http/client.h"
#include "provider/provider_module.h"

namespace citronferry::provider {

/// One HTTP request to the platform's API.
struct ProviderCall {
  std::string method = "GET";
  std::string path;  ///< Path and query, percent-encoded.
  http::Headers headers;
  std::string body;
};

/// Sends API calls to the platform's base URL, with its bearer token and deadline.
class ProviderClient {
 public:
  ProviderClient(http::Client& client, const ProviderOptions& options)
      : m_http_client(client), m_options(options) {}

  /// @return the response if its status is below 500; kUnavailable when the platform responded with
  ///   503 or could not be reached; kUnknownOutcome when the response was lost or has another
  ///   status of 500 or above.
  QCoro::Task<RetVal<http::Response>> Send(ProviderCall call);

 private:
  http::Client& m_http_client;
  const ProviderOptions& m_options;
};

/// Maps an HTTP status other than the expected one to an error.
/// @param operation name of the failed operation, for the message.
Ret MakeStatusError(const http::Response& response, std::string_view operation);

}  // namespace citronferry::provider

#endif  // CITRONFERRY_PROVIDER_INTERNAL_PROVIDER_CLIENT_H_
