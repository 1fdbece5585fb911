#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <memory>

#include "decisions/requests/record_status.h"
#include "decisions/requests/settlement.h"

namespace citronferry::requests {
namespace {

Record MakeClaim(std::string token, Duration lease = 30s) {
  return {.token = std::move(token), .fingerprint = "f", .lease = lease};
}

Record End(Record record, Outcome outcome) {
  record.state = State::kEnded;
  record.answer.outcome = outcome;
  return record;
}

template <typename T>
const T* Only(const std::vector<ClaimAction>& actions) {
  return actions.size() == 1 ? std::get_if<T>(&actions[0]) : nullptr;
}

constexpr TimePoint kStart{1s};

// Fails if the answer to the claim is lost and the row cannot be read, but the request is sent, or
// if the claim stays in the table, which blocks the key forever.
TEST(ClaimTest, LostAnswerWithUnreadableRowIsNotSentAndIsReleased) {
  Claim claim(MakeClaim("a"), kStart + 10s);
  ASSERT_TRUE(Only<WriteClaim>(claim.Handle(SlotHeld{}, kStart)));
  ASSERT_TRUE(Only<ReadRow>(claim.Handle(ClaimWritten{ErrorCode::kUnknownOutcome}, kStart)));
  const auto actions = claim.Handle(RowRead{ErrorCode::kUnavailable, {}}, kStart);
  const auto* refusal = Only<RefuseRequest>(actions);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->reason, RefusalReason::kStoreUnavailable);
  EXPECT_TRUE(refusal->release);
  // A read that succeeds too late must not revive the claim.
  EXPECT_FALSE(
      Only<SendRequest>(claim.Handle(RowRead{ErrorCode::kOk, {MakeClaim("a"), 1}}, kStart)));
}

// Fails if a request is refused after the answer to the claim was lost, although the row shows that
// the claim took effect.
TEST(ClaimTest, LostAnswerIsResolvedByReadingTheRowBack) {
  Claim claim(MakeClaim("a"), kStart + 10s);
  claim.Handle(SlotHeld{}, kStart);
  claim.Handle(ClaimWritten{ErrorCode::kUnknownOutcome}, kStart);
  EXPECT_TRUE(
      Only<SendRequest>(claim.Handle(RowRead{ErrorCode::kOk, {MakeClaim("a"), 1}}, kStart)));
}

// Fails if, after a conflict, the row cannot be read, and the request is reported as not run
// although another submission with its key may have run it, which leads to a second run.
TEST(ClaimTest, UnreadableConflictIsADuplicateAndNotAStoreOutage) {
  Claim claim(MakeClaim("a"), kStart + 10s);
  claim.Handle(SlotHeld{}, kStart);
  claim.Handle(ClaimWritten{ErrorCode::kConflict}, kStart);
  const auto actions = claim.Handle(RowRead{ErrorCode::kUnavailable, {}}, kStart);
  ASSERT_TRUE(Only<RefuseRequest>(actions));
  EXPECT_EQ(Only<RefuseRequest>(actions)->reason, RefusalReason::kDuplicateUnread);
}

// Fails if a process that was suspended while it claimed sends after the lease or the deadline,
// when other entries have already reported an outcome of the request.
TEST(ClaimTest, NothingIsSentAfterLeaseOrDeadline) {
  for (const Duration lease : {5s, 60s}) {
    Claim claim(MakeClaim("a", lease), kStart + 10s);
    claim.Handle(SlotHeld{}, kStart);
    const auto actions =
        claim.Handle(ClaimWritten{.version = 1}, kStart + std::min<Duration>(lease, 10s));
    ASSERT_TRUE(Only<RefuseRequest>(actions));
    EXPECT_TRUE(Only<RefuseRequest>(actions)->release);
    Claim retried(MakeClaim("a", lease), kStart + 10s);
    retried.Handle(SlotHeld{}, kStart);
    ASSERT_TRUE(Only<SendRequest>(retried.Handle(ClaimWritten{.version = 1}, kStart)));
    EXPECT_TRUE(Only<SendRequest>(retried.Handle(SlotHeld{}, kStart + 4s)));
    EXPECT_TRUE(Only<RefuseRequest>(retried.Handle(SlotHeld{}, kStart + 11s)));
  }
}

// Fails if a request runs with a key that belongs to another body, or gets the answer to that
// body.
TEST(RecordStatusTest, ClassifiesRecords) {
  const Record claimed = MakeClaim("a");
  EXPECT_EQ(ClassifyRecord(claimed, "f", false), RecordStatus::kInProgress);
  EXPECT_EQ(ClassifyRecord(claimed, "f", true), RecordStatus::kUnknown);
  EXPECT_EQ(ClassifyRecord(claimed, "g", true), RecordStatus::kMismatch);
  EXPECT_EQ(ClassifyRecord(End(claimed, Outcome::kAnswered), "g", false), RecordStatus::kMismatch);
  EXPECT_EQ(ClassifyRecord(End(claimed, Outcome::kAnswered), "f", true), RecordStatus::kRecorded);
  EXPECT_EQ(ClassifyRecord(End(claimed, Outcome::kNotRun), "", true), RecordStatus::kReusable);
  Record cancelled = End({}, Outcome::kCancelled);
  EXPECT_EQ(ClassifyRecord(cancelled, "f", false), RecordStatus::kRecorded);
}

// Fails if the lease of a claim is measured by the clock of another entry. Only the time since this
// process first saw the version of the row counts.
TEST(RecordStatusTest, LeaseExpiresAfterItWasSeenUnchanged) {
  ClaimObserver observer;
  EXPECT_FALSE(observer.HasExpired("k", 1, 30s, kStart));
  EXPECT_FALSE(observer.HasExpired("k", 1, 30s, kStart + 29s));
  EXPECT_FALSE(observer.HasExpired("k", 2, 30s, kStart + 30s));
  EXPECT_TRUE(observer.HasExpired("k", 2, 30s, kStart + 60s));
}

/// Returns the choices of one generated case in turn, and zeros (no fault) after them.
class Choices {
 public:
  explicit Choices(std::vector<int> values) : m_values(std::move(values)) {}
  int Next(int bound) { return m_next < m_values.size() ? m_values[m_next++] % bound : 0; }
  bool exhausted() const { return m_next >= m_values.size(); }

