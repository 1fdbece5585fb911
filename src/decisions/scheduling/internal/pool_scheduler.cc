#include "decisions/scheduling/pool_scheduler.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace citronferry::scheduling {
namespace {

// The epoch is stored above these bits of a run id, so that ids increase across owners.
constexpr int kRunNumberBits = 20;
// A registry entry that was lost while the store was unavailable returns within two seconds of the
// store's recovery.
constexpr Duration kUnlistedGracePeriod = 5s;
// Number of steps without room, in rank order, after which none of the same size or larger is
// tried, and in a busy pool none at all.
constexpr size_t kMaxStepsWithoutRoom = 40;
// Bounds the work of a planning round by the steps that are kept from executors with room.
constexpr int kMaxConstrainedSteps = 400;
// More than any limit of a team. Sums of several such amounts fit 64 bits.
constexpr Resources kUnknownCapacity{.cpu_millicores = 10'000'000'000'000,
                                     .memory_mb = 10'000'000'000'000,
                                     .gpus = 10'000'000'000'000};

Resources Times(const Resources& request, int count) {
  return {.cpu_millicores = request.cpu_millicores * count,
          .memory_mb = request.memory_mb * count,
          .gpus = request.gpus * count};
}
// Bounds how long a change that comes with time alone goes unnoticed: a run becomes a straggler, a
// quarantine ends.
constexpr Duration kPeriodicPlanInterval = 500ms;

}  // namespace

/// Steps of a planning round that could not be placed. What fits nowhere shows that steps of the
/// same size and larger ones with the same label do not fit either, and nothing about others. In a
/// busy pool, smaller steps of lower rank do not get the room that becomes free for those before.
class PoolScheduler::UnplacedSteps {
 public:
  /// @param pass the current pass over the constrained steps.
  /// @param busy whether half of the pool's capacity is in use.
  UnplacedSteps(int64_t pass, bool busy) : m_pass(pass), m_busy(busy) {}

  /// @return whether a step is not tried in this round, since it would not find room either, or
  ///   since others like it have to be tried first.
  bool IsSkipped(const StepSpec& spec, const Step& step) {
    if (m_waiting_for_link >= kMaxStepsWithoutRoom) return true;
    const bool tried = step.constrained_in_pass == m_pass;
    const bool postponed = step.constrained_in_pass != 0 && m_constrained >= kMaxConstrainedSteps;
    m_any_constrained |= tried || postponed;
    m_postponed |= postponed && !tried;
    if (tried || postponed) return true;
    const auto found = m_without_room.find(spec.required_label);
    if (found == m_without_room.end()) return false;
    const Resources request = CountedRequest(spec);
    size_t smaller = 0;
    for (const auto& [size, count] : found->second) {
      if (m_busy || Fits(size, request)) smaller += count;
    }
    return smaller >= kMaxStepsWithoutRoom;
  }

  /// Counts a step for which no executor has room.
  void CountWithoutRoom(const StepSpec& spec) {
    std::vector<std::pair<Resources, size_t>>& sizes = m_without_room[spec.required_label];
    const Resources request = CountedRequest(spec);
    const auto known = std::find_if(sizes.begin(), sizes.end(),
                                    [&](const auto& entry) { return entry.first == request; });
    if (known != sizes.end()) {
      ++known->second;
    } else {
      sizes.emplace_back(request, 1);
    }
  }
  /// Counts a step that is kept from the executors with room, by tickets, racks or its other tasks.
  /// Long-running steps are tried in each round, so they do not take the turns of others.
  void CountConstrained(const StepSpec& spec, Step& step) {
    step.constrained_in_pass = m_pass;
    m_any_constrained = true;
    if (!spec.long_running) ++m_constrained;
  }
  /// Counts a step for which the owner's link is too busy. It stays so for the rest of the round.
  void CountWaitingForLink() { ++m_waiting_for_link; }

