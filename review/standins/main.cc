// Stand-ins and cases of the review.
//
//   standin case NAME RECORD DIRECTORY      runs a case in the root of the repository
//   standin executor ...                    runs an executor, for a case

#include <signal.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>

#include "cases.h"

int main(int argc, char** argv) {
  using namespace review;  // NOLINT(google-build-using-namespace)
  signal(SIGPIPE, SIG_IGN);
  const std::string role = argc > 1 ? argv[1] : "";
  if (role == "executor" && argc == 12) {
    return RunExecutor({.id = argv[2],
                        .pool = argv[3],
                        .ip = argv[4],
                        .port = std::atoi(argv[5]),
                        .announced = argv[6],
                        .platform = argv[7],
                        .record = argv[8],
                        .started_ms = std::atoll(argv[9]),
                        .kind = argv[11],
                        .cpu = std::atoll(argv[10])});
  }
  const std::map<std::string, std::function<Verdict(Cluster&, bool)>> cases{
      {"restart-behind-cut", RunRestartBehindCut},
      {"store-down", RunStoreDown},
      {"scheduled-job", RunScheduledJob},
      {"lost-kind", RunLostKind},
      {"whole-executors", RunWholeExecutors}};
  const auto found = argc == 5 ? cases.find(argv[2]) : cases.end();
  if (role != "case" || found == cases.end()) {
    std::fprintf(stderr, "usage: standin case NAME RECORD DIRECTORY\n");
    return static_cast<int>(Verdict::kNotRun);
  }
  const char* trouble = std::getenv("TROUBLE");
  ClusterOptions options{.program = argv[0], .record = argv[3], .directory = argv[4]};
  if (found->first == "lost-kind") {
    options.executors = 8;
    options.special_executor = 7;
  }
  Cluster cluster(options);
  const Verdict verdict = found->second(cluster, !trouble || std::string(trouble) != "0");
  cluster.Stop();
  // The threads of the stand-ins are still running, so no destructor may run.
  _exit(static_cast<int>(verdict));
}
