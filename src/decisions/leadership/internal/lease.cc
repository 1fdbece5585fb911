#include "decisions/leadership/lease.h"

#include <algorithm>
#include <array>
#include <utility>

namespace citronferry::leadership {

std::vector<Action> Lease::Handle(const Event& event, TimePoint now) {
  using Handler = void (Lease::*)(const Event&);
  // In the order of the alternatives of Event.
  static constexpr std::array<Handler, std::variant_size_v<Event>> kHandlers{
      &Lease::OnTick,           &Lease::OnRowRead,          &Lease::OnReadFailed,
      &Lease::OnWriteSucceeded, &Lease::OnWriteUnconfirmed, &Lease::OnPaused,
      &Lease::OnHigherEpochSeen};
  m_now = now;
  (this->*kHandlers[event.index()])(event);
  return std::exchange(m_actions, {});
}

void Lease::OnTick(const Event&) {
  if (m_call_pending || m_now < m_next_call) return;
  if (m_row_known && IsOwn() && !m_superseded) {
    Write(m_epoch);
  } else {
    RequestRead();
  }
}

void Lease::OnRowRead(const Event& event) {
  const auto& read = std::get<RowRead>(event);
  m_call_pending = false;
  m_next_call = m_now + m_options.poll_period;
  const bool changed = !m_row_known || read.version != m_version || read.row != m_observed;
  m_row_known = true;
  m_observed = read.row;
  m_version = read.version;
  if (changed) m_unchanged_since = m_now;

  if (m_attempt && m_observed == m_attempt->row) return Confirm(read.version);
  if (IsOwn() && m_observed->epoch == m_epoch && !m_superseded) {
    // An earlier write of this holder took effect late. It does not extend the current lease, but
    // the next renewal has to expect its version.
    m_next_call = m_now;
    return;
  }
  m_valid_until.reset();
  if (!m_observed) return Write(m_epoch_floor + 1);
  if (m_now - m_unchanged_since < m_options.duration) return;
  Write(std::max(m_observed->epoch, m_epoch_floor) + 1);
}

void Lease::OnReadFailed(const Event&) {
  m_call_pending = false;
  m_next_call = m_now + m_options.poll_period;
}

void Lease::OnWriteSucceeded(const Event& event) {
  const auto& written = std::get<WriteSucceeded>(event);
  m_call_pending = false;
  if (!m_attempt || m_attempt->row.write_number != written.write_number) return;
  m_observed = m_attempt->row;
  m_unchanged_since = m_now;
  Confirm(written.version);
}

void Lease::OnWriteUnconfirmed(const Event&) { RequestRead(); }

void Lease::OnPaused(const Event&) {
  m_valid_until.reset();
  m_next_call = m_now;
  // A candidate keeps the time for which it has seen the row unchanged. If the row was written
  // during the pause, the candidate's conditional write fails on the version.
  if (m_attempt) m_attempt->before_pause = true;
}

void Lease::OnHigherEpochSeen(const Event& event) {
  m_epoch_floor = std::max(m_epoch_floor, std::get<HigherEpochSeen>(event).epoch);
  if (m_epoch > m_epoch_floor) return;
  m_valid_until.reset();
  m_superseded = true;
}

void Lease::Write(uint64_t epoch) {
  m_attempt =
      Attempt{.row = {.holder = m_options.holder, .epoch = epoch, .write_number = ++m_writes},
              .started = m_now};
  m_call_pending = true;
  WriteRow action{.row = m_attempt->row};
  if (m_observed) action.expected_version = m_version;
  m_actions.emplace_back(std::move(action));
}

void Lease::Confirm(uint64_t version) {
  m_version = version;
  m_epoch = m_attempt->row.epoch;
  m_superseded = m_epoch <= m_epoch_floor;
  // The lease counts from the start of the write: a candidate may have read the row since then.
  if (m_attempt->before_pause || m_superseded) {
    m_next_call = m_now;
  } else {
    m_valid_until = m_attempt->started + m_options.duration - m_options.margin;
    m_next_call = m_attempt->started + m_options.renew_period;
  }
  m_attempt.reset();
}

void Lease::RequestRead() {
  m_call_pending = true;
  m_actions.emplace_back(ReadRow{});
}

}  // namespace citronferry::leadership
