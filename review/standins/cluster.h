#ifndef REVIEW_STANDINS_CLUSTER_H_
#define REVIEW_STANDINS_CLUSTER_H_

#include <sys/types.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "executor.h"
#include "http.h"
#include "platform.h"

namespace review {

struct ClusterOptions {
  std::string program;  ///< Path of this program, which also runs the executors.
  std::string record;
  std::string directory;  ///< For settings files and logs.
  int entries = 7;
  int executors = 6;
  int64_t executor_cpu = 64000;
  int special_executor = -1;  ///< Executor of kind "b"; the others are of kind "a".
};

/// Outcome of a client's call.
struct Answer {
  int status = 0;  ///< 0 without a response.
  std::string body;
};

/// Entries as the deploy file starts them, executors as processes of their own, and the platform as
/// threads of this process. Everything has a loopback address.
class Cluster {
 public:
  /// @note The object has to live as long as the process, since its threads do not end.
  explicit Cluster(const ClusterOptions& options);

  /// Ends all processes that were started.
  void Stop();
  /// @return whether a job has been completed within 30 s.
  bool Start();
  const Record& record() const { return m_record; }
  const ClusterOptions& options() const { return m_options; }
  Platform& platform() { return m_platform; }
  const std::string& executor_id(int index) const {
    return m_executors[static_cast<size_t>(index)].id;
  }

  /// Cuts an executor off from the entries and the platform, or ends that.
  void SetCutOff(int index, bool cut_off);
  void KillExecutor(int index);
  /// Starts an executor, under the same id as before unless another one is given.
  void StartExecutor(int index, const std::string& id = {});

  /// Kills the process of an entry.
  void KillEntry(int index);
  void StartEntry(int index);
  /// @return the entry that owns the pool, or -1.
  int Owner();

  /// Writes a configuration: one pool, with a queue at /queue/ and one of lower priority at
  /// /second/.
  void Configure(int64_t version);
  Answer Submit(int entry, const std::string& job, const std::string& body,
                const std::string& queue = "queue");
  /// @return the state of a job, or the status of the response.
  std::string Show(int entry, const std::string& job, const std::string& queue = "queue");

 private:
  std::string Ip(int number) const { return m_prefix + std::to_string(number); }
  std::string SettingsOf(int entry) const;
  pid_t Spawn(const std::vector<std::string>& arguments, const std::string& environment,
              const std::string& log);

  ClusterOptions m_options;
  int64_t m_started_ms;
  std::string m_prefix;  // First three numbers of all addresses.
  Record m_record;
  Platform m_platform;
  std::vector<ExecutorOptions> m_executors;
  std::vector<pid_t> m_executor_pids;
  std::vector<pid_t> m_entry_pids;
  std::vector<std::unique_ptr<Proxy>> m_proxies;
};

/// Job of one step.
struct JobOptions {
  int replicas = 1;
  int64_t cpu = 1000;  ///< Thousandths of a core.
  int64_t ms = 250;    ///< Duration of each task.
  std::string required_label;
  int max_per_executor = 0;
  bool lasting = false;
  int times = 0;  ///< Occurrences of a scheduled job.
  int64_t first_due_ms = 0;
  int64_t interval_ms = 0;
};

/// @return the body of a submission.
std::string MakeJob(const JobOptions& options);
/// @return milliseconds since 1970.
int64_t UnixMs();
/// @return an unused job id.
std::string NewJobId();

}  // namespace review

#endif  // REVIEW_STANDINS_CLUSTER_H_
