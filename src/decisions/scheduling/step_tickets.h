#ifndef CITRONFERRY_DECISIONS_SCHEDULING_STEP_TICKETS_H_
#define CITRONFERRY_DECISIONS_SCHEDULING_STEP_TICKETS_H_

#include <boost/container/flat_set.hpp>
#include <cstdint>
#include <map>
#include <span>
#include <string>

#include "base/time.h"
#include "decisions/scheduling/types.h"

namespace citronferry::scheduling {

/// An executor that the placement adviser is asked about.
struct AdviceCandidate {
  ExecutorId executor;
  int64_t incarnation_number = 0;  ///< ExecutorState::incarnation_number when it is asked about.
};

/// What the placement adviser has answered about the executors of a step. Whether an executor may
/// run the step does not change during an incarnation of the executor; only its ticket expires.
class StepTickets {
 public:
  /// Records that a call to the adviser is in progress.
  void OnRequested() { m_requested = true; }
  /// Records the response to a call.
  /// @param asked the executors that the call named; those without a ticket may not run the step.
  /// @param tickets by executor.
  /// @param valid_until of all these tickets.
  void OnResponse(std::span<const AdviceCandidate> asked,
                  const std::map<ExecutorId, std::string>& tickets, TimePoint valid_until,
                  TimePoint now);
  /// Records that a call had no usable response, which tells nothing about its executors.
  void OnFailure(TimePoint now);
  /// Records that an executor has rejected its ticket.
  void Invalidate(int64_t incarnation_number);
  /// Records that there is no executor to ask about.
  /// @param until when executors are looked for again.
  void PostponeSearch(TimePoint until) { m_search_at = until; }
  /// Frees the memory once the step is done.
  void Clear() { *this = {}; }

  /// @return whether a call may be made now.
  bool MayRequest(TimePoint now) const { return !m_requested && now >= m_search_at; }
  /// @return when the last call ended; the epoch of the clock if there was none.
  TimePoint last_call_at() const { return m_last_call_at; }
  /// @return the valid ticket for an executor, or nullptr if there is none.
  const std::string* Find(int64_t incarnation_number, TimePoint now) const;
  /// @return whether there is a valid ticket.
  bool HasValid(TimePoint now) const;
  /// @return whether the adviser allows the executor, also if its ticket has expired.
  bool IsAllowed(int64_t incarnation_number) const {
    return m_allowed.contains(incarnation_number);
  }
  /// @return whether the adviser does not allow the executor.
  bool IsRefused(int64_t incarnation_number) const {
    return m_refused.contains(incarnation_number);
  }

 private:
  struct Ticket {
    std::string value;
    TimePoint valid_until{};
  };

  std::map<int64_t, Ticket> m_allowed;            // By incarnation number.
  boost::container::flat_set<int64_t> m_refused;  // Incarnation numbers; may be hundreds.
  bool m_requested = false;
  TimePoint m_search_at{};
  TimePoint m_last_call_at{};
};

}  // namespace citronferry::scheduling

#endif  // CITRONFERRY_DECISIONS_SCHEDULING_STEP_TICKETS_H_
