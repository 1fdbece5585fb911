#ifndef REVIEW_STANDINS_EXECUTOR_H_
#define REVIEW_STANDINS_EXECUTOR_H_

#include <cstdint>
#include <string>

namespace review {

struct ExecutorOptions {
  std::string id;
  std::string pool;
  std::string ip;
  int port = 0;
  std::string announced;  ///< Address under which it registers: its own, or that of a proxy.
  std::string platform;   ///< Address of the platform.
  std::string record;
  int64_t started_ms = 0;  ///< Of the case, for the record.
  std::string kind;
  int64_t cpu = 0;
};

/// Runs an executor until the process is killed.
int RunExecutor(const ExecutorOptions& options);

}  // namespace review

#endif  // REVIEW_STANDINS_EXECUTOR_H_
