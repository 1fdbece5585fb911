#include "node/jobs/internal/jobs_service.h"

#include <gtest/gtest.h>

#include <random>

#include "node/gateway/tests/faulty_platform.h"
#include "node/gateway/work_runner.h"
#include "supervision/testing/event_loop.h"
#include "supervision/timer_queue.h"

namespace citronferry::node {
namespace {

using citronferry::testing::Fault;
using citronferry::testing::FaultyPlatform;
using citronferry::testing::SharedTables;

/// Counts the runs of each job. A run takes simulated time and ends with a configurable outcome.
class CountingRunner : public WorkRunner {
 public:
  CountingRunner(TimerService& timers, std::map<std::string, int>& runs)
      : m_timers(timers), m_runs(runs) {}

  WorkOutcome outcome = WorkOutcome::kAnswered;
  Duration run_time = 2s;

  QCoro::Task<WorkResult> Run(WorkItem work, AttemptGate& gate, StopSignal& cancel) override {
    const bool admitted = co_await gate.Admit();
    if (!admitted) co_return WorkResult{.outcome = WorkOutcome::kWithdrawn};
    if (outcome == WorkOutcome::kNotRun) co_return WorkResult{.outcome = WorkOutcome::kNotRun};
    ++m_runs[work.request_id];
    co_await SleepFor(m_timers, run_time, &cancel);
    WorkResult result{.outcome = outcome, .reason = "by the test"};
    result.response.body = "done";
    co_return result;
  }

 private:
  TimerService& m_timers;
  std::map<std::string, int>& m_runs;
};

/// An entry with its jobs service.
struct TestEntry {
  TestEntry(std::string_view name, TimerService& timers, SharedTables& shared,
            std::map<std::string, int>& runs, document::Document document, RosterView roster)
      : platform(shared, timers), runner(timers, runs) {
    settings.id = EntryId(name);
    context.reset(new NodeContext{.settings = settings,
                                  .timers = timers,
                                  .metrics = metrics,
                                  .platform = unused,
                                  .incarnation = RandomToken()});
    context->work_runner = &runner;
    ActiveConfiguration configuration{.version = 1};
    configuration.document = std::make_shared<document::Document>(std::move(document));
    context->configuration.Set(std::move(configuration));
    context->roster.Set(std::move(roster));
    service = std::make_unique<JobsService>(*context, platform, platform);
  }

  document::Settings settings;
  Metrics metrics;
  provider::ProviderModule unused{{.url = "http://127.0.0.1:1"}};
  FaultyPlatform platform;
  CountingRunner runner;
  std::unique_ptr<NodeContext> context;
  std::unique_ptr<JobsService> service;
};

class JobsServiceTest : public ::testing::Test {
 protected:
  JobsServiceTest() {
    TestApplication();
    document::Document document;
    document.queues.push_back({.name = QueueName("watch"), .idempotent = true, .durable = true});
    document.queues.push_back({.name = QueueName("bill"), .idempotent = false, .durable = true});
    RosterView roster;
    for (const char* name : {"e1", "e2", "e3"}) roster.entries.push_back({.id = EntryId(name)});
    for (const RosterEntry& entry : roster.entries) {
      m_entries.push_back(std::make_unique<TestEntry>(entry.id.view(), m_timers, m_shared, m_runs,
                                                      document, roster));
    }
    for (const auto& entry : m_entries) {
      m_tasks.Spawn([&service = *entry->service]() -> QCoro::Task<void> {
        static_cast<void>(co_await service.Run());
      });
    }
  }
  ~JobsServiceTest() override {
    for (const auto& entry : m_entries) entry->service->Stop();
    for (int i = 0; i < 60 && m_tasks.running() > 0; ++i) Advance(1s);
    EXPECT_EQ(m_tasks.running(), 0u);
  }

