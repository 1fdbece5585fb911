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
  bool outage = false;        ///< Every call is answered with 503.
  Duration delay{};           ///< Added before each answer.
  int failing_writes = 0;     ///< So many writes take effect but are answered with 500.
  bool unresponsive = false;  ///< Calls are accepted and never answered.
  Duration reboot_time = 2s;  ///< Time an instance is absent while it reboots.
};

/// Stand-in for the platform: table service, object store, instance list and reboots.
class PlatformStandin {
 public:
  explicit PlatformStandin(TimerService& timers) : m_timers(timers) {}

  QCoro::Task<http::Response> Handle(http::Request request);
  /// Adds the instances of a JSON array.
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
