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

/// Key and value of a log line. It refers to its texts, which must outlive it.
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

/// Initialises logging for the process, with one JSON object per line.
/// @param level minimum level of the lines that are written.
/// @param stream destination; it must outlive all logging of the process.
void InitLogging(LogLevel level, std::ostream& stream);

/// Initialises logging that never blocks on a slow reader: lines beyond a rate limit or a full
/// buffer are dropped and counted. FlushLog must be called periodically.
/// @param level minimum level of the lines that are written.
/// @param descriptor file descriptor of the destination, such as standard output.
void InitBoundedLogging(LogLevel level, int descriptor);

/// Writes buffered lines as far as the destination accepts them without blocking. Does nothing
/// unless InitBoundedLogging was called.
void FlushLog();

/// Writes one log line.
/// @param event stable name of the event in snake_case, documented in docs/OPERATIONS.md.
void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/// @return the level with this name (debug, info, warning, error), or nothing if it is unknown.
std::optional<LogLevel> ParseLogLevel(std::string_view name);

/// Appends a text to a JSON document as a quoted and escaped string.
void AppendJsonString(std::string& out, std::string_view text);

}  // namespace citronferry

#endif  // CITRONFERRY_TELEMETRY_LOG_H_
