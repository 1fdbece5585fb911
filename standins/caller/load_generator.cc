#include "standins/caller/load_generator.h"

namespace citronferry::standin {
namespace {

constexpr Duration kRetryDelay = 200ms;
constexpr Duration kJoinTimeout = 120s;

bool IsRetryable(const RetVal<http::Response>& response) {
  if (!response.ok()) return true;
  const std::string_view outcome = http::FindHeader(response->headers, "Citronferry-Outcome");
  return outcome == "not-run" || outcome == "unknown";
}

}  // namespace

QCoro::Task<LoadReport> LoadGenerator::Run() {
  const TimePoint start = m_timers.Now();
  double due_requests = 0;
  TimePoint last = start;
  int number = 0;
  while (m_timers.Now() - start < m_options.duration) {
    const TimePoint now = m_timers.Now();
    due_requests += RateAt(now - start) * ToSeconds(now - last);
    last = now;
    for (; due_requests >= 1; due_requests -= 1) {
      ++number;
      m_tasks.Spawn([this, number]() -> QCoro::Task<void> { return SendRequest(number); });
    }
    co_await SleepFor(m_timers, 2ms);
  }
  const Ret joined = co_await m_tasks.Join(m_timers, kJoinTimeout);
  if (!joined) m_report.outcomes["no-answer"] += static_cast<int>(m_tasks.running());
  co_return m_report;
}

double LoadGenerator::RateAt(Duration elapsed) const {
  const bool surge =
      elapsed >= m_options.surge_start && elapsed < m_options.surge_start + m_options.surge_length;
  return surge ? m_options.rate * m_options.surge_factor : m_options.rate;
}

QCoro::Task<void> LoadGenerator::SendRequest(int number) {
  const std::string key = m_options.key_prefix + "-" + std::to_string(number);
  const TimePoint start = m_timers.Now();
  std::string failure = "no-connection";
  for (int attempt = 0; attempt < m_options.max_attempts; ++attempt) {
    if (attempt > 0) co_await SleepFor(m_timers, kRetryDelay);
    const size_t target = static_cast<size_t>(number + attempt) % m_options.targets.size();
    http::ClientRequest request = BuildRequest(key, m_options.targets[target]);
    ++m_report.attempts;
    const auto response = co_await m_client.Send(std::move(request));
    if (response.ok() && (!IsRetryable(response) || attempt + 1 == m_options.max_attempts)) {
      RecordResponse(key, response.value(), m_timers.Now() - start);
      co_return;
    }
    if (!response.ok() && response.code() == ErrorCode::kUnknownOutcome) failure = "no-answer";
  }
  ++m_report.outcomes[failure];
}

http::ClientRequest LoadGenerator::BuildRequest(const std::string& key,
                                                const std::string& target) const {
  http::ClientRequest request;
  request.method = "POST";
  request.url = target + m_options.path;
  request.headers.push_back({"Authorization", "Bearer " + m_options.token});
  request.headers.push_back({"Idempotency-Key", key});
  request.headers.push_back({"Citronferry-Request-Id", key});
  request.headers.push_back(
      {"Citronferry-Deadline-Ms", std::to_string(ToMilliseconds(m_options.deadline))});
  request.body = QByteArray::fromStdString("body of " + key);
  request.timeout = m_options.deadline + 1s;
  return request;
}

void LoadGenerator::RecordResponse(const std::string& key, const http::Response& response,
                                   Duration latency) {
  std::string outcome(http::FindHeader(response.headers, "Citronferry-Outcome"));
  if (outcome.empty()) outcome = response.status == 200 ? "answered" : "refused";
  ++m_report.outcomes[outcome];
  if (outcome != "answered") return;
  m_report.latencies.push_back(latency);
  if (!response.body.endsWith(QByteArray::fromStdString("body of " + key))) {
    ++m_report.mismatched_responses;
  }
}

}  // namespace citronferry::standin