  // Runs the coroutines that are ready after each step, so that their order is reproducible.
  void Advance(Duration duration) {
    constexpr Duration kStep = 250ms;
    for (Duration passed{}; passed < duration; passed += kStep) {
      m_timers.Advance(kStep);
      for (int i = 0; i < 20; ++i) QCoreApplication::processEvents();
    }
  }
  JobId Accept(std::string_view queue, int number) {
    const JobId id = JobStore::MakeId(TeamName("t"), std::string(queue) + std::to_string(number));
    m_tasks.Spawn([this, id, queue = QueueName(queue)]() -> QCoro::Task<void> {
      FaultyPlatform healthy(m_shared, m_timers);
      JobStore store(healthy, healthy);
      jobs::Job job{.team = TeamName("t"), .queue = queue, .body = std::string(20000, 'x')};
      EXPECT_TRUE((co_await store.Accept(id, std::move(job))).ok());
    });
    return id;
  }
  jobs::Job ReadJob(const JobId& id) {
    jobs::Job job;
    m_tasks.Spawn([this, id, &job]() -> QCoro::Task<void> {
      FaultyPlatform healthy(m_shared, m_timers);
      JobStore store(healthy, healthy);
      job = (co_await store.Read(id))->job;
    });
    return job;
  }
  void SetFaults(std::function<Fault(bool)> fault) {
    for (const auto& entry : m_entries) entry->platform.fault = fault;
  }
  TestEntry& HolderOf(const JobId& id) {
    const EntryId holder = ReadJob(id).holder.entry;
    return **std::find_if(m_entries.begin(), m_entries.end(),
                          [&](const auto& entry) { return entry->settings.id == holder; });
  }

