#include "telemetry/log.h"

#include <algorithm>
#include <array>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <memory>

#include "telemetry/bounded_log_writer.h"

namespace citronferry {
namespace {

namespace logging = boost::log;
using Sink = logging::sinks::synchronous_sink<logging::sinks::text_ostream_backend>;

constexpr std::array<std::string_view, 4> kLevelNames{"debug", "info", "warning", "error"};

LogLevel& MinimumLevel() {
  static LogLevel level = LogLevel::kInfo;
  return level;
}

void AppendTimestamp(std::string& out) {
  const auto now = std::chrono::system_clock::now();
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  const auto fraction =
      std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()) %
      std::chrono::seconds(1);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 40> text{};
  const size_t length = std::strftime(text.data(), text.size(), "%FT%T", &utc);
  std::snprintf(text.data() + length, text.size() - length, ".%06dZ",
                static_cast<int>(fraction.count()));
  AppendJsonString(out, text.data());
}

std::unique_ptr<BoundedLogWriter>& BoundedWriter() {
  static std::unique_ptr<BoundedLogWriter> writer;
  return writer;
}

/// Boost.Log sink backend that passes the lines to the bounded writer.
class BoundedBackend
    : public logging::sinks::basic_formatted_sink_backend<char,
                                                          logging::sinks::synchronized_feeding> {
 public:
  // The name is required by Boost.Log.
  void consume(const logging::record_view&,  // NOLINT(readability-identifier-naming)
               const string_type& line) {
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    BoundedWriter()->Append(line, std::chrono::duration_cast<Duration>(now));
  }
};

/// Visitor that appends the JSON encoding of a field's value.
struct ValueWriter {
  std::string& out;
  void operator()(std::string_view text) const { AppendJsonString(out, text); }
  void operator()(bool flag) const { out += flag ? "true" : "false"; }
  void operator()(int64_t number) const { out += std::to_string(number); }
  void operator()(double number) const {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.6g", number);
    out += text.data();
  }
};

}  // namespace

void AppendJsonString(std::string& out, std::string_view text) {
  out += '"';
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (byte < 0x20) {
      std::array<char, 8> escaped{};
      std::snprintf(escaped.data(), escaped.size(), "\\u%04x", byte);
      out += escaped.data();
    } else {
      out += c;
    }
  }
  out += '"';
}

void InitLogging(LogLevel level, std::ostream& stream) {
  MinimumLevel() = level;
  auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
  backend->add_stream(boost::shared_ptr<std::ostream>(&stream, [](std::ostream*) {}));
  backend->auto_flush(true);
  logging::core::get()->remove_all_sinks();
  logging::core::get()->add_sink(boost::make_shared<Sink>(backend));
}

void InitBoundedLogging(LogLevel level, int descriptor) {
  MinimumLevel() = level;
  BoundedWriter() = std::make_unique<BoundedLogWriter>(descriptor);
  auto backend = boost::make_shared<BoundedBackend>();
  logging::core::get()->remove_all_sinks();
  logging::core::get()->add_sink(
      boost::make_shared<logging::sinks::synchronous_sink<BoundedBackend>>(backend));
}

void FlushLog() {
  if (BoundedWriter()) BoundedWriter()->Flush();
}

void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  if (level < MinimumLevel()) return;
  std::string line = "{\"time\":";
  AppendTimestamp(line);
  line += ",\"level\":";
  AppendJsonString(line, kLevelNames[static_cast<size_t>(level)]);
  line += ",\"event\":";
  AppendJsonString(line, event);
  for (const LogField& field : fields) {
    line += ',';
    AppendJsonString(line, field.key);
    line += ':';
    std::visit(ValueWriter{line}, field.value);
  }
  line += '}';
  static logging::sources::severity_logger_mt<LogLevel> logger;
  BOOST_LOG_SEV(logger, level) << line;
}

std::optional<LogLevel> ParseLogLevel(std::string_view name) {
  const auto found = std::find(kLevelNames.begin(), kLevelNames.end(), name);
  if (found == kLevelNames.end()) return std::nullopt;
  return static_cast<LogLevel>(found - kLevelNames.begin());
}

}  // namespace citronferry
