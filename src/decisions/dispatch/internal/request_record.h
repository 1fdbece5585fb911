#ifndef CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_REQUEST_RECORD_H_
#define CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_REQUEST_RECORD_H_

#include <vector>

#include "decisions/dispatch/types.h"

namespace citronferry::dispatch {

struct Executor;
struct PoolState;
struct QueueState;
struct TeamState;

/// Executor on which attempts of a request did not succeed.
struct FailedExecutor {
  InstanceId executor;
  int attempts = 0;
  bool may_have_run = false;
};

/// State of a request from its arrival to its end.
struct RequestRecord {
  enum class State { kNone, kQueued, kRetrying, kRunning };

  RequestNumber number = 0;
  TimePoint deadline{};
  TimePoint expires{};  ///< Latest start: the deadline or the end of the wait limit.
  QueueState* queue = nullptr;
  TeamState* team = nullptr;
  State state = State::kNone;
  bool cancelled = false;
  bool held = false;  ///< The request is a retry held by its team, which is at its limit.
  bool idempotent = false;
  int attempts = 0;
  Verdict verdict = Verdict::kNotRun;  ///< Verdict if no further attempt is made.
  std::vector<FailedExecutor> failed_executors;

  // Copied from the policy of the queue, which may change while the request waits or runs.
  PoolState* pool = nullptr;
  Priority priority = Priority::kInteractive;
  double work = 0;  ///< Optimistic slot time in seconds, as added to the queue.

  Executor* executor = nullptr;  ///< Set while the request runs.
  TimePoint started{};
  double charged = 0;  ///< Slot time in seconds charged to the team for the attempt.

  RequestRecord* previous = nullptr;  ///< Links of the list that holds the record.
  RequestRecord* next = nullptr;
};

/// Intrusive doubly linked list of records; removes a record in constant time.
class RecordList {
 public:
  bool empty() const { return !m_first; }
  RequestRecord* front() const { return m_first; }

  void PushBack(RequestRecord& record) {
    record.previous = m_last;
    record.next = nullptr;
    (m_last ? m_last->next : m_first) = &record;
    m_last = &record;
  }

  void Remove(RequestRecord& record) {
    (record.previous ? record.previous->next : m_first) = record.next;
    (record.next ? record.next->previous : m_last) = record.previous;
    record.previous = record.next = nullptr;
  }

 private:
  RequestRecord* m_first = nullptr;
  RequestRecord* m_last = nullptr;
};

}  // namespace citronferry::dispatch

#endif  // CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_REQUEST_RECORD_H_