 private:
  std::vector<int> m_values;
  size_t m_next = 0;
};

/// Table row whose calls fail, lose their answers, or take effect late.
class FaultyRow {
 public:
  explicit FaultyRow(Choices& choices) : m_choices(choices) {}

  std::pair<ErrorCode, uint64_t> Write(const Record& record, std::optional<uint64_t> expected) {
    switch (m_choices.Next(8)) {
      case 1:
        return {ErrorCode::kUnavailable, 0};
      case 2:
        return {ErrorCode::kUnknownOutcome, 0};
      case 3:
        Apply(record, expected);
        return {ErrorCode::kUnknownOutcome, 0};
      case 4:
        m_late.push_back({record, expected});
        return {ErrorCode::kUnknownOutcome, 0};
      default:
        return Apply(record, expected);
    }
  }
  RowRead Read() {
    if (m_choices.Next(5) == 1) return {.code = ErrorCode::kUnavailable};
    if (!m_row) return {.code = ErrorCode::kNotFound};
    return {.row = *m_row};
  }
  void ApplyLateWrites() {
    for (const auto& [record, expected] : std::exchange(m_late, {})) Apply(record, expected);
  }
  const std::optional<RecordRow>& row() const { return m_row; }

 private:
  std::pair<ErrorCode, uint64_t> Apply(const Record& record, std::optional<uint64_t> expected) {
    const bool matches = expected ? m_row && m_row->version == *expected : !m_row;
    if (!matches) return {ErrorCode::kConflict, 0};
    m_row = RecordRow{.record = record, .version = ++m_version};
    return {ErrorCode::kOk, m_version};
  }

  Choices& m_choices;
  std::optional<RecordRow> m_row;
  uint64_t m_version = 0;
  std::vector<std::pair<Record, std::optional<uint64_t>>> m_late;
};

/// One submission at one entry. It advances by one call at a time, so that submissions interleave.
class Submission {
 public:
  Submission(std::string token, FaultyRow& row, Choices& choices)
      : m_claim(MakeClaim(std::move(token)), kStart + 20s), m_row(row), m_choices(choices) {
    m_action = ClaimAction(ReadRow{});
  }

  void Step(TimePoint now) {
    if (m_done) return;
    if (m_settlement) {
      StepSettlement(now);
    } else if (!m_started) {
      m_started = true;
      Take(m_claim.Handle(SlotHeld{}, now)[0], now);
    } else if (const auto* write = std::get_if<WriteClaim>(&m_action)) {
      const auto [code, version] = m_row.Write(write->record, write->expected_version);
      Take(m_claim.Handle(ClaimWritten{code, version}, now)[0], now);
    } else if (std::holds_alternative<ReadRow>(m_action)) {
      Take(m_claim.Handle(m_row.Read(), now)[0], now);
    } else {
      reported_not_run = true;
      if (std::get<RefuseRequest>(m_action).release) {
        Settle(Outcome::kNotRun);
      } else {
        m_done = true;
      }
    }
  }
  void Kill() { m_done = true; }
  bool done() const { return m_done; }