  bool empty() const {
    return m_without_room.empty() && m_waiting_for_link == 0 && !m_any_constrained;
  }
  /// @return whether all constrained steps have been tried in the current pass.
  bool pass_ended() const { return !m_postponed; }

 private:
  int64_t m_pass;
  bool m_busy;
  // Sizes of steps and their numbers, by label.
  std::map<std::string_view, std::vector<std::pair<Resources, size_t>>> m_without_room;
  int m_constrained = 0;
  size_t m_waiting_for_link = 0;
  bool m_any_constrained = false;
  bool m_postponed = false;  // A step has yet to be tried in this pass.
};

/// A job with tasks to place, and its rank.
struct PoolScheduler::PlanningJob {
  Job* job = nullptr;
  Rank rank;
};

PoolScheduler::PoolScheduler(SchedulerOptions options, std::unique_ptr<DurationModel> durations)
    : m_options(options),
      m_durations(durations ? std::move(durations) : MakeDurationModel(RunTimeUse::kLearned)),
      m_ranking(*m_durations, options.timeliness_share),
      m_budget(options.start_bytes_per_second) {}

PoolScheduler::~PoolScheduler() = default;

void PoolScheduler::SetQueues(std::span<const QueuePolicy> queues) {
  m_queues.clear();
  for (const QueuePolicy& queue : queues) {
    m_queues[queue.name] = queue;
  }
  m_plan_needed = true;
}

void PoolScheduler::SetTeamLimits(std::map<TeamName, TeamLimit> limits) {
  m_plan_needed |= m_team_quotas.SetLimits(std::move(limits));
}

void PoolScheduler::SetTeamWeights(std::map<TeamName, double> weights) {
  m_team_shares.SetWeights(std::move(weights));
}

const QueuePolicy& PoolScheduler::PolicyOf(const Job& job) const {
  const auto found = m_queues.find(job.definition()->queue);
  return found == m_queues.end() ? job.definition()->accepted_policy : found->second;
}

ExecutorState* PoolScheduler::FindExecutor(const ExecutorId& id) {
  const auto found = m_executors.find(id);
  return found == m_executors.end() ? nullptr : &found->second;
}

const Job* PoolScheduler::FindJob(const JobId& id) const {
  const auto found = m_jobs.find(id);
  return found == m_jobs.end() ? nullptr : found->second.get();
}

Job* PoolScheduler::FindJobMutable(const JobId& id) {
  const auto found = m_jobs.find(id);
  return found == m_jobs.end() ? nullptr : found->second.get();
}

ExecutorState& PoolScheduler::FindOrAddExecutor(const ExecutorId& id) {
  const auto [entry, added] = m_executors.try_emplace(id);
  if (added) entry->second.incarnation_number = ++m_last_incarnation_number;
  return entry->second;
}

const StepTickets* PoolScheduler::TicketsOf(const Job& job, const TaskId& id) const {
  if (!PolicyOf(job).needs_advice) return nullptr;
  return &job.occurrences().at(id.occurrence).steps[static_cast<size_t>(id.step)].tickets;
}

void PoolScheduler::InheritExecutor(const LinkRecord& link) {
  ExecutorState& executor = FindOrAddExecutor(link.executor);
  executor.info.id = link.executor;
  executor.info.address = link.address;
  executor.info.incarnation_unix_ms = link.incarnation_unix_ms;
  executor.applied_end = link.applied_end;
  executor.durable_end = link.applied_end;
  executor.taken_over = executor.inherited = true;
  executor.link_durable = true;
  // Whether a restarted executor has answered with its token is not known.
  executor.lease_bound =
      m_options.taken_over_at + (link.restarted
                                     ? m_options.late_call_window + m_options.longest_lease_bound
                                     : m_options.lease_bound);
}

