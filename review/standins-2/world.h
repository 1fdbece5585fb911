#ifndef CITRONFERRY_REVIEW_STANDINS_2_WORLD_H_
#define CITRONFERRY_REVIEW_STANDINS_2_WORLD_H_

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

#include "executor.h"
#include "http.h"
#include "store.h"

namespace review {

/// A queue of the configuration. Its prefix is "/NAME/".
struct Queue {
  std::string name;
  int priority = 0;
  int max_attempts = 3;
};

/// What differs between the small deployments.
struct Site {
  std::string service;
  int executor_cpu = 0;
  int executor_memory_mb = 0;
  int64_t max_hold_ms = 0;
  std::string bounds;  ///< Lines of the settings.
};

/// @return the site packstring-cf with one service.
Site PackstringSite();
/// @return the site ndf-dakar with one service.
Site NdfSite();

/// A small deployment: the platform, one service, and entries of the program as it is deployed.
class World {
 public:
  /// @param program path of the program.
  /// @param folder for the settings and logs of the entries.
  World(std::string program, std::string folder, Site site, std::vector<Queue> queues);
  /// Ends the entries. The object is not destroyed, since the threads of its servers use it.
  void Stop();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  Workers& workers() { return m_workers; }
  Store& store() { return m_store; }

  /// Adds executors of the site's size, four of them in a rack.
  void AddExecutors(int count);
  /// Starts the entries and waits until all are ready.
  /// @return whether they are.
  bool Start(int entries);
  /// Kills the process that last wrote to the store under a condition, and starts it again after a
  /// time.
  /// @return whether there is one.
  bool RestartLastWriter(int64_t after_ms);
  /// Writes op/wave/N.
  void AnnounceWave(int number, const std::vector<std::string>& machines, int complete_by_s,
                    int max_count);
  /// @return whether all entries run.
  bool AllRun();
  /// Hands a job in, as clients do: again with the same id after no answer, 502, 503 or 504.
  /// @return its id; empty if it was not accepted.
  std::string Submit(const std::string& queue, const JobModel& model, int64_t first_due_ms = 0,
                     int64_t interval_ms = 0);
  /// @return the state that the entries show; empty if none answers.
  std::string StateOf(const std::string& queue, const std::string& job);
  /// Cancels a job.
  /// @return whether that was acknowledged.
  bool Cancel(const std::string& queue, const std::string& job);
  /// Waits until a job is shown as completed.
  bool WaitUntilCompleted(const std::string& queue, const std::string& job, int64_t for_ms);

 private:
  struct Entry {
    pid_t process = -1;
    std::string name;
    std::string ip;
    std::string front;
    std::string readiness;
    std::string settings;
    std::string log;
  };

  void Launch(Entry& entry);
  std::string Configuration(const std::vector<Queue>& queues) const;

  std::string m_program;
  std::string m_folder;
  Site m_site;
  Store m_store;
  Workers m_workers;
  Server m_machines;
  std::vector<Entry> m_entries;
  size_t m_next_entry = 0;
  int m_last_job = 0;
};

}  // namespace review

#endif  // CITRONFERRY_REVIEW_STANDINS_2_WORLD_H_
