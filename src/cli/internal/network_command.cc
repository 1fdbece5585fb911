#include "cli/internal/network_command.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <array>
#include <optional>

#include "supervision/task_scope.h"

namespace citronferry::cli {

int RunNetworkCommand(const std::function<QCoro::Task<int>()>& command) {
  static char name[] = "citronferry";
  static std::array<char*, 2> arguments{name, nullptr};
  static int argument_count = 1;
  std::optional<QCoreApplication> application;
  if (!QCoreApplication::instance()) {
    qputenv("QT_NO_GLIB", "1");
    application.emplace(argument_count, arguments.data());
  }
  QEventLoop loop;
  TaskScope tasks;
  std::optional<int> exit_code;
  tasks.Spawn([&]() -> QCoro::Task<void> {
    exit_code = co_await command();
    loop.quit();
  });
  // If the coroutine never suspended, it called quit() before the loop was started, without effect.
  if (!exit_code) loop.exec();
  return *exit_code;
}

}  // namespace citronferry::cli
