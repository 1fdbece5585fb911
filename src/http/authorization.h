#ifndef CITRONFERRY_HTTP_AUTHORIZATION_H_
#define CITRONFERRY_HTTP_AUTHORIZATION_H_

#include <string_view>

namespace citronferry::http {

/// @return the token of a "Bearer" Authorization header, or an empty view.
inline std::string_view BearerToken(std::string_view authorization) {
  constexpr std::string_view kScheme = "Bearer ";
  if (!authorization.starts_with(kScheme)) return {};
  return authorization.substr(kScheme.size());
}

}  // namespace citronferry::http

#endif  // CITRONFERRY_HTTP_AUTHORIZATION_H_
