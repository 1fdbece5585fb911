#include "telemetry/trace.h"

#include <sodium.h>

#include <algorithm>
#include <array>

#include "telemetry/log.h"

namespace citronferry {
namespace {

constexpr size_t kTraceIdLength = 32;
constexpr size_t kSpanIdLength = 16;
constexpr size_t kHeaderLength = 55;  // Version, trace id, span id and flags, separated by '-'.

std::string RandomHex(size_t digits) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(digits, '0');
  std::array<unsigned char, kTraceIdLength> bytes{};
  randombytes_buf(bytes.data(), digits);
  for (size_t i = 0; i < digits; ++i) text[i] = kDigits[bytes[i] & 0xf];
  return text;
}

bool IsLowerHex(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

bool IsAllZero(std::string_view text) { return text.find_first_not_of('0') == text.npos; }

}  // namespace

std::string TraceContext::ToHeader() const {
  return "00-" + trace_id + "-" + span_id + (sampled ? "-01" : "-00");
}

std::optional<TraceContext> TraceContext::Parse(std::string_view traceparent) {
  if (traceparent.size() != kHeaderLength || !traceparent.starts_with("00-")) return std::nullopt;
  if (traceparent[35] != '-' || traceparent[52] != '-') return std::nullopt;
  const std::string_view trace_id = traceparent.substr(3, kTraceIdLength);
  const std::string_view span_id = traceparent.substr(36, kSpanIdLength);
  const std::string_view flags = traceparent.substr(53);
  if (!IsLowerHex(trace_id) || !IsLowerHex(span_id) || !IsLowerHex(flags)) return std::nullopt;
  if (IsAllZero(trace_id) || IsAllZero(span_id)) return std::nullopt;
  const int low_digit = flags[1] <= '9' ? flags[1] - '0' : flags[1] - 'a' + 10;
  return TraceContext{.trace_id = std::string(trace_id),
                      .span_id = std::string(span_id),
                      .sampled = (low_digit & 1) != 0};
}

TraceContext TraceContext::NewRoot() {
  return {.trace_id = RandomHex(kTraceIdLength), .span_id = RandomHex(kSpanIdLength)};
}

Span::Span(std::string_view name, const std::optional<TraceContext>& parent)
    : m_name(name),
      m_context(parent ? *parent : TraceContext::NewRoot()),
      m_start(std::chrono::steady_clock::now()) {
  if (!parent) return;
  m_parent_id = parent->span_id;
  m_context.span_id = RandomHex(kSpanIdLength);
}

Span::~Span() {
  if (!m_context.sampled) return;
  const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - m_start);
  std::string tags;
  for (const auto& [key, value] : m_tags) {
    if (!tags.empty()) tags += ' ';
    tags += key + "=" + value;
  }
  Log(LogLevel::kInfo, "span",
      {{"name", m_name},
       {"trace_id", m_context.trace_id},
       {"span_id", m_context.span_id},
       {"parent_id", m_parent_id},
       {"duration_us", elapsed.count()},
       {"tags", tags}});
}

void Span::SetTag(std::string_view key, std::string_view value) { m_tags.emplace_back(key, value); }

}  // namespace citronferry
