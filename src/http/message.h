#ifndef CITRONFERRY_HTTP_MESSAGE_H_
#define CITRONFERRY_HTTP_MESSAGE_H_

#include <QByteArray>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace citronferry {
class StopSignal;
}

namespace citronferry::http {

struct Header {
  std::string name;
  std::string value;
};

using Headers = std::vector<Header>;

/// @return the value of the first header with this name, compared case-insensitively; empty if
/// absent.
std::string_view FindHeader(const Headers& headers, std::string_view name);

/// @return the number of headers with this name, compared case-insensitively.
size_t CountHeader(const Headers& headers, std::string_view name);

/// A request as received by Server.
struct Request {
  std::string method;
  std::string path;   ///< Decoded path without the query.
  std::string query;  ///< Query string without the question mark.
  Headers headers;
  QByteArray body;
  std::string remote_address;
  std::shared_ptr<StopSignal> abandoned;  ///< Raised when the caller disconnects.
};

struct Response {
  int status = 200;
  Headers headers;
  QByteArray body;
};

/// @return the text percent-encoded for a path segment or a query value.
std::string PercentEncode(std::string_view text);

/// @return a response with a JSON body {"error": code, "message": message}.
Response MakeErrorResponse(int status, std::string_view code, std::string_view message);

}  // namespace citronferry::http

#endif  // CITRONFERRY_HTTP_MESSAGE_H_
