#include <QCoreApplication>
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>

#include "standins/common/program.h"
#include "standins/platform/platform_standin.h"

int main(int argc, char** argv) {
  using namespace citronferry;  // NOLINT(google-build-using-namespace)
  QCoreApplication application(argc, argv);
  const standin::ProgramOptions options =
      standin::ParseProgramOptions(argc, argv, "platform_standin");
  const auto timers = MakeQtTimerService();
  standin::PlatformStandin platform(*timers);
  if (!options.data_file.empty()) {
    QFile file(QString::fromStdString(options.data_file));
    if (!file.open(QIODevice::ReadOnly)) return 1;
    platform.LoadInstances(QJsonDocument::fromJson(file.readAll()).array());
  }
  return standin::ServeUntilTerminated(*timers, options, [&platform](http::Request request) {
    return platform.Handle(std::move(request));
  });
}
