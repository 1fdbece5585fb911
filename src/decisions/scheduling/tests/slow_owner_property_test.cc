// Runs a PoolScheduler through seeded random schedules in which calls and commits take time.
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <random>

#include "decisions/scheduling/tests/slow_owner_pool.h"

namespace citronferry::scheduling {
namespace {

/// What a schedule contains besides jobs and an owner that may be slow.
struct SlowScheduleOptions {
  /// Cuts, restarts and calls that are carried out late. Without them, a listed end counts as
  /// acknowledged, and only the owner is slow.
  bool disruptions = false;
  bool copies = false;     ///< Some steps allow copies.
  bool takeovers = false;  ///< Owners are stopped, replaced, and hand over.
};

/// A random schedule of jobs, delays and faults.
class SlowSchedule {
 public:
  SlowSchedule(uint64_t seed, SlowScheduleOptions options)
      : m_random(seed),
        m_options(options),
        m_pool(
            4, [this](const ExecutorId& id) { return DrawTransit(id); },
            [this] { return DrawCommitTime(); }) {
    m_pool.ledger().counts_listed_ends = !options.disruptions;
    for (auto& [id, executor] : m_pool.executors()) {
      if (Draw(2) == 0) executor.clock_rate = 0.98;
      if (Draw(2) == 0) executor.stop_grace = 100ms * (1 + Draw(8));
    }
    if (std::getenv("CITRONFERRY_LOG")) {
      m_pool.log = [](const SchedulerNote& note, TimePoint now) {
        std::printf("%.2f %s %s.%d.%d.%d run %lld %s %s\n", ToSeconds(now.time_since_epoch()),
                    note.event.c_str(), note.task.job.str().c_str(), note.task.occurrence,
                    note.task.step, note.task.index, static_cast<long long>(note.run),
                    note.executor.str().c_str(), note.detail.c_str());
      };
    }
  }

  void RunSchedule() {
    for (m_step = 0; m_step < kSteps && !::testing::Test::HasFailure(); ++m_step) {
      MaybeSubmitJob();
      ChangeLoad();
      m_pool.Step();
      Check();
    }
    m_load = Load();
    m_slow.clear();
    for (auto& [id, executor] : m_pool.executors()) executor.reachable = true;
    m_pool.outdated_rows.clear();
    for (int i = 0; i < kCalmSteps && !::testing::Test::HasFailure(); ++i) {
      m_pool.Step();
      Check();
    }
    if (::testing::Test::HasFailure()) return;
    for (const auto& [id, job] : m_pool.store().jobs) {
      if (m_pool.store().cancelled.contains(id)) continue;
      EXPECT_EQ(m_pool.State(id), JobState::kCompleted) << id.view();
    }
  }

 private:
  static constexpr int kSteps = 1500;
  static constexpr int kCalmSteps = 2000;

  /// Upper limits of drawn times, in milliseconds.
  struct Load {
    int queued = 1;
    int to_executor = 1;
    int to_owner = 1;
    int commit = 30;
  };

  int Draw(int bound) { return static_cast<int>(m_random() % static_cast<uint64_t>(bound)); }

  SlowOwnerPool::Transit DrawTransit(const ExecutorId& id) {
    SlowOwnerPool::Transit transit;
    transit.queued = 1ms * Draw(m_load.queued);
    const auto slow = m_slow.find(id);
    const Load& load = slow == m_slow.end() ? m_load : slow->second;
    transit.to_executor = 1ms * Draw(load.to_executor);
    transit.to_owner = 1ms * Draw(load.to_owner);
    transit.relay_fails = Draw(2) == 0;
    return transit;
  }

  Duration DrawCommitTime() { return 1ms * (10 + Draw(m_load.commit)); }

  void MaybeSubmitJob() {
    if (m_step > kSteps - 200 || Draw(24) != 0) return;
    StepSpec first = MakeStep(1 + Draw(5), 500 + Draw(6) * 500, 100ms * (1 + Draw(12)));
    StepSpec second = MakeStep(1 + Draw(4), 500 + Draw(6) * 500, 100ms * (1 + Draw(10)), {0});
    if (Draw(6) == 0) first.gang_scheduled = true;
    if (Draw(6) == 0) second.max_per_executor = 1;
    if (Draw(6) == 0) first.estimated_duration = 1s * (2 + Draw(8));
    if (m_options.copies) first.copies_allowed = second.copies_allowed = Draw(2) == 0;
    if (first.gang_scheduled) first.copies_allowed = false;
    JobDefinition job = MakeJob("job" + std::to_string(m_jobs++), {first, second});
    if (Draw(6) == 0) {
      job.schedule = {.first_due_unix_ms = ToMilliseconds(m_pool.now().time_since_epoch()),
                      .interval_ms = 100 * (1 + Draw(20)),
                      .occurrences = 1 + Draw(4)};
    }
    const JobId id = job.id;
    m_pool.Submit(std::move(job));
    if (Draw(10) == 0) m_pool.Cancel(id);
  }

