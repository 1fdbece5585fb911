#ifndef CITRONFERRY_STANDINS_COMMON_PROGRAM_H_
#define CITRONFERRY_STANDINS_COMMON_PROGRAM_H_

#include <QJsonObject>
#include <functional>
#include <string>

#include "http/server.h"

namespace citronferry::standin {

/// Command-line options of the platform and backend stand-ins.
struct ProgramOptions {
  std::string address = "127.0.0.1";
  int port = 0;  ///< TCP port; 0 for one chosen by the kernel, printed as "listening PORT".
  std::string data_file;  ///< JSON file with initial data; empty for none.
};

/// Parses the command line. Prints an error and exits with code 2 if it is not valid.
/// @param name program name for error messages.
ProgramOptions ParseProgramOptions(int argc, char** argv, std::string_view name);

/// Serves HTTP requests until a signal terminates the process.
/// @return the exit code; 1 if the server cannot listen.
int ServeUntilTerminated(TimerService& timers, const ProgramOptions& options,
                         http::Handler handler);

/// @return the parsed JSON object; empty if the body is not one.
QJsonObject ParseObject(const QByteArray& body);

/// @return a response with the content type application/json.
http::Response JsonResponse(int status, const QByteArray& json);

}  // namespace citronferry::standin

#endif  // CITRONFERRY_STANDINS_COMMON_PROGRAM_H_
