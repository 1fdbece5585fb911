#include "fleet/pool/internal/jobs_view.h"

namespace citronferry::fleet {
namespace {

// Bounds the memory while the feed stands still; the commits of half a minute in a surge.
constexpr size_t kMaxUnread = 1'000;

}  // namespace

void JobsView::OnLoaded(int64_t clock_ms, TimePoint now) {
  m_complete = {.clock_ms = clock_ms, .at = now};
}

void JobsView::OnCommitted(int64_t version, int64_t clock_ms, TimePoint sent_at) {
  if (m_unread.size() >= kMaxUnread) return;
  m_unread.push_back({.version = version, .clock_ms = clock_ms, .at = sent_at});
}

void JobsView::OnRead(int64_t version) {
  while (!m_unread.empty() && m_unread.front().version <= version) {
    const Moment& passed = m_unread.front();
    m_complete.at = passed.at;
    if (passed.clock_ms != 0) m_complete.clock_ms = passed.clock_ms;
    m_unread.pop_front();
  }
}

}  // namespace citronferry::fleet
