#ifndef CITRONFERRY_NODE_GATEWAY_INTERNAL_RESPONSES_H_
#define CITRONFERRY_NODE_GATEWAY_INTERNAL_RESPONSES_H_

#include <string_view>

#include "base/time.h"
#include "node/gateway/answer_record.h"

namespace citronferry::node {

/// @param status HTTP status code.
/// @param code machine-readable error code of the response body.
/// @param message human-readable reason.
/// @param retry_after time until a retry is likely to succeed; zero omits the Retry-After header.
/// @return an error response whose outcome is "not-run".
http::Response NotRunResponse(int status, std::string_view code, std::string_view message,
                              Duration retry_after = {});
/// @param status 409 for a repeated submission or a cancellation, 202 for a query.
/// @param location path at which the outcome can be queried.
/// @return the response for a request or job that is waiting or running.
http::Response InProgressResponse(int status, std::string_view location);
/// @param location path at which the outcome can be queried.
/// @return the response for a request or job that may or may not have run.
http::Response UnknownOutcomeResponse(std::string_view reason, std::string_view location);
/// @return the response when the table service or the object store is unavailable, without an
///   outcome header, since this says nothing about whether the request ran.
http::Response StoreUnavailableResponse(std::string_view message);
/// @return the response with status 200 for a cancelled request or job.
http::Response CancelledResponse(std::string_view message);

/// @return the path at which the outcome of a request can be queried.
std::string RequestLocation(std::string_view key);
/// @return the path at which the outcome of a job can be queried.
std::string JobLocation(std::string_view id);

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_GATEWAY_INTERNAL_RESPONSES_H_