void PoolScheduler::ListExecutor(const ExecutorDescription& info, TimePoint now) {
  if (const ExecutorState* known = FindExecutor(info.id);
      known && known->listed && known->info == info)
    return;
  ExecutorState& executor = FindOrAddExecutor(info.id);
  executor.listed = true;
  executor.unlisted_since.reset();
  const int64_t known_incarnation = executor.info.incarnation_unix_ms;
  const int64_t incarnation = info.incarnation_unix_ms == 0 ? known_incarnation  // Not listed.
                                                            : info.incarnation_unix_ms;
  // The registry lags behind the executor's own reports. A start time may also be earlier than that
  // of the previous incarnation, if the time of day was set back; then a report shows the restart.
  const std::vector<int64_t>& past = executor.past_incarnations;
  const bool outdated = std::find(past.begin(), past.end(), incarnation) != past.end();
  if (incarnation < known_incarnation || outdated) return;
  // The past incarnations that a previous owner has met are not known, so its report decides.
  const bool undecided = executor.taken_over && !executor.reported && known_incarnation != 0;
  if (undecided && incarnation > known_incarnation) executor.undecided_incarnation = incarnation;
  if (incarnation > known_incarnation && known_incarnation != 0 && !undecided) {
    OnRestarted(executor, incarnation, now);
  }
  const bool started_leaving = info.leaving && !executor.info.leaving;
  executor.info = info;
  executor.info.incarnation_unix_ms = undecided ? known_incarnation : incarnation;
  if (!executor.listed_at) executor.listed_at = now;
  if (!executor.link_durable) {
    m_dirty_links.insert(info.id);
    m_removed_links.erase(info.id);
  }
  if (started_leaving) {
    Note("executor_leaving", {}, 0, info.id);
    // The executor shuts down soon: long-running tasks are moved while the others may complete.
    EvictLongRunningTasks(info.id, now);
  }
  m_plan_needed = true;
}

void PoolScheduler::UnlistExecutor(const ExecutorId& id) {
  ExecutorState* executor = FindExecutor(id);
  if (executor) executor->listed = false;
}

void PoolScheduler::AddJob(std::shared_ptr<const JobDefinition> definition,
                           const JobProgress* progress, TimePoint accepted_at, bool inherited) {
  const JobId id = definition->id;
  if (m_jobs.contains(id)) return;
  auto job = std::make_unique<Job>(std::move(definition), accepted_at, inherited);
  if (progress) job->Restore(*progress);
  // The rate of a team is not known for the time before the takeover.
  if (!inherited) job->beyond_rate = !m_team_shares.OnArrival(job->definition()->team, accepted_at);
  if (job->is_final()) {
    // When it ended is not stored.
    job->final_since = m_options.taken_over_at;
    m_final_jobs.emplace_back(m_options.taken_over_at, id);
  } else {
    m_open_jobs.insert(id);
    m_plan_needed = true;
  }
  m_jobs.emplace(id, std::move(job));
}

void PoolScheduler::CancelJob(const JobId& id, TimePoint now) {
  Job* job = FindJobMutable(id);
  if (!job || job->is_final()) return;
  job->MarkCancelled();
  Note("job_cancelled", {.job = id}, 0, {});
  Finish(*job, now);
}

void PoolScheduler::Finish(Job& job, TimePoint now) {
  job.final_since = now;
  m_final_jobs.emplace_back(now, job.id());
  m_open_jobs.erase(job.id());
  m_team_quotas.ForgetJob(job.id());
  MarkDirty(job);
  StopAllRuns(job, now);
  m_plan_needed = true;
}

void PoolScheduler::MarkDirty(const Job& job) { m_dirty_jobs.insert(job.id()); }

void PoolScheduler::Note(std::string_view event, const TaskId& task, int64_t run,
                         const ExecutorId& executor, std::string_view detail) {
  m_notes.push_back({.event = std::string(event),
                     .task = task,
                     .run = run,
                     .executor = executor,
                     .detail = std::string(detail)});
}

std::vector<SchedulerNote> PoolScheduler::TakeNotes() { return std::exchange(m_notes, {}); }

