#ifndef CITRONFERRY_TELEMETRY_LOG_H_
#define CITRONFERRY_TELEMETRY_LOG_H_

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <variant>

namespace citronferry {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// One key and value of a log line.
struct LogField {
  LogField(std::string_view name, std::string_view text) : key(name), value(text) {}
  LogField(std::string_view name, const char* text) : key(name), value(std::string_view(text)) {}
  LogField(std::string_view name, const std::string& text)
      : key(name), value(std::string_view(text)) {}
  LogField(std::string_view name, bool flag) : key(name), value(flag) {}
  template <std::integral T>
  LogField(std::string_view name, T number) : key(name), value(static_cast<int64_t>(number)) {}
  template <std::floating_point T>
  LogField(std::string_view name, T number) : key(name), value(static_cast<double>(number)) {}

  std::string_view key;
  std::variant<std::string_view, bool, int64_t, double> value;
};

/// Sets up logging of the process: one JSON object a line.
/// @param level lowest level that is written.
/// @param stream destination, which must outlive the process's logging.
void InitLogging(LogLevel level, std::ostream& stream);

/// Sets up logging that never waits for its reader: lines beyond a rate or a buffer are left out
/// and counted. FlushLog has to be called from time to time.
/// @param descriptor destination, such as that of standard output.
void InitBoundedLogging(LogLevel level, int descriptor);

/// Writes the lines that wait, as far as the reader takes them.
void FlushLog();

/// Writes one log line.
/// @param event stable name of the event in snake_case, documented in docs/OPERATIONS.md.
void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/// @return the level of a name (debug, info, warning, error), or nothing if it is unknown.
std::optional<LogLevel> ParseLogLevel(std::string_view name);

/// Appends text to a JSON document as a quoted string.
void AppendJsonString(std::string& out, std::string_view text);

}  // namespace citronferry

#endif  // CITRONFERRY_TELEMETRY_LOG_H_
