#include "decisions/membership/peer_tracker.h"

#include <gtest/gtest.h>

#include "decisions/membership/absence_tracker.h"

namespace citronferry::membership {
namespace {

const EntryId kPeer("b");

template <typename T>
bool Contains(const std::vector<PeerAction>& actions) {
  for (const PeerAction& action : actions) {
    if (std::holds_alternative<T>(action)) return true;
  }
  return false;
}

class PeerTrackerTest : public ::testing::Test {
 protected:
  PeerTrackerTest() { SetRoster("1"); }

  std::vector<PeerAction> SetRoster(std::string incarnation) {
    return m_tracker.Handle(PeersChanged{{{.entry = kPeer, .incarnation = std::move(incarnation)}}},
                            m_now);
  }
  std::vector<PeerAction> Receive(std::string incarnation, bool own_connection = true) {
    return m_tracker.Handle(MessageReceived{.entry = kPeer,
                                            .incarnation = std::move(incarnation),
                                            .own_connection = own_connection},
                            m_now);
  }
  std::vector<PeerAction> TickAfter(Duration duration) {
    m_now += duration;
    return m_tracker.Handle(PeerTick{}, m_now);
  }

  TimePoint m_now{10s};
  PeerTracker m_tracker;
};

// Fails if a dead peer counts as alive and is asked for slots or documents.
TEST_F(PeerTrackerTest, SilentPeerBecomesSuspect) {
  EXPECT_TRUE(Contains<PeerBecameAlive>(Receive("1")));
  EXPECT_FALSE(Contains<PeerBecameSuspect>(TickAfter(2900ms)));
  EXPECT_TRUE(m_tracker.alive(kPeer));
  EXPECT_TRUE(Contains<PeerBecameSuspect>(TickAfter(100ms)));
  EXPECT_FALSE(m_tracker.alive(kPeer));
}

// Fails if a broken connection is kept because the peer's own connection still delivers messages.
TEST_F(PeerTrackerTest, SilentConnectionOfLivePeerIsReplaced) {
  Receive("1");
  for (int i = 0; i < 29; ++i) {
    EXPECT_FALSE(Contains<ReplaceConnection>(TickAfter(100ms)));
    Receive("1", false);
  }
  const auto actions = TickAfter(100ms);
  EXPECT_TRUE(Contains<ReplaceConnection>(actions));
  EXPECT_FALSE(Contains<PeerBecameSuspect>(actions));
  EXPECT_FALSE(Contains<ReplaceConnection>(TickAfter(100ms)));
}

// Fails if a late message of an earlier incarnation is taken for one of the current incarnation.
TEST_F(PeerTrackerTest, MessageOfOldIncarnationIsIgnored) {
  Receive("1");
  EXPECT_TRUE(Contains<PeerRestarted>(Receive("2")));
  EXPECT_TRUE(Contains<IgnoreMessage>(Receive("1")));
  EXPECT_TRUE(SetRoster("1").empty());
  EXPECT_FALSE(Contains<IgnoreMessage>(Receive("2")));
}

// Fails if every entry is removed when the platform does not list entries, or a new entry is
// removed before the platform lists it.
TEST(AbsenceTrackerTest, EntryIsGoneAfterTenSecondsOfLists) {
  const std::vector<EntryId> roster{EntryId("a"), kPeer};
  const std::set<EntryId> listed{EntryId("a")};
  TimePoint now{1s};
  AbsenceTracker tracker;
  tracker.Observe(roster, {}, now);
  EXPECT_FALSE(tracker.any_absent());
  tracker.Observe(roster, listed, now);
  tracker.Observe(roster, listed, now + 9s);
  EXPECT_TRUE(tracker.GoneEntries().empty());
  tracker.Observe(roster, listed, now + 10s);
  EXPECT_EQ(tracker.GoneEntries(), std::set<EntryId>{kPeer});
  tracker.Observe(roster, {EntryId("a"), kPeer}, now + 11s);
  EXPECT_TRUE(tracker.GoneEntries().empty());
}

}  // namespace
}  // namespace citronferry::membership