void PoolScheduler::OnNoAnswer(const ExecutorId& id, TimePoint called_at) {
  ExecutorState* executor = FindExecutor(id);
  if (!executor) return;
  // Only calls to executors that are known to be silent have the time that a slow owner needs.
  if (!executor->responding) {
    executor->unanswered_call_at = std::max(executor->unanswered_call_at, called_at);
  }
  if (!std::exchange(executor->contacted, true)) m_plan_needed = true;
  if (!executor->responding) return;
  executor->responding = false;
  Note("executor_silent", {}, 0, id, DescribeEnds(*executor));
}

void PoolScheduler::OnTokenBegun(const ExecutorId& id) {
  if (ExecutorState* executor = FindExecutor(id)) executor->awaits_token = true;
}

void PoolScheduler::OnExecutorGone(const ExecutorId& id, TimePoint now) {
  ExecutorState* executor = FindExecutor(id);
  if (!executor) return;
  Note("executor_gone", {}, 0, id);
  DropAllRuns(*executor, "executor_gone");
  executor->required_fences = ++executor->fences;
  executor->responding = false;
  executor->listed = false;
  executor->inherited = false;
  executor->lease_bound = now;
  m_plan_needed = true;
}

void PoolScheduler::OnLeaseExtended(const ExecutorId& id, TimePoint now) {
  if (ExecutorState* executor = FindExecutor(id)) {
    const bool uncertain = std::exchange(executor->lease_uncertain, false);
    const TimePoint bound = now + m_options.lease_bound;
    // A call to the previous incarnation can have extended the lease until now, but no later.
    executor->lease_bound =
        uncertain ? now + std::max(m_options.longest_lease_bound, m_options.lease_bound)
                  : std::max(executor->lease_bound, bound);
  }
}

void PoolScheduler::Advance(TimePoint now, int64_t unix_ms) {
  for (auto& [id, executor] : m_executors) {
    m_plan_needed |= executor.start_window.TakeEndOfPause(now);
    // The executor may have listed ends in a response that this owner was too slow to receive, so
    // it is asked once more after its lease.
    const bool asked = executor.unanswered_call_at >= executor.lease_bound;
    if (!executor.responding && now >= executor.lease_bound && asked) {
      if (!executor.runs.empty()) AbandonRuns(executor);
      if (executor.inherited && !executor.reported) {
        executor.inherited = false;
        Note("takeover_bound_passed", {}, 0, id);
        m_plan_needed = true;
      }
      continue;
    }
    RetryStops(executor, now);
    FenceLateStarts(executor, now);
    if (executor.info.leaving) EvictLongRunningTasks(id, now);
  }
  for (const JobId& id : m_open_jobs) {
    Job& job = *FindJobMutable(id);
    if (!job.scheduled()) continue;
    const size_t before = job.occurrences().size();
    job.OpenOccurrences(unix_ms);
    m_plan_needed |= job.occurrences().size() != before;
  }
  if (now - m_periodic_plan_at >= kPeriodicPlanInterval) {
    m_periodic_plan_at = now;
    m_seek_stragglers |= m_durations->knows_stragglers();
    m_plan_needed = true;
  }
  RemoveEndedExecutors(now);
  ExpireFinalJobs(now);
}

void PoolScheduler::RemoveEndedExecutors(TimePoint now) {
  for (auto entry = m_executors.begin(); entry != m_executors.end();) {
    ExecutorState& executor = entry->second;
    if (!executor.listed && !executor.unlisted_since) executor.unlisted_since = now;
    const bool runs_nothing =
        !executor.listed && executor.runs.empty() && (executor.reported || !executor.inherited);
    if (!runs_nothing) {
      ++entry;
      continue;
    }
    // A successor has nothing to ask this executor. If it is listed again, its link is written
    // anew.
    m_dirty_links.erase(entry->first);
    if (std::exchange(executor.link_durable, false)) m_removed_links.insert(entry->first);
    if (now - *executor.unlisted_since <= kUnlistedGracePeriod) {
      ++entry;
      continue;
    }
    m_unsettled.erase(entry->first);
    entry = m_executors.erase(entry);
  }
}