  // The last call after a lease waits for 3 s, so an owner that is slower than that forgets ends.
  void ChangeLoad() {
    if (Draw(100) == 0) {
      const bool calm = Draw(3) == 0;
      m_load.queued = calm ? 1 : 1 + Draw(1300);
      // Where copies are allowed, starts are bound by time, and so is their way.
      const int slowest_start = m_options.copies ? 300 : 1400;
      m_load.to_executor = calm ? 1 : 1 + Draw(slowest_start);
      m_load.to_owner = calm ? 1 : 1 + Draw(2900 - slowest_start);
      // An owner whose commits take too long is replaced.
      m_load.commit = calm ? 30 : 30 + Draw(m_options.takeovers ? 6000 : 1500);
    }
    if (Draw(80) == 0) {
      const ExecutorId id("x" + std::to_string(Draw(4)));
      if (Draw(2) == 0) {
        m_slow.erase(id);
      } else {
        m_slow[id] = {.to_executor = 1 + Draw(300), .to_owner = 300 + Draw(2300)};
        if (m_options.disruptions) m_slow[id].to_executor = 1 + Draw(12'000);
      }
    }
    if (m_options.takeovers && Draw(300) == 0) m_pool.HandOver();
    if (!m_options.disruptions) return;
    if (Draw(300) == 0) m_pool.owner_stopped_until = m_pool.now() + 100ms * (1 + Draw(30));
    if (Draw(600) == 0) m_pool.TakeOver();
    for (auto cut = m_cuts.begin(); cut != m_cuts.end();) {
      if (cut->second > m_step) {
        ++cut;
        continue;
      }
      m_pool.executor(cut->first).reachable = true;
      cut = m_cuts.erase(cut);
    }
    if (Draw(150) == 0) {
      const std::string id = "x" + std::to_string(Draw(4));
      m_pool.executor(id).reachable = false;
      m_cuts[id] = m_step + 10 + Draw(450);
    }
    if (Draw(250) == 0) m_pool.executor("x" + std::to_string(Draw(4))).Restart();
    if (Draw(150) == 0) {
      const ExecutorId id("x" + std::to_string(Draw(4)));
      if (m_pool.outdated_rows.erase(id) == 0) m_pool.outdated_rows.insert(id);
    }
  }

  void Check() {
    std::map<TaskId, int> copies;
    for (const auto& [id, executor] : m_pool.executors()) {
      ASSERT_TRUE(Fits(executor.used(), executor.info().capacity)) << "over capacity";
      for (const auto& running : executor.running()) {
        const JobDefinition& job = *m_pool.store().jobs.at(running.task.job);
        if (job.steps[static_cast<size_t>(running.task.step)].copies_allowed) continue;
        ASSERT_EQ(++copies[running.task], 1)
            << running.task.job.view() << '.' << running.task.occurrence << '.' << running.task.step
            << '.' << running.task.index << " runs twice at "
            << ToSeconds(m_pool.now().time_since_epoch());
      }
    }
    const auto repeated = m_pool.ledger().FindRepeatedTask();
    ASSERT_FALSE(repeated) << *repeated << " at " << ToSeconds(m_pool.now().time_since_epoch());
    // Starts that executors carry out late are not bound by time.
    if (m_options.disruptions) return;
    const auto late = m_pool.ledger().FindLateStart();
    ASSERT_FALSE(late) << *late << " at " << ToSeconds(m_pool.now().time_since_epoch());
  }

  std::mt19937_64 m_random;
  SlowScheduleOptions m_options;
  Load m_load;
  std::map<ExecutorId, Load> m_slow;
  std::map<std::string, int> m_cuts;
  int m_step = 0;
  int m_jobs = 0;
  SlowOwnerPool m_pool;
};

uint64_t ReadVariable(const char* name, uint64_t fallback) {
  const char* text = std::getenv(name);
  return text ? std::strtoull(text, nullptr, 10) : fallback;
}

/// Plays schedules; see PlaySchedules in scheduling_property_test.cc for the variables.
void PlaySlowSchedules(uint64_t default_count, SlowScheduleOptions options) {
  const uint64_t all = ReadVariable("CITRONFERRY_SCHEDULES", default_count);
  const uint64_t parts = ReadVariable("CITRONFERRY_PARTS", 1);
  const uint64_t part = ReadVariable("CITRONFERRY_PART", 1);
  const uint64_t begin = all * (part - 1) / parts;
  const uint64_t end = all * part / parts;
  const uint64_t first = ReadVariable("CITRONFERRY_SEED", 1);
  for (uint64_t seed = first + begin; seed < first + end; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    SlowSchedule(seed, options).RunSchedule();
    if (::testing::Test::HasFailure()) return;
  }
}

// Guards against tasks that run twice because the owner receives reports too late or not at all.
TEST(SlowOwnerPropertyTest, SlowResponsesKeepTheInvariants) { PlaySlowSchedules(30, {}); }

// Guards against the same, and copies of tasks that ended long ago, when owners change.
TEST(SlowOwnerPropertyTest, SlowTakeoversKeepTheInvariants) {
  PlaySlowSchedules(30, {.copies = true, .takeovers = true});
}

// Guards against the same beside cuts, restarts and calls that are carried out up to 12 s late.
TEST(SlowOwnerPropertyTest, DisruptionsOfSlowOwnersKeepTheInvariants) {
  PlaySlowSchedules(30, {.disruptions = true, .copies = true, .takeovers = true});
}

}  // namespace
}  // namespace citronferry::scheduling
