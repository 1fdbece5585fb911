#include "standins/common/program.h"

#include <QCoreApplication>
#include <QJsonDocument>
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

#include "supervision/task_scope.h"

namespace citronferry::standin {

ProgramOptions ParseProgramOptions(int argc, char** argv, std::string_view name) {
  ProgramOptions parsed;
  cxxopts::Options options{std::string(name)};
  options.add_options()("address", "IP address", cxxopts::value(parsed.address))(
      "port", "TCP port", cxxopts::value(parsed.port))("data", "initial data, a JSON file",
                                                       cxxopts::value(parsed.data_file));
  try {
    options.parse(argc, argv);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << name << ": " << error.what() << '\n';
    std::exit(2);
  }
  return parsed;
}

int ServeUntilTerminated(TimerService& timers, const ProgramOptions& options,
                         http::Handler handler) {
  // Stand-ins have no persistent state, so SIGTERM keeps its default action.
  http::Server server(timers,
                      {.address = QHostAddress(QString::fromStdString(options.address)),
                       .port = static_cast<quint16>(options.port),
                       .limits = {.max_body_bytes = 16 * 1024 * 1024}},
                      std::move(handler));
  const Ret listening = server.Listen();
  if (!listening) {
    std::cerr << listening.message() << '\n';
    return 1;
  }
  std::cout << "listening " << server.port() << std::endl;
  TaskScope tasks;
  tasks.Spawn([&]() -> QCoro::Task<void> { static_cast<void>(co_await server.Run()); });
  return QCoreApplication::exec();
}

QJsonObject ParseObject(const QByteArray& body) { return QJsonDocument::fromJson(body).object(); }

http::Response JsonResponse(int status, const QByteArray& json) {
  return {.status = status, .headers = {{"Content-Type", "application/json"}}, .body = json};
}

}  // namespace citronferry::standin