void PoolScheduler::ExpireFinalJobs(TimePoint now) {
  while (!m_final_jobs.empty() && now - m_final_jobs.front().first > m_options.final_retention) {
    const JobId id = m_final_jobs.front().second;
    const bool runs = std::any_of(m_executors.begin(), m_executors.end(), [&](const auto& entry) {
      return std::any_of(entry.second.runs.begin(), entry.second.runs.end(),
                         [&](const RunRef& ref) { return ref.task.job == id; });
    });
    if (runs) return;
    m_final_jobs.pop_front();
    m_jobs.erase(id);
    m_dirty_jobs.erase(id);
    std::erase_if(m_abandoned_runs, [&](const auto& run) { return run.first.first.job == id; });
    m_expired_jobs.insert(id);
  }
}

bool PoolScheduler::TakeoverUnresolved() const {
  // This holds where copies are allowed, too: the executor may have listed the end of the task to
  // the previous owner.
  return std::any_of(m_executors.begin(), m_executors.end(), [&](const auto& entry) {
    const ExecutorState& executor = entry.second;
    return executor.inherited && !executor.reported;
  });
}

Resources PoolScheduler::UnresolvedCapacity() const {
  Resources unresolved;
  for (const auto& [id, executor] : m_executors) {
    if (!executor.inherited || executor.reported) continue;
    // The capacity of an executor that has left the registry is not known.
    const bool known = executor.info.capacity != Resources();
    unresolved += known ? executor.free() : kUnknownCapacity;
  }
  return unresolved;
}

void PoolScheduler::HoldBack(const Job& job, const TaskId& id, const Resources& request) {
  const TeamName& team = job.definition()->team;
  m_team_quotas.HoldBack(team, request, job.spec(id.step).uses_leftover_cpu);
  if (!m_team_quotas.ShouldReport(id.job, team)) return;
  Note("quota_wait", id, 0, {}, m_team_quotas.Explain(team, request));
}

std::vector<Candidate> PoolScheduler::MakeCandidates(TimePoint now) {
  std::vector<Candidate> candidates;
  for (auto& [id, executor] : m_executors) {
    if (!executor.Usable(now)) continue;
    candidates.push_back({.executor = &executor,
                          .free = executor.free(),
                          .free_when_drained = executor.info.capacity - LongRunningUse(executor),
                          .long_running_tasks = executor.long_running_tasks(),
                          .starts_left = StartsLeft(executor),
                          .slowness = m_durations->SlownessOf(executor.info)});
  }
  return candidates;
}

int PoolScheduler::StartsLeft(const ExecutorState& executor) const {
  const int limit = executor.start_window.limit();
  if (!executor.start_window.limited()) return limit;
  const auto waiting =
      std::count_if(executor.runs.begin(), executor.runs.end(), [&](const RunRef& ref) {
        const Run* run = FindRun(ref.task, ref.run, executor.info.id);
        return run && run->phase == RunPhase::kOrdered && !run->copy_outstanding;
      });
  return std::max(0, limit - static_cast<int>(waiting));
}

bool PoolScheduler::NeedsPlacement(const Task& task, const StepSpec& spec, TimePoint now) const {
  if (task.done) return false;
  if (task.runs.empty()) return true;
  if (!spec.copies_allowed) return false;
  // A copy is needed if no executor of a run responds.
  const bool all_silent = std::none_of(task.runs.begin(), task.runs.end(), [this](const Run& run) {
    const auto found = m_executors.find(run.executor);
    return found == m_executors.end() || found->second.responding || !found->second.contacted;
  });
  return all_silent && CopyDeadline(task, now);
}

