#include "decisions/leadership/lease.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>

namespace citronferry::leadership {
namespace {

// The fixed seed makes the property test reproducible.
[[maybe_unused]] const int kFixedSeed = setenv("RC_PARAMS", "seed=4251 max_success=400", 1);

/// The lease row in a table service.
struct FakeTable {
  std::optional<LeaseRow> row;
  uint64_t version = 0;

  bool Write(const WriteRow& write) {
    if (write.expected_version.value_or(0) != version) return false;
    row = write.row;
    ++version;
    return true;
  }
};

/// A candidate with at most one outstanding call.
struct Candidate {
  Lease lease;
  std::optional<Action> call;
  std::optional<Event> answer;  ///< Of a call that took effect but is not answered yet.
  bool paused = false;

  explicit Candidate(std::string name) : lease({.holder = std::move(name)}) {}

  void Handle(const Event& event, TimePoint now) {
    call.reset();
    for (Action& action : lease.Handle(event, now)) call = std::move(action);
  }
  void Execute(FakeTable& table) {
    if (!call || answer) return;
    if (std::holds_alternative<ReadRow>(*call)) {
      answer = RowRead{.row = table.row, .version = table.version};
    } else if (const auto& write = std::get<WriteRow>(*call); table.Write(write)) {
      answer = WriteSucceeded{.write_number = write.row.write_number, .version = table.version};
    } else {
      answer = WriteUnconfirmed{};
    }
  }
  void Answer(FakeTable& table, TimePoint now) {
    Execute(table);
    if (answer) Handle(*std::exchange(answer, std::nullopt), now);
  }
  void Run(FakeTable& table, TimePoint now) {
    if (!call) Handle(Tick{}, now);
    while (call) Answer(table, now);
  }
};

class LeaseTest : public ::testing::Test {
 protected:
  void Advance(Duration duration, std::vector<Candidate*> running) {
    for (const TimePoint end = m_now + duration; m_now < end;) {
      m_now += 1s;
      for (Candidate* candidate : running) candidate->Run(m_table, m_now);
    }
  }

