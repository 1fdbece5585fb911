#ifndef CITRONFERRY_NODE_GATEWAY_INTERNAL_RESPONSES_H_
#define CITRONFERRY_NODE_GATEWAY_INTERNAL_RESPONSES_H_

#include <string_view>

#include "base/time.h"
#include "node/gateway/answer_record.h"

namespace citronferry::node {

/// @return an error response whose outcome is "not-run".
/// @param retry_after when a new try is likely to succeed; zero leaves it out.
http::Response NotRunResponse(int status, std::string_view code, std::string_view message,
                              Duration retry_after = {});
/// @return the response to a request that may be running.
/// @param status 409 for a repeated submission, 202 for a query.
http::Response InProgressResponse(int status, std::string_view location);
/// @return the response to a request that may or may not have run.
http::Response UnknownOutcomeResponse(std::string_view reason, std::string_view location);
/// @return the response when the table service can not be read, which says nothing on the outcome.
http::Response StoreUnavailableResponse(std::string_view message);
/// @return a JSON response for a cancelled request or job.
http::Response CancelledResponse(std::string_view message);

/// @return where the outcome of a request can be queried.
std::string RequestLocation(std::string_view key);
std::string JobLocation(std::string_view id);

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_GATEWAY_INTERNAL_RESPONSES_H_