std::vector<PoolScheduler::PlanningJob> PoolScheduler::RankJobs(TimePoint now) const {
  std::vector<PlanningJob> ranked;
  for (const JobId& id : m_open_jobs) {
    Job& job = *m_jobs.at(id);
    bool needs_placement = false;
    for (auto& [number, occurrence] : job.occurrences()) {
      for (size_t step = 0; step < occurrence.steps.size() && !needs_placement; ++step) {
        if (!Job::IsReady(occurrence.steps[step])) continue;
        needs_placement =
            std::any_of(occurrence.steps[step].tasks.begin(), occurrence.steps[step].tasks.end(),
                        [&](const Task& task) {
                          return NeedsPlacement(task, job.spec(static_cast<int>(step)), now);
                        });
      }
    }
    if (needs_placement)
      ranked.push_back({.job = &job, .rank = m_ranking.RankOf(job, PolicyOf(job), now)});
  }
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const PlanningJob& a, const PlanningJob& b) { return a.rank < b.rank; });
  if (m_team_shares.active()) RankByTeams(ranked, now);
  return ranked;
}

void PoolScheduler::RankByTeams(std::vector<PlanningJob>& ranked, TimePoint now) const {
  struct TeamState {
    int jobs_within_rate = 0;
    double use = 0;  ///< Including jobs that go before.
  };
  std::map<TeamName, TeamState> teams;
  for (const PlanningJob& entry : ranked) {
    const TeamName& team = entry.job->definition()->team;
    const auto [state, added] = teams.try_emplace(team);
    if (added) state->second.use = m_team_shares.UseOf(team);
    if (!entry.job->beyond_rate) ++state->second.jobs_within_rate;
  }
  for (PlanningJob& entry : ranked) {
    const TeamName& team = entry.job->definition()->team;
    TeamState& state = teams.at(team);
    // Which of a team's jobs arrived beyond its rate does not matter, only how many did.
    const bool within_rate = state.jobs_within_rate > 0;
    if (within_rate) --state.jobs_within_rate;
    if (entry.rank.not_started != 0) {
      entry.rank.beyond_rate = within_rate ? 0 : 1;
      entry.rank.team_share = state.use / m_team_shares.WeightOf(team);
    }
    for (const auto& [number, occurrence] : entry.job->occurrences()) {
      for (size_t step = 0; step < occurrence.steps.size(); ++step) {
        if (!Job::IsReady(occurrence.steps[step])) continue;
        const StepSpec& spec = entry.job->spec(static_cast<int>(step));
        const auto waiting =
            std::count_if(occurrence.steps[step].tasks.begin(), occurrence.steps[step].tasks.end(),
                          [&](const Task& task) { return NeedsPlacement(task, spec, now); });
        state.use += m_team_shares.DominantShare(Times(spec.request, static_cast<int>(waiting)));
      }
    }
  }
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const PlanningJob& a, const PlanningJob& b) { return a.rank < b.rank; });
}

bool PoolScheduler::IsBusy() const {
  int64_t used = 0;
  int64_t capacity = 0;
  for (const auto& [id, executor] : m_executors) {
    if (!executor.listed) continue;
    used += executor.used.cpu_millicores;
    capacity += executor.info.capacity.cpu_millicores;
  }
  return used * 2 >= capacity;
}

