#ifndef CITRONFERRY_STANDINS_PLATFORM_PLATFORM_STANDIN_H_
#define CITRONFERRY_STANDINS_PLATFORM_PLATFORM_STANDIN_H_

#include <map>
#include <string>

#include "http/server.h"
#include "standins/platform/instance_list.h"
#include "standins/platform/table_store.h"

namespace citronferry::standin {

/// Faults that the stand-in injects, set with PUT /standin/switches.
struct PlatformSwitches {
  bool outage = false;        ///< Responds to every request with 503.
  Duration delay{};           ///< Delay before each response.
  int failing_writes = 0;     ///< Number of next writes that take effect but get a response of 500.
  bool unresponsive = false;  ///< Accepts requests but never responds.
  Duration reboot_time = 2s;  ///< Time for which a rebooting instance is not listed.
};

/// Simulates the platform in memory: table service, object store, instance list and reboots.
class PlatformStandin {
 public:
  explicit PlatformStandin(TimerService& timers) : m_timers(timers) {}

  /// Handles one HTTP request to the platform's interface or to the controls under /standin/.
  QCoro::Task<http::Response> Handle(http::Request request);
  /// Adds instances, each an object with at least the field "id".
  void LoadInstances(const QJsonArray& instances);

 private:
  http::Response Route(const http::Request& request);
  http::Response ListInstances(const http::Request& request);
  http::Response HandleRow(const http::Request& request, std::string_view table,
                           std::string_view key);
  http::Response ReadRow(std::string_view table, std::string_view key);
  http::Response WriteRow(const http::Request& request, std::string_view table,
                          std::string_view key);
  http::Response DeleteRow(const http::Request& request, std::string_view table,
                           std::string_view key);
  http::Response ReadChanges(std::string_view table, std::string_view query);
  http::Response HandleObject(const http::Request& request, std::string_view key);
  http::Response HandleReboot(const std::string& id);
  http::Response HandleControl(const http::Request& request, std::string_view path);

  TimerService& m_timers;
  PlatformSwitches m_switches;
  TableStore m_tables;
  std::map<std::string, QByteArray, std::less<>> m_objects;
  InstanceList m_instances;
  std::map<std::string, Subscription> m_reboots;
};

}  // namespace citronferry::standin

#endif  // CITRONFERRY_STANDINS_PLATFORM_PLATFORM_STANDIN_H_
