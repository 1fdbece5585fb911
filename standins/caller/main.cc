#include <QCoreApplication>
#include <cxxopts.hpp>
#include <iostream>

#include "standins/caller/load_generator.h"

namespace citronferry::standin {
namespace {

Duration ParseMilliseconds(const cxxopts::ParseResult& values, const char* name) {
  return std::chrono::milliseconds(values[name].as<int64_t>());
}

LoadOptions ParseLoadOptions(int argc, char** argv) {
  cxxopts::Options options("caller_standin");
  options.add_options()("target", "base URLs of the entries, separated by commas",
                        cxxopts::value<std::vector<std::string>>())("path", "path of each request",
                                                                    cxxopts::value<std::string>())(
      "token", "bearer token", cxxopts::value<std::string>()->default_value(""))(
      "key-prefix", "prefix of the idempotency keys",
      cxxopts::value<std::string>()->default_value("load"))(
      "rate", "rate outside the surge, in requests per second",
      cxxopts::value<double>()->default_value("50"))(
      "duration-ms", "time for which requests are sent",
      cxxopts::value<int64_t>()->default_value("5000"))(
      "surge-factor", "rate during the surge divided by the rate outside it",
      cxxopts::value<double>()->default_value("1"))(
      "surge-start-ms", "start of the surge", cxxopts::value<int64_t>()->default_value("2000"))(
      "surge-length-ms", "duration of the surge", cxxopts::value<int64_t>()->default_value("0"))(
      "deadline-ms", "deadline of each attempt", cxxopts::value<int64_t>()->default_value("5000"))(
      "tries", "attempts per request", cxxopts::value<int>()->default_value("1"));
  const cxxopts::ParseResult values = options.parse(argc, argv);
  return {.targets = values["target"].as<std::vector<std::string>>(),
          .path = values["path"].as<std::string>(),
          .token = values["token"].as<std::string>(),
          .key_prefix = values["key-prefix"].as<std::string>(),
          .rate = values["rate"].as<double>(),
          .duration = ParseMilliseconds(values, "duration-ms"),
          .surge_factor = values["surge-factor"].as<double>(),
          .surge_start = ParseMilliseconds(values, "surge-start-ms"),
          .surge_length = ParseMilliseconds(values, "surge-length-ms"),
          .deadline = ParseMilliseconds(values, "deadline-ms"),
          .max_attempts = values["tries"].as<int>()};
}

}  // namespace
}  // namespace citronferry::standin

int main(int argc, char** argv) {
  using namespace citronferry;  // NOLINT(google-build-using-namespace)
  standin::LoadOptions options;
  try {
    options = standin::ParseLoadOptions(argc, argv);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "caller_standin: " << error.what() << '\n';
    return 2;
  }
  QCoreApplication application(argc, argv);
  const auto timers = MakeQtTimerService();
  standin::LoadGenerator generator(*timers, std::move(options));
  TaskScope tasks;
  tasks.Spawn([&]() -> QCoro::Task<void> {
    const standin::LoadReport report = co_await generator.Run();
    std::cout << report.ToJson() << std::endl;
    QCoreApplication::quit();
  });
  return QCoreApplication::exec();
}