Orders PoolScheduler::Plan(TimePoint now, const StartCost* cost) {
  m_plan_needed = false;
  m_cost = cost;
  m_budget.Refill(now);
  m_waiting_cores = 0;
  m_waiting_long_running.clear();
  m_steps_without_ticket.clear();
  std::vector<Candidate> candidates = MakeCandidates(now);
  Placer placer(candidates, now);
  UnplacedSteps unplaced(m_constrained_pass, IsBusy());
  if (m_team_quotas.has_limits()) m_team_quotas.BeginRound(UnresolvedCapacity());
  if (m_team_shares.active()) {
    Resources capacity;
    for (const auto& [id, executor] : m_executors) capacity += executor.info.capacity;
    m_team_shares.UpdateUse(m_team_quotas.used(), capacity, now);
  }
  for (const PlanningJob& entry : RankJobs(now)) {
    Job& job = *entry.job;
    for (auto& [number, occurrence] : job.occurrences()) {
      for (size_t step = 0; step < occurrence.steps.size(); ++step) {
        const StepSpec& spec = job.spec(static_cast<int>(step));
        if (!Job::IsReady(occurrence.steps[step])) continue;
        // A previous owner may have started tasks on an executor that has not reported yet.
        if (job.inherited() && TakeoverUnresolved()) continue;
        if (!spec.long_running && unplaced.IsSkipped(spec, occurrence.steps[step])) continue;
        if (PlaceStep(job, number, static_cast<int>(step), placer, now)) continue;
        if (!m_budget.available()) {
          unplaced.CountWaitingForLink();
        } else if (!placer.HasRoom(spec)) {
          unplaced.CountWithoutRoom(spec);
        } else {
          unplaced.CountConstrained(spec, occurrence.steps[step]);
        }
      }
    }
  }
  if (unplaced.pass_ended()) ++m_constrained_pass;
  const bool nothing_waits = unplaced.empty() && m_waiting_cores == 0;
  if (std::exchange(m_seek_stragglers, false) && nothing_waits) CopyStragglers(placer, now);
  if (m_team_quotas.has_limits()) {
    Resources free;
    for (const Candidate& candidate : candidates) free += candidate.free;
    m_team_quotas.EndRound(free);
  }
  m_cost = nullptr;
  m_wait_for_link = !unplaced.empty() ? m_budget.time_until_available() : Duration::zero();
  return std::exchange(m_orders, {});
}

bool PoolScheduler::PlaceStep(Job& job, int occurrence, int step_index, Placer& placer,
                              TimePoint now) {
  Step& step = job.occurrences().at(occurrence).steps[static_cast<size_t>(step_index)];
  const StepSpec& spec = job.spec(step_index);
  const double cores = Cores(spec.request);
  TaskId id{.job = job.id(), .occurrence = occurrence, .step = step_index};
  if (!step.ready_since) step.ready_since = now;
  const StepPlacement placement{
      .spec = spec,
      .step = step,
      .ready_since = *step.ready_since,
      .tickets = TicketsOf(job, id),
      .decides_end =
          m_durations->any_slow() && DecidesEnd(*job.definition(), job.occurrences().at(occurrence),
                                                step_index, *m_durations)};
  // Executors reject a start without a valid ticket.
  const bool may_start = !placement.tickets || placement.tickets->HasValid(now);
  const auto request_tickets = [&, step_id = id] {
    if (placement.tickets) m_steps_without_ticket.push_back(step_id);
  };

  if (spec.gang_scheduled) {
    const bool free_of_runs = std::all_of(step.tasks.begin(), step.tasks.end(),
                                          [](const Task& task) { return task.runs.empty(); });
    if (!free_of_runs || step.tasks.front().done) return true;
    const Resources whole = Times(spec.request, spec.replicas);
    if (!m_team_quotas.Allows(job.definition()->team, whole)) {
      HoldBack(job, id, whole);
      return true;
    }
    if (!may_start) {
      request_tickets();
      return true;
    }
    const bool may_send = m_budget.available();
    const auto executors = may_send ? placer.PlaceGang(placement) : std::nullopt;
    if (!executors) {
      if (may_send) request_tickets();
      m_waiting_cores += cores * spec.replicas;
      return false;
    }
    const int64_t run = NextRun();
    for (size_t i = 0; i < step.tasks.size(); ++i) {
      id.index = static_cast<int>(i);
      Start(job, id, step.tasks[i], *(*executors)[i], run, now);
    }
    return true;
  }

  bool placed_all = true;
  for (size_t i = 0; i < step.tasks.size(); ++i) {
    Task& task = step.tasks[i];
    if (!NeedsPlacement(task, spec, now)) continue;
    if (!m_team_quotas.Allows(job.definition()->team, spec.request)) {
      id.index = static_cast<int>(i);
      HoldBack(job, id, spec.request);
      continue;
    }
    if (!may_start) {
      request_tickets();
      return true;
    }
    const bool may_send = placed_all && m_budget.available();
    ExecutorState* executor = may_send ? placer.Place(placement, task.avoided) : nullptr;
    if (!executor) {
      if (may_send) request_tickets();
      if (may_send && spec.long_running) placer.Reserve(placement);
      id.index = static_cast<int>(i);
      if (spec.long_running) m_waiting_long_running.push_back(id);
      placed_all = false;
      m_waiting_cores += cores;
      continue;
    }
    id.index = static_cast<int>(i);
    const int64_t run = NextRun();
    Start(job, id, task, *executor, run, now);
  }
  return placed_all;
}

