#ifndef CITRONFERRY_CLI_INTERNAL_ENTRY_CLIENT_H_
#define CITRONFERRY_CLI_INTERNAL_ENTRY_CLIENT_H_

#include <qcoro/qcorotask.h>

#include <string>

#include "base/ret.h"
#include "cli/internal/options.h"
#include "http/client.h"

namespace citronferry::cli {

/// Calls the operator API of an entry.
/// @param entry base URL of the entry's admin listener, and the operator token.
/// @return the body of a response with a 2xx status; kPermissionDenied if the token was rejected,
///   kUnavailable if the entry cannot be reached, kUnknownOutcome if it did not respond, or
///   kInternal with any other status.
QCoro::Task<RetVal<std::string>> CallEntry(http::Client& client, ServerAccess entry,
                                           std::string method, std::string path);

}  // namespace citronferry::cli

#endif  // CITRONFERRY_CLI_INTERNAL_ENTRY_CLIENT_H_