  TimePoint m_now{100s};
  FakeTable m_table;
  Candidate m_a{"a"};
  Candidate m_b{"b"};
};

// Fails if the lease is taken from a live holder, or nobody takes it over from a dead one.
TEST_F(LeaseTest, IsTakenOverTenSecondsAfterTheLastRenewal) {
  Advance(60s, {&m_a, &m_b});
  EXPECT_TRUE(m_a.lease.MayAct(m_now));
  EXPECT_EQ(m_table.row->epoch, 1u);
  // The last renewal is at most 3 s old.
  Advance(6s, {&m_b});
  EXPECT_EQ(m_table.row->holder, "a");
  Advance(6s, {&m_b});
  EXPECT_TRUE(m_b.lease.MayAct(m_now));
  EXPECT_EQ(m_table.row->epoch, 2u);
}

// Fails if a holder that cannot renew during an outage goes on acting. It has to stop 2 s before
// its lease of 10 s ends.
TEST_F(LeaseTest, HolderStopsActingDuringAnOutage) {
  m_a.Run(m_table, m_now);
  const TimePoint write_number = m_now;
  EXPECT_TRUE(m_a.lease.MayAct(write_number + 7999ms));
  EXPECT_FALSE(m_a.lease.MayAct(write_number + 8s));
}

// Fails if, after a pause, a holder acts on the lease from before it, which still seems valid.
TEST_F(LeaseTest, PausedHolderRenewsBeforeItActs) {
  m_a.Run(m_table, m_now);
  m_a.lease.Handle(Paused{}, m_now + 1s);
  EXPECT_FALSE(m_a.lease.MayAct(m_now + 1s));
  m_a.Run(m_table, m_now + 1s);
  EXPECT_TRUE(m_a.lease.MayAct(m_now + 1s));
}

// Fails if a holder acts on a renewal that was sent before a pause and answered after it.
TEST_F(LeaseTest, RenewalFromBeforeAPauseDoesNotCount) {
  m_a.Run(m_table, m_now);
  m_now += 3s;
  m_a.Handle(Tick{}, m_now);
  const auto call = m_a.call;
  m_a.Handle(Paused{}, m_now + 1s);
  m_a.call = call;
  m_a.Answer(m_table, m_now + 1s);
  EXPECT_FALSE(m_a.lease.MayAct(m_now + 1s));
  m_a.Run(m_table, m_now + 1s);
  EXPECT_TRUE(m_a.lease.MayAct(m_now + 1s));
}

// Fails if the answer of a planner's own write is lost, and the planner waits for the lease in the
// row to expire although it holds that lease itself.
TEST_F(LeaseTest, LostAnswerOfTakeIsResolvedByReading) {
  m_a.Handle(Tick{}, m_now);
  m_a.Answer(m_table, m_now);
  ASSERT_TRUE(m_table.Write(std::get<WriteRow>(*m_a.call)));
  m_a.Handle(WriteUnconfirmed{}, m_now + 1s);
  EXPECT_FALSE(m_a.lease.MayAct(m_now + 1s));
  m_a.Answer(m_table, m_now + 2s);
  EXPECT_TRUE(m_a.lease.MayAct(m_now + 2s));
  EXPECT_FALSE(m_a.lease.MayAct(m_now + 8s)) << "the lease counts from the start of the write";
}

// Fails if, after the lease row was removed, a planner starts again with a low epoch and is
// refused because other rows carry a higher one.
TEST_F(LeaseTest, EpochContinuesAboveTheEpochsSeenInRows) {
  m_a.Run(m_table, m_now);
  m_a.lease.Handle(HigherEpochSeen{.epoch = 7}, m_now);
  EXPECT_FALSE(m_a.lease.MayAct(m_now));
  Advance(15s, {&m_a});
  EXPECT_TRUE(m_a.lease.MayAct(m_now));
  EXPECT_EQ(m_a.lease.epoch(), 8u);
}

/// Three candidates whose steps interleave with pauses, lost answers and delayed writes.
class LeaseSimulation {
 public:
  void Step(uint32_t command) {
    Candidate& candidate = m_candidates[command % 3];
    const uint32_t argument = command / 3;
    m_now += Duration(std::chrono::milliseconds(argument / 16 % 700));
    switch (argument % 16) {
      case 0:
        candidate.paused = true;
        break;
      case 1:
      case 2:
        if (std::exchange(candidate.paused, false)) {
          const auto call = candidate.call;
          candidate.Handle(Paused{}, m_now);
          candidate.call = call;
        }
        break;
      case 3:  // The answer is lost; the write takes effect now, later or never.
        if (candidate.call && !candidate.answer &&
            std::holds_alternative<WriteRow>(*candidate.call)) {
          const WriteRow write = std::get<WriteRow>(*candidate.call);
          if (argument % 2 == 0) m_table.Write(write);
          m_delayed_writes.push_back(write);
          candidate.Handle(WriteUnconfirmed{}, m_now);
        }
        break;
      case 4:
        for (const WriteRow& write : std::exchange(m_delayed_writes, {})) m_table.Write(write);
        break;
      case 5:
        if (candidate.call && !candidate.answer &&
            std::holds_alternative<ReadRow>(*candidate.call)) {
          candidate.Handle(ReadFailed{}, m_now);
        }
        break;
      case 6:
        m_now += 4s;
        break;
      case 7:
      case 8:
        candidate.Execute(m_table);
        break;
      default:
        if (candidate.paused) break;
        if (!candidate.call) candidate.Handle(Tick{}, m_now);
        if (argument % 3 != 0) candidate.Answer(m_table, m_now);
    }
  }
  int Acting() const {
    int acting = 0;
    for (const Candidate& candidate : m_candidates) acting += candidate.lease.MayAct(m_now) ? 1 : 0;
    return acting;
  }

 private:
  TimePoint m_now{100s};
  FakeTable m_table;
  std::vector<Candidate> m_candidates{Candidate("a"), Candidate("b"), Candidate("c")};
  std::vector<WriteRow> m_delayed_writes;
};

// Fails if two planners act at the same time.
TEST(LeasePropertyTest, NeverTwoHoldersAct) {
  int acted = 0;
  EXPECT_TRUE(rc::check("at most one candidate may act", [&acted] {
    const auto commands = *rc::gen::resize(
        400, rc::gen::container<std::vector<uint32_t>>(rc::gen::inRange(0U, 1'000'000U)));
    LeaseSimulation simulation;
    for (const uint32_t command : commands) {
      simulation.Step(command);
      RC_ASSERT(simulation.Acting() <= 1);
      acted += simulation.Acting();
    }
  }));
  EXPECT_GT(acted, 0) << "the property must not hold because nobody ever acts";
}

}  // namespace
}  // namespace citronferry::leadership