int64_t PoolScheduler::NextRun() {
  return (m_options.epoch << kRunNumberBits) + ++m_last_run_number;
}

void PoolScheduler::Start(Job& job, const TaskId& id, Task& task, ExecutorState& executor,
                          int64_t run, TimePoint now) {
  const std::optional<TimePoint> send_before =
      task.runs.empty() ? std::nullopt : CopyDeadline(task, now);
  task.runs.push_back(
      {.id = run, .executor = executor.info.id, .ordered_at = now, .percent_changed_at = now});
  executor.runs.push_back({.job = &job, .task = id, .run = run});
  Charge(executor, job, id.step);
  m_team_quotas.ForgetJob(job.id());
  job.MarkStarted();
  if (m_cost) m_budget.Spend(m_cost->BytesOf(*job.definition(), executor.info.id));
  const std::string& checkpoint =
      job.spec(id.step).gang_scheduled
          ? job.FindTask({.job = id.job, .occurrence = id.occurrence, .step = id.step})->checkpoint
          : task.checkpoint;
  const std::string* ticket = FindStep(id)->tickets.Find(executor.incarnation_number, now);
  m_orders.starts.push_back({.executor = executor.info.id,
                             .task = id,
                             .run = run,
                             .definition = job.definition(),
                             .checkpoint = checkpoint,
                             .ticket = ticket ? *ticket : std::string(),
                             .send_before = send_before,
                             .incarnation_unix_ms = executor.info.incarnation_unix_ms});
}

Step* PoolScheduler::FindStep(const TaskId& id) {
  Job* job = FindJobMutable(id.job);
  if (!job) return nullptr;
  const auto occurrence = job->occurrences().find(id.occurrence);
  if (occurrence == job->occurrences().end()) return nullptr;
  return &occurrence->second.steps[static_cast<size_t>(id.step)];
}

double PoolScheduler::EstimateCoreSeconds(const JobDefinition& definition) const {
  return IsLongRunning(definition) ? 0 : EstimateWhole(definition, *m_durations).core_seconds;
}

double PoolScheduler::long_running_cores() const {
  double cores = 0;
  for (const auto& [id, executor] : m_executors) cores += Cores(LongRunningUse(executor));
  return cores;
}

Resources PoolScheduler::LongRunningUse(const ExecutorState& executor) const {
  Resources use;
  for (const RunRef& ref : executor.runs) {
    if (!ref.job->spec(ref.task.step).long_running) continue;
    use += CountedRequest(ref.job->spec(ref.task.step));
  }
  return use;
}

int PoolScheduler::min_executors_for_long_running() const {
  int most = 0;
  for (const JobId& id : m_open_jobs) {
    for (const StepSpec& step : m_jobs.at(id)->definition()->steps) {
      if (!step.long_running || step.max_per_executor <= 0) continue;
      const int executors = (step.replicas + step.max_per_executor - 1) / step.max_per_executor;
      most = std::max(most, executors);
    }
  }
  return most;
}

void PoolScheduler::SetCordoned(const ExecutorId& id, bool cordoned) {
  ExecutorState* executor = FindExecutor(id);
  if (!executor || executor->cordoned == cordoned) return;
  executor->cordoned = cordoned;
  m_plan_needed = true;
}

}  // namespace citronferry::scheduling
