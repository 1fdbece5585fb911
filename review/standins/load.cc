#include "load.h"

#include <algorithm>
#include <chrono>

namespace review {
namespace {

constexpr int kAttempts = 5;
constexpr int kRetryMs = 1000;

void Sleep(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

}  // namespace

Load::Load(Cluster& cluster, const Options& options) : m_cluster(cluster), m_options(options) {
  for (int i = 0; i < options.clients; ++i) m_threads.emplace_back([this, i] { Run(i); });
}

void Load::Stop() {
  m_stop = true;
  for (std::thread& thread : m_threads) thread.join();
  m_threads.clear();
}

void Load::Run(int client) {
  while (!m_stop) {
    const std::string job = NewJobId();
    for (int attempt = 0; attempt < kAttempts; ++attempt) {
      const int entry = (client + attempt) % m_cluster.options().entries;
      const Answer answer = m_cluster.Submit(entry, job, m_options.job, m_options.queue);
      {
        const std::lock_guard lock(m_mutex);
        m_statuses[job].push_back(answer.status);
      }
      if (answer.status == 200) break;
      if (answer.status == 503 || answer.status == 429) Sleep(kRetryMs);
    }
    Sleep(m_options.pause_ms);
  }
}

bool Load::WaitForJobs(int timeout_ms) {
  const int64_t deadline = NowMs() + timeout_ms;
  for (const std::string& job : AcceptedJobs()) {
    while (m_cluster.Show(0, job, m_options.queue) != "completed") {
      if (NowMs() > deadline) return false;
      Sleep(100);
    }
  }
  return true;
}

std::vector<std::string> Load::AcceptedJobs() {
  std::vector<std::string> accepted;
  for (const auto& [job, answers] : statuses()) {
    if (std::find(answers.begin(), answers.end(), 200) != answers.end()) accepted.push_back(job);
  }
  return accepted;
}

std::map<std::string, std::vector<int>> Load::statuses() {
  const std::lock_guard lock(m_mutex);
  return m_statuses;
}

}  // namespace review
