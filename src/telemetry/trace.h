#ifndef CITRONFERRY_TELEMETRY_TRACE_H_
#define CITRONFERRY_TELEMETRY_TRACE_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace citronferry {

/// Identity of a span, as propagated in the W3C traceparent header.
struct TraceContext {
  std::string trace_id;  ///< 32 lower-case hexadecimal digits.
  std::string span_id;   ///< 16 lower-case hexadecimal digits.
  bool sampled = true;   ///< Only sampled spans are logged.

  /// @return the traceparent header value.
  std::string ToHeader() const;
  /// @return the context in a traceparent header value, or nothing if the value is invalid.
  static std::optional<TraceContext> Parse(std::string_view traceparent);
  /// @return a new root context with random identifiers.
  static TraceContext NewRoot();
};

/// Timed operation of a trace, such as one hop of a request. Logs the event "span" when destroyed.
class Span {
 public:
  /// @param parent the caller's context, or nothing for a root span.
  Span(std::string_view name, const std::optional<TraceContext>& parent);
  Span(const Span&) = delete;
  Span& operator=(const Span&) = delete;
  ~Span();

  const TraceContext& context() const { return m_context; }
  /// Adds a tag to the log line; a key that is set twice appears twice.
  void SetTag(std::string_view key, std::string_view value);

 private:
  std::string m_name;
  TraceContext m_context;
  std::string m_parent_id;
  std::chrono::steady_clock::time_point m_start;
  std::vector<std::pair<std::string, std::string>> m_tags;
};

}  // namespace citronferry

#endif  // CITRONFERRY_TELEMETRY_TRACE_H_
