#include <QCoreApplication>

#include "standins/backend/backend_standin.h"
#include "standins/common/program.h"

int main(int argc, char** argv) {
  using namespace citronferry;  // NOLINT(google-build-using-namespace)
  QCoreApplication application(argc, argv);
  const standin::ProgramOptions options =
      standin::ParseProgramOptions(argc, argv, "backend_standin");
  const auto timers = MakeQtTimerService();
  standin::BackendStandin backend(*timers);
  return standin::ServeUntilTerminated(*timers, options, [&backend](http::Request request) {
    return backend.Handle(std::move(request));
  });
}
