#ifndef CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_ENGINE_H_
#define CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_ENGINE_H_

#include <array>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "decisions/dispatch/internal/executor_table.h"
#include "decisions/dispatch/internal/expiry_index.h"
#include "decisions/dispatch/internal/state.h"

namespace citronferry::dispatch {

/// Implementation of Dispatcher. Handles one event at a time, then ends the requests that have
/// expired and starts those that can run in the pools marked dirty.
class Engine {
 public:
  std::vector<Action> Handle(const Event& event, TimePoint now);

  size_t queued() const { return m_waiting; }
  size_t running() const { return m_records.size() - m_waiting; }
  std::map<PoolName, size_t> WaitingByPool() const;
  std::vector<ExecutorLoad> ReadExecutors() const { return m_executors.Read(); }
  std::vector<QueueLoad> ReadQueues() const;

 private:
  using OutcomeHandler = void (Engine::*)(RequestRecord&);

  /// Consequences of the outcome of an attempt.
  struct OutcomeRule {
    OutcomeHandler handler;
    Verdict verdict = Verdict::kNotRun;  ///< Verdict on the request after this attempt alone.
    bool counts_for_health = true;
    bool may_have_run = false;
  };
  static const std::array<OutcomeRule, kAttemptOutcomeCount> kOutcomeRules;

  void OnPolicyChanged(const Event& event);
  void OnExecutorsChanged(const Event& event);
  void OnRequestArrived(const Event& event);
  void OnRequestCancelled(const Event& event);
  void OnAttemptEnded(const Event& event);
  void OnTick(const Event& event);

  void DeclareQueues(const Policy& policy);
  void DeclareTeams(const Policy& policy);
  /// Ends the first request of the queue to expire if it cannot meet its deadline any more.
  void DropIfUnmeetable(const QueueState& queue);

  void Answer(RequestRecord& record);
  void RetryIfIdempotent(RequestRecord& record);
  void GiveUp(RequestRecord& record);

  void LearnRunTime(const RequestRecord& record, AttemptOutcome outcome);
  void ReleaseSlot(RequestRecord& record, const OutcomeRule& rule);
  void Retry(RequestRecord& record);

  void ExpireWaiting();
  void StartWaiting();
  /// @return whether a retry was started, held or ended, so that another call may have an effect.
  bool StartRetry(PoolState& pool);
  /// Holds the teams at their limit whose requests come first.
  /// @return whether a request of the class could start.
  bool HasStartable(PoolState& pool, Priority priority);
  void HoldRetry(RequestRecord& record);
  /// Resumes a team that was held at its limit.
  /// @param last pool in which an attempt of the team has ended, or null. It comes last, so that
  ///   all pools in which the team waits take turns.
  void ResumeTeam(TeamState& team, PoolState* last = nullptr);
  /// @return whether a request was started or ended, so that another call may have an effect.
  bool StartQueued(PoolState& pool);
  void Start(RequestRecord& record, Executor& executor);
  Executor* ChooseExecutor(const RequestRecord& record) const;

  void Enqueue(RequestRecord& record, RequestRecord::State state);
  void Dequeue(RequestRecord& record);
  /// Ends a request with its current verdict.
  void End(RequestRecord& record, std::string reason, Duration retry_after = {});
  /// Ends a request that was not admitted.
  void Refuse(RequestNumber number, std::string reason, Duration retry_after = {});
  void Erase(RequestRecord& record);
  /// Makes the end of Handle look for requests that can start in the pool.
  void MarkDirty(PoolState& pool);

  QueueState& QueueOf(const QueueName& name);
  TeamState& TeamOf(const TeamName& name);
  PoolState& PoolOf(const PoolName& name);

  std::map<QueueName, std::unique_ptr<QueueState>> m_queues;
  std::map<TeamName, std::unique_ptr<TeamState>> m_teams;
  std::map<PoolName, std::unique_ptr<PoolState>> m_pools;
  ExecutorTable m_executors;
  std::unordered_map<RequestNumber, std::unique_ptr<RequestRecord>> m_records;
  ExpiryIndex m_expiry;
  std::vector<PoolState*> m_dirty;  ///< Pools in which a waiting request may be able to start.
  std::vector<Action> m_actions;
  double m_retry_ratio = 0.1;      ///< Retries allowed for each first attempt.
  bool m_accepts_any_team = true;  ///< The policy declares no teams; every team is accepted.
  size_t m_waiting = 0;            ///< Requests that wait, retries included.
  TimePoint m_now{};
};

}  // namespace citronferry::dispatch

#endif  // CITRONFERRY_DECISIONS_DISPATCH_INTERNAL_ENGINE_H_
