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

/// Child process of a test cluster. The destructor kills it.
class ClusterProcess {
 public:
  /// Starts the process.
  /// @param log_file file that receives standard error; standard output is discarded.
  ClusterProcess(const QString& program, const QStringList& arguments, const QString& log_file);
  ~ClusterProcess();
  ClusterProcess(const ClusterProcess&) = delete;
  ClusterProcess& operator=(const ClusterProcess&) = delete;

  void Signal(int signal);
  /// Waits up to 20 s for the process to exit.
  /// @return whether the process has exited.
  bool WaitForExit();
  int exit_code() const { return m_process.exitCode(); }
  /// @return what the process has written to standard error so far.
  QByteArray log() const;

 private:
  QProcess m_process;
  QString m_log_file;
};

/// Numbers of processes and the environment name of a test cluster.
struct TestClusterOptions {
  int entries = 3;
  int backends = 4;
  std::string environment = "trial";
};

/// Runs entries, backend server stand-ins and a platform stand-in as child processes on loopback.
class TestCluster {
 public:
  explicit TestCluster(TestClusterOptions options);
  ~TestCluster();

  /// Registers the backend servers, publishes a configuration, and waits until every entry is ready
  /// and answers requests.
  /// @return whether all steps succeeded. Prints the logs if the entries do not answer in time.
  bool StartServing();
  /// Prints the last part of the logs of the entries and of the platform stand-in.
  void PrintLogs() const;
  /// @param max_queued limit of each queue; a different limit makes a different document version.
  /// @return a document with the non-idempotent queue "tally" and the idempotent queue "manifest".
  std::string MakeDocument(int max_queued) const;
  /// Stores a document and writes the configuration row that refers to it.
  /// @param version version of the configuration row; 1 creates the row.
  /// @param text configuration document.
  bool PublishConfiguration(uint64_t version, const std::string& text);

  /// Sends requests to the entries in turn and waits for the report.
  /// @param rate requests per second.
  /// @param attempts attempts per request, each at the next entry.
  /// @return an empty report on a timeout.
  standin::LoadReport RunLoad(const std::string& queue, const std::string& prefix, double rate,
                              Duration duration, int attempts);
  /// Starts a load generator in the background.
  /// @param report set when the load generator has finished; must outlive it.
  void StartLoad(standin::LoadOptions options, std::unique_ptr<standin::LoadReport>& report);
  /// @param prefix prefix of the idempotency keys.
  /// @param rate requests per second.
  /// @param attempts attempts per request, each at the next entry.
  standin::LoadOptions MakeLoadOptions(const std::string& queue, const std::string& prefix,
                                       double rate, Duration duration, int attempts) const;

  /// Sends a request and processes events until its response arrives.
  RetVal<http::Response> Call(http::ClientRequest request);
  RetVal<http::Response> Get(const std::string& url);
  void SetPlatformSwitches(const std::string& json);
  void SetBackendSwitches(size_t backend, const std::string& json);
  /// @param name counter of the backend server: requests, runs, repeated or max_running.
  /// @return the value of the counter; -1 if it cannot be read.
  int ReadBackendCounter(size_t backend, const char* name);
  /// @return the sum of a counter over all backend servers.
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
