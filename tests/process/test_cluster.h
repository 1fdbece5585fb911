#ifndef CITRONFERRY_TESTS_PROCESS_TEST_CLUSTER_H_
#define CITRONFERRY_TESTS_PROCESS_TEST_CLUSTER_H_

#include <QProcess>
#include <QTemporaryDir>
#include <memory>
#include <string>
#include <vector>

#include "http/client.h"
#include "provider/provider_module.h"
#include "standins/caller/load_generator.h"
#include "supervision/task_scope.h"

namespace citronferry::test {

/// One process of the rig.
class ClusterProcess {
 public:
  ClusterProcess(const QString& program, const QStringList& arguments, const QString& log_file);
  ~ClusterProcess();
  ClusterProcess(const ClusterProcess&) = delete;
  ClusterProcess& operator=(const ClusterProcess&) = delete;

  void Signal(int signal);
  /// @return whether the process has ended; waits for it within the test's bound.
  bool WaitForExit();
  int exit_code() const { return m_process.exitCode(); }
  QByteArray log() const;

 private:
  QProcess m_process;
  QString m_log_file;
};

struct TestClusterOptions {
  int entries = 3;
  int backends = 4;
  std::string environment = "trial";
};

/// Runs entries, backend server stand-ins and a platform stand-in as processes on loopback.
class TestCluster {
 public:
  explicit TestCluster(TestClusterOptions options);
  ~TestCluster();

  /// Publishes a configuration and waits until every entry is ready.
  bool StartServing();
  /// Prints the ends of the processes' logs, for a start that failed.
  void PrintLogs() const;
  /// @return the standard document, with a queue limit that tells versions apart.
  std::string MakeDocument(int max_queued) const;
  bool PublishConfiguration(uint64_t version, const std::string& text);

  standin::LoadReport RunLoad(const std::string& queue, const std::string& prefix, double rate,
                              Duration duration, int attempts);
  /// Starts a load; the report is complete when the pointer is set.
  void StartLoad(standin::LoadOptions options, std::unique_ptr<standin::LoadReport>& report);
  standin::LoadOptions MakeLoadOptions(const std::string& queue, const std::string& prefix,
                                       double rate, Duration duration, int attempts) const;

  /// Sends a request and waits for its answer.
  RetVal<http::Response> Call(http::ClientRequest request);
  RetVal<http::Response> Get(const std::string& url);
  void SetPlatformSwitches(const std::string& json);
  void SetBackendSwitches(size_t backend, const std::string& json);
  /// @return a count reported by a backend server: requests, runs, repeated or max_running.
  int ReadBackendCounter(size_t backend, const char* name);
  int SumBackendCounters(const char* name);

  ClusterProcess& entry(size_t index) { return *m_entries[index]; }
  std::string admin_url(size_t index) const;
  std::string caller_url(size_t index) const;
  std::string platform_url() const;
  TimerService& timers() { return *m_timers; }
  TaskScope& tasks() { return m_tasks; }

 private:
  void StartPlatform();
  void StartBackend(int index);
  void StartEntry(int index);
  bool RegisterBackends();

  TestClusterOptions m_options;
  QTemporaryDir m_directory;
  std::unique_ptr<TimerService> m_timers;
  TaskScope m_tasks;
  http::Client m_client;
  quint16 m_platform_port = 0;
  std::vector<quint16> m_backend_ports;
  std::vector<quint16> m_caller_ports;
  std::vector<quint16> m_admin_ports;
  std::unique_ptr<ClusterProcess> m_platform;
  std::vector<std::unique_ptr<ClusterProcess>> m_backends;
  std::vector<std::unique_ptr<ClusterProcess>> m_entries;
};

}  // namespace citronferry::test

#endif  // CITRONFERRY_TESTS_PROCESS_TEST_CLUSTER_H_
