#ifndef CITRONFERRY_CLI_INTERNAL_ENTRY_CLIENT_H_
#define CITRONFERRY_CLI_INTERNAL_ENTRY_CLIENT_H_

#include <qcoro/qcorotask.h>

#include <string>

#include "base/ret.h"
#include "cli/internal/options.h"
#include "http/client.h"

namespace citronferry::cli {

/// Calls the operator API of an entry.
/// @return the body of a response with a status of success; otherwise kPermissionDenied when the
///   token is refused, kUnavailable when the entry can not be reached, kUnknownOutcome when it did
///   not answer, or kInternal with its status.
QCoro::Task<RetVal<std::string>> CallEntry(http::Client& client, ServerAccess entry,
                                           std::string method, std::string path);

}  // namespace citronferry::cli

#endif  // CITRONFERRY_CLI_INTERNAL_ENTRY_CLIENT_H_
