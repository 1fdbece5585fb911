// Starts that the owner could not send, and what planning does with their tasks.
#include <gtest/gtest.h>

#include "decisions/scheduling/tests/fake_pool.h"

namespace citronferry::scheduling {
namespace {

// Guards against a log that does not tell why a start was not sent.
TEST(StartRefusedTest, LogHasTheAnswerAndTheReasonInWords) {
  FakePool pool(1);
  pool.Run(100ms);
  pool.Submit(MakeJob("b", {MakeStep(2, 1000, 300ms)}));
  const Orders orders = pool.scheduler().Plan(pool.now());
  ASSERT_EQ(orders.starts.size(), 2u);
  static_cast<void>(pool.scheduler().TakeNotes());
  pool.scheduler().OnStartAnswer(orders.starts[0], StartAnswer::kNotSent, pool.now(), "too old");
  pool.scheduler().OnStartAnswer(orders.starts[1], StartAnswer::kInsufficientCapacity, pool.now());
  const std::vector<SchedulerNote> notes = pool.scheduler().TakeNotes();
  ASSERT_EQ(notes.size(), 2u);
  EXPECT_EQ(notes[0].event, "start_refused");
  EXPECT_EQ(notes[0].detail, "9, not sent: too old");
  EXPECT_EQ(notes[1].detail, "4, insufficient capacity");
}

}  // namespace
}  // namespace citronferry::scheduling