  ManualTimerService m_timers;
  SharedTables m_shared;
  std::map<std::string, int> m_runs;
  TaskScope m_tasks;
  std::vector<std::unique_ptr<TestEntry>> m_entries;
};

// All entries see each job in the change feed. Only one may run it, and its body, which is large
// enough for the object store, must not be lost.
TEST_F(JobsServiceTest, EachJobRunsOnceAndIsAnswered) {
  std::vector<JobId> ids;
  for (int i = 0; i < 20; ++i) ids.push_back(Accept(i % 2 ? "watch" : "bill", i));
  Advance(30s);
  for (const JobId& id : ids) {
    EXPECT_EQ(m_runs[id.str()], 1);
    EXPECT_EQ(ReadJob(id).answer.outcome, requests::Outcome::kAnswered);
    EXPECT_EQ(ReadJob(id).answer.body, "done");
  }
  EXPECT_EQ(m_shared.sequence, 60u) << "a job costs three writes";
}

// The entry that runs a job loses the store and cannot renew its lease. Another entry must run an
// idempotent job again, and end a non-idempotent one as unknown, since it may have run.
TEST_F(JobsServiceTest, JobsOfALostEntryAreTakenOver) {
  for (const auto& entry : m_entries) entry->runner.run_time = 20s;
  const JobId watch = Accept("watch", 1);
  const JobId bill = Accept("bill", 1);
  Advance(15s);
  ASSERT_EQ(m_runs[watch.str()] + m_runs[bill.str()], 2);
  for (const JobId& id : {watch, bill}) {
    HolderOf(id).platform.fault = [](bool) { return Fault::kUnavailable; };
  }
  Advance(100s);
  EXPECT_EQ(m_runs[watch.str()], 2);
  EXPECT_EQ(ReadJob(watch).answer.outcome, requests::Outcome::kAnswered);
  EXPECT_EQ(m_runs[bill.str()], 1);
  EXPECT_EQ(ReadJob(bill).answer.outcome, requests::Outcome::kUnknown);
}

// The table service is down for longer than the lease, so that no holder can renew it. The jobs
// must not be taken over from entries that are alive.
TEST_F(JobsServiceTest, OutageOfTheStoreEndsNoRunningJob) {
  for (const auto& entry : m_entries) entry->runner.run_time = 100s;
  const JobId bill = Accept("bill", 1);
  Advance(15s);
  SetFaults([](bool) { return Fault::kUnavailable; });
  Advance(70s);
  SetFaults([](bool) { return Fault::kNone; });
  Advance(40s);
  EXPECT_EQ(ReadJob(bill).answer.outcome, requests::Outcome::kAnswered);
  EXPECT_EQ(m_runs[bill.str()], 1);
}

// The response to the claim takes longer than the lease. The job must not be started, since another
// entry may already have taken it over.
TEST_F(JobsServiceTest, ExpiredLeaseStartsNothing) {
  for (const auto& entry : m_entries) entry->platform.delay = 60s;
  const JobId bill = Accept("bill", 1);
  Advance(200s);
  EXPECT_EQ(m_runs[bill.str()], 0);
  EXPECT_EQ(ReadJob(bill).answer.outcome, requests::Outcome::kUnknown);
}

// A renewal whose response was lost takes effect late and changes the version of the row. The entry
// must recognise its own claim, or the answer of the job would be lost.
TEST_F(JobsServiceTest, LateRenewalLosesNoAnswer) {
  for (const auto& entry : m_entries) entry->runner.run_time = 25s;
  int writes = 0;
  bool lose_read = false;
  SetFaults([&](bool is_write) {
    if (is_write && ++writes == 2) {
      lose_read = true;
      return Fault::kEffectDelayed;
    }
    return std::exchange(lose_read, false) ? Fault::kUnavailable : Fault::kNone;
  });
  const JobId bill = Accept("bill", 1);
  Advance(60s);
  EXPECT_GE(writes, 3);
  EXPECT_EQ(ReadJob(bill).answer.outcome, requests::Outcome::kAnswered);
}

// A claim takes effect, but its response is lost and the row cannot be read. The entry does not
// start the job and must withdraw the claim, or the job would end as unknown without a run.
TEST_F(JobsServiceTest, UnusedClaimIsWithdrawn) {
  int operations_after_claim = 0;
  SetFaults([&](bool is_write) {
    if (operations_after_claim == 0 && !is_write) return Fault::kNone;
    ++operations_after_claim;
    if (operations_after_claim == 1) return Fault::kResponseLost;
    return operations_after_claim < 10 ? Fault::kUnavailable : Fault::kNone;
  });
  const JobId bill = Accept("bill", 1);
  Advance(100s);
  EXPECT_EQ(m_runs[bill.str()], 1);
  EXPECT_EQ(ReadJob(bill).answer.outcome, requests::Outcome::kAnswered);
}

// An idempotent job whose attempts all end as unknown must not be retried forever.
TEST_F(JobsServiceTest, IdempotentJobEndsAsUnknownAfterItsAttempts) {
  for (const auto& entry : m_entries) entry->runner.outcome = WorkOutcome::kUnknown;
  const JobId watch = Accept("watch", 1);
  Advance(60s);
  EXPECT_EQ(m_runs[watch.str()], 3);
  EXPECT_EQ(ReadJob(watch).answer.outcome, requests::Outcome::kUnknown);
}

// No backend server accepts a job for a long time. Attempts that did not run must not use up the
// attempts of the job, which must run once a backend server accepts it.
TEST_F(JobsServiceTest, JobThatIsNotRunWaits) {
  for (const auto& entry : m_entries) entry->runner.outcome = WorkOutcome::kNotRun;
  const JobId bill = Accept("bill", 1);
  Advance(100s);
  EXPECT_NE(ReadJob(bill).state, jobs::State::kEnded);
  for (const auto& entry : m_entries) entry->runner.outcome = WorkOutcome::kAnswered;
  Advance(50s);
  EXPECT_EQ(ReadJob(bill).answer.outcome, requests::Outcome::kAnswered);
  EXPECT_EQ(m_runs[bill.str()], 1);
}

// Reads and writes fail at random in every way, and entries lose the store at random times, also
// several at once. Each job must end, no non-idempotent job may run twice, and no answer may
// change.
TEST_F(JobsServiceTest, EachJobHasOneAnswerWhateverFails) {
  std::mt19937 random(20261204);
  std::vector<JobId> ids;
  for (int i = 0; i < 40; ++i) ids.push_back(Accept(i % 2 ? "watch" : "bill", i));
  std::vector<bool> cut_off(m_entries.size());
  for (size_t i = 0; i < m_entries.size(); ++i) {
    m_entries[i]->platform.fault = [&random, &cut_off, i](bool is_write) {
      if (cut_off[i]) return Fault::kUnavailable;
      if (random() % 4 != 0) return Fault::kNone;
      return is_write ? static_cast<Fault>(1 + random() % 4) : Fault::kUnavailable;
    };
  }
  for (int round = 0; round < 30; ++round) {
    for (size_t i = 0; i < m_entries.size(); ++i) cut_off[i] = random() % 3 == 0;
    Advance(std::chrono::seconds(1 + random() % 40));
  }
  SetFaults([](bool) { return Fault::kNone; });
  Advance(300s);
  for (size_t i = 0; i < ids.size(); ++i) {
    EXPECT_EQ(ReadJob(ids[i]).state, jobs::State::kEnded) << i;
    const int allowed_runs = i % 2 == 0 ? 1 : 3;
    EXPECT_LE(m_runs[ids[i].str()], allowed_runs) << i;
  }
  EXPECT_EQ(m_shared.overwritten_final_rows, 0);
}

}  // namespace
}  // namespace citronferry::node
