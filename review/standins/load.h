#ifndef REVIEW_STANDINS_LOAD_H_
#define REVIEW_STANDINS_LOAD_H_

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "cluster.h"

namespace review {

/// Clients that submit jobs until they are told to stop. Each client submits one job after the
/// other, and repeats a submission at another entry up to four times: after a second if it was
/// rejected, and at once if there was no answer.
class Load {
 public:
  struct Options {
    int clients = 8;
    int pause_ms = 300;  ///< Between the jobs of a client.
    std::string job;     ///< Body of each submission.
    std::string queue = "queue";
  };

  Load(Cluster& cluster, const Options& options);
  ~Load() { Stop(); }

  void Stop();
  /// Waits until all accepted jobs have ended.
  /// @return whether they have.
  bool WaitForJobs(int timeout_ms);
  /// @return the jobs that were accepted.
  std::vector<std::string> AcceptedJobs();
  /// @return the statuses that were answered to the submissions of each job.
  std::map<std::string, std::vector<int>> statuses();

 private:
  void Run(int client);

  Cluster& m_cluster;
  Options m_options;
  std::atomic<bool> m_stop = false;
  std::mutex m_mutex;
  std::map<std::string, std::vector<int>> m_statuses;
  std::vector<std::thread> m_threads;
};

}  // namespace review

#endif  // REVIEW_STANDINS_LOAD_H_