  int runs = 0;
  bool sent_late = false;
  bool reported_not_run = false;

 private:
  // The request is sent right after the decision, with no suspension point in between.
  void Take(ClaimAction action, TimePoint now) {
    m_action = std::move(action);
    if (std::holds_alternative<SendRequest>(m_action)) Send(now);
  }
  void Send(TimePoint now) {
    sent_late = sent_late || now >= kStart + 20s;
    switch (m_choices.Next(4)) {
      case 1:  // Certainly not run: tried again under the same claim.
        return Take(m_claim.Handle(SlotHeld{}, now)[0], now);
      case 2:
        reported_not_run = true;
        return Settle(Outcome::kNotRun);
      default:
        ++runs;
        return Settle(Outcome::kAnswered);
    }
  }
  void Settle(Outcome outcome) {
    m_settlement = std::make_unique<Settlement>(End(m_claim.record(), outcome), m_claim.version());
    m_next = SettlementAction(RetryLater{});
  }
  void StepSettlement(TimePoint now) {
    if (const auto* write = std::get_if<WriteRecord>(&m_next)) {
      const auto [code, version] = m_row.Write(write->record, write->expected_version);
      m_next = m_settlement->Handle(RecordWritten{code}, now)[0];
    } else if (std::holds_alternative<ReadRow>(m_next)) {
      m_next = m_settlement->Handle(m_row.Read(), now)[0];
    } else if (std::holds_alternative<RetryLater>(m_next)) {
      m_next = m_settlement->Handle(SettleNow{}, now)[0];
    } else {
      m_done = true;
    }
  }

  Claim m_claim;
  FaultyRow& m_row;
  Choices& m_choices;
  ClaimAction m_action;
  bool m_started = false;
  std::unique_ptr<Settlement> m_settlement;
  SettlementAction m_next;
  bool m_done = false;
};

/// Runs three submissions of one request in a generated order with generated faults.
void RunLedgerCase(std::vector<int> values) {
  Choices choices(std::move(values));
  FaultyRow row(choices);
  std::vector<std::unique_ptr<Submission>> submissions;
  for (const char* token : {"a", "b", "c"}) {
    submissions.push_back(std::make_unique<Submission>(token, row, choices));
  }
  TimePoint now = kStart;
  bool killed = false;
  const auto all_done = [&] {
    return std::all_of(submissions.begin(), submissions.end(),
                       [](const auto& submission) { return submission->done(); });
  };
  for (size_t steps = 0; !all_done(); ++steps) {
    RC_ASSERT(steps < 20000u);
    Submission& chosen = *submissions[choices.exhausted() ? steps % submissions.size()
                                                          : static_cast<size_t>(choices.Next(3))];
    const int event = choices.Next(40);
    if (event == 1) {
      chosen.Kill();
      killed = true;
    } else if (event == 2) {
      now += 25s;  // A pause of all processes.
    } else if (event == 3 || choices.exhausted()) {
      row.ApplyLateWrites();
    } else {
      chosen.Step(now);
    }
    if (choices.exhausted()) chosen.Step(now);
    now += 100ms;
  }
  int runs = 0;
  for (const auto& submission : submissions) {
    runs += submission->runs;
    RC_ASSERT(!submission->sent_late);
    RC_ASSERT(!(submission->reported_not_run && submission->runs > 0));
  }
  RC_ASSERT(runs <= 1);
  // If no entry was killed, every claim is settled, so the key has an answer or can be used again.
  if (!killed && row.row()) RC_ASSERT(row.row()->record.state == State::kEnded);
  if (!killed && runs == 1) RC_ASSERT(row.row()->record.answer.outcome == Outcome::kAnswered);
}

// Fails if a non-idempotent request runs twice, is sent after its deadline, is reported as not run
// although it ran, or leaves a claim behind. Three submissions of one key interleave at random,
// with lost and late writes, outages, pauses, and entries that die at any step.
TEST(LedgerTest, RunsAtMostOnceWhateverFails) {
  EXPECT_TRUE(rc::check([] {
    RunLedgerCase(*rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 1 << 20)));
  }));
}

}  // namespace
}  // namespace citronferry::requests

int main(int argc, char** argv) {
  setenv("RC_PARAMS", "seed=20261204 max_success=20000", 1);
  ::testing::InitGoogleTest(&argc, argv);
  return RUN_ALL_TESTS();
}
