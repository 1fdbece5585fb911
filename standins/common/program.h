#ifndef CITRONFERRY_STANDINS_COMMON_PROGRAM_H_
#define CITRONFERRY_STANDINS_COMMON_PROGRAM_H_

#include <QJsonObject>
#include <functional>
#include <string>

#include "http/server.h"

namespace citronferry::standin {

/// Command-line options of a stand-in.
struct ProgramOptions {
  std::string address = "127.0.0.1";
  int port = 0;  ///< 0 lets the kernel choose; the port is printed as "listening PORT".
  std::string data_file;
};

/// Parses the options; ends the process when they are not valid.
ProgramOptions ParseProgramOptions(int argc, char** argv, std::string_view name);

/// Serves until SIGTERM or SIGINT.
/// @return the exit code.
int ServeUntilTerminated(TimerService& timers, const ProgramOptions& options,
                         http::Handler handler);

/// @return the JSON object of a body; empty when it is not one.
QJsonObject ParseObject(const QByteArray& body);

/// @return a response with a JSON document.
http::Response JsonResponse(int status, const QByteArray& json);

}  // namespace citronferry::standin

#endif  // CITRONFERRY_STANDINS_COMMON_PROGRAM_H_
