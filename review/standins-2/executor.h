#ifndef CITRONFERRY_REVIEW_STANDINS_2_EXECUTOR_H_
#define CITRONFERRY_REVIEW_STANDINS_2_EXECUTOR_H_

#include <boost/json/fwd.hpp>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "http.h"
#include "store.h"

namespace review {

/// What the tasks of a step need and do.
struct StepModel {
  int replicas = 1;
  int cpu = 1000;
  int memory_mb = 256;
  int64_t work_ms = 200;
  bool lasts = false;
  bool fails = false;
  int max_per_executor = 0;
  int max_unavailable = 0;
};

struct JobModel {
  std::vector<StepModel> steps;
  int times = 0;
};

/// What the executors have seen of a job.
struct JobRuns {
  int64_t started = 0;
  int64_t done = 0;
  int64_t failed = 0;
  int64_t running = 0;
};

class Executor;

/// The executors of a service, with the jobs that clients have sent.
class Workers {
 public:
  Workers(Store& store, std::string service, int64_t max_hold_ms);

  /// Adds an executor, which registers at once.
  Executor& Add(int cpu, int memory_mb, const std::string& rack);
  void AddJob(const std::string& id, JobModel model);
  JobRuns RunsOf(const std::string& id);
  /// Checks a part of the rule TWICE: a task of the job was started after a run of it had ended as
  /// done, and that end has been taken note of.
  /// @return a description of the first such start; empty if there is none.
  std::string FindSecondRun(const std::string& id);
  /// @return the number of ends that executors have listed for longer than a time, and how many of
  ///   them were not taken note of in this time.
  std::pair<int, int> CountEnds(int64_t within_ms);
  /// @return CPU of what runs, and of the executors that are up, in thousandths of a core.
  std::pair<int64_t, int64_t> Load();
  /// @return the executor that has begun a task that does not last most recently; nullptr if none
  ///   has in the past time.
  Executor* LastStarter(int64_t within_ms);
  /// Lets an executor reject starts with 503, with its health good.
  void Refuse(Executor& executor, int64_t for_ms);
  /// The executor is lost for good.
  void Crash(Executor& executor);
  /// @return the body of GET /v1/machines.
  std::string Machines();
  /// Handles POST /v1/machine-upkeep: ends what runs on the machine, which comes back with a new
  /// executor.
  Response Upkeep(const std::string& body);
  /// @return the number of tasks that last, have run before, and have not run for a time.
  int CountAway(const std::string& id, int64_t for_ms);
  /// @return the memory that is free on the executor with most of it.
  int MostFreeMemory();
  const std::vector<std::unique_ptr<Executor>>& executors() const { return m_executors; }

 private:
  friend class Executor;

  /// A run of a task, for the check of TWICE.
  struct History {
    int64_t run = 0;
    std::string executor;
    int64_t started_at = 0;
    int64_t done_at = -1;
    int64_t ended_at = -1;
    int64_t listed_at = -1;  // As ended, for the first time.
    int64_t noted_at = -1;   // When lastSeen reached its end.
  };

  History* FindHistory(const std::string& task, int64_t run);
  /// Ends tasks and leases, and sends heartbeats.
  void Tick();

  Store& m_store;
  std::string m_service;
  int64_t m_max_hold_ms;
  std::mutex m_mutex;  // Of all executors.
  std::condition_variable m_ended;
  std::map<std::string, JobModel> m_jobs;
  std::map<std::string, JobRuns> m_runs;
  std::map<std::string, std::vector<History>> m_histories;  // By task.
  std::vector<std::unique_ptr<Executor>> m_executors;
  std::set<std::string> m_maintained;  // Waves and machines.
  int m_last_executor = 0;
};

/// One life of an executor that is told by calls what to run.
class Executor {
 public:
  Executor(Workers& workers, std::string id, std::string machine, int cpu, int memory_mb,
           std::string rack);

  const std::string& id() const { return m_id; }
  const std::string& machine() const { return m_machine; }

 private:
  friend class Workers;

  struct Active {
    std::string task;
    int64_t run = 0;
    StepModel model;
    int64_t started_at = 0;
    int64_t ends_at = 0;  // Of tasks that do not last, and of those that stop or fail.
    std::string end = "done";
  };

  Response Handle(const Request& request);
  Response Start(const boost::json::object& call);
  Response Stop(const boost::json::object& call);
  Response Hold(const boost::json::object& call, std::unique_lock<std::mutex>& lock);
  Response Refuse(const std::string& reason) const;
  bool IsFenced(const boost::json::object& call);
  void Extend(const boost::json::object& call);
  int64_t clock() const;
  void Finish(const Active& active, const std::string& end);
  void Heartbeat();
  /// @return the model of a task; nullptr if no client has sent it.
  const StepModel* FindModel(const std::string& task) const;
  boost::json::object Describe(const std::string& state) const;

  Workers& m_workers;
  std::string m_id;
  std::string m_machine;
  int m_cpu;
  int m_memory_mb;
  std::string m_rack;
  int64_t m_born;
  int64_t m_born_at;  // On the steady clock.
  int64_t m_token = 0;
  int64_t m_lease_until = 0;
  int64_t m_last_end = 0;
  int64_t m_heartbeat_at = 0;
  int64_t m_sequence = 0;
  int64_t m_refuses_until = 0;
  bool m_up = true;
  int64_t m_back_at = 0;  // When the machine is back from its upkeep; 0 if it is not in one.
  std::vector<Active> m_active;
  std::deque<std::tuple<int64_t, std::string, int64_t, std::string>> m_ends;
  std::map<std::string, int64_t> m_highest_run;  // Stopped or ended here, by task.
  int64_t m_started_at = 0;                      // Last start of a task that does not last.
  Server m_server;
};

}  // namespace review

#endif  // CITRONFERRY_REVIEW_STANDINS_2_EXECUTOR_H_
