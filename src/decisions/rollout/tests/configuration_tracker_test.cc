#include "decisions/rollout/configuration_tracker.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <sstream>

namespace citronferry::rollout {
namespace {

const TimePoint kNow{1s};
const EntryId kPeer("e1");

template <typename T>
const T* Find(const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    if (const T* found = std::get_if<T>(&action)) return found;
  }
  return nullptr;
}

ConfigurationId Id(uint64_t version, std::string digest = "") {
  return {.version = version,
          .digest = digest.empty() ? "d" + std::to_string(version) : std::move(digest)};
}

class ConfigurationTrackerTest : public ::testing::Test {
 protected:
  std::vector<Action> Handle(const Event& event) { return m_tracker.Handle(event, kNow); }

  ConfigurationTracker m_tracker{Id(5)};
};

// Fails if a store that comes back with an old cache reverts the fleet to an older version.
TEST_F(ConfigurationTrackerTest, OlderVersionIsIgnoredAndLoggedOnce) {
  const auto first = Handle(VersionSeen{.id = Id(4)});
  ASSERT_NE(Find<ReportStale>(first), nullptr);
  EXPECT_TRUE(Find<ReportStale>(first)->first);
  const auto second = Handle(VersionSeen{.id = Id(4)});
  ASSERT_EQ(second.size(), 1u);
  EXPECT_FALSE(Find<ReportStale>(second)->first);
}

// Fails if two documents are active with the same version.
TEST_F(ConfigurationTrackerTest, OtherDigestOfTheActiveVersionIsRefused) {
  const auto actions = Handle(VersionSeen{.id = Id(5, "other"), .peer = kPeer});
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_NE(Find<ReportConflict>(actions), nullptr);
  EXPECT_EQ(m_tracker.active_id(), Id(5));
}

// Fails if the document that a faulty peer announced is adopted although the store has another one
// with this version.
TEST_F(ConfigurationTrackerTest, StoreWinsOverPeerBeforeAdoption) {
  Handle(VersionSeen{.id = Id(6, "forged"), .peer = kPeer});
  EXPECT_NE(Find<ReportConflict>(Handle(VersionSeen{.id = Id(6)})), nullptr);
  const auto actions = Handle(DocumentReady{Id(6, "forged")});
  EXPECT_EQ(Find<AdoptDocument>(actions), nullptr);
  ASSERT_NE(Find<FetchDocument>(actions), nullptr);
  EXPECT_EQ(Find<FetchDocument>(actions)->id, Id(6));
}

// Fails if a document that is not valid is fetched again and again, or a version is not adopted
// because its predecessor was not valid.
TEST_F(ConfigurationTrackerTest, InvalidDocumentIsReportedOnceAndPassedOver) {
  Handle(VersionSeen{.id = Id(6)});
  EXPECT_NE(Find<ReportInvalid>(Handle(DocumentInvalid{Id(6)})), nullptr);
  EXPECT_TRUE(Handle(VersionSeen{.id = Id(6)}).empty());
  EXPECT_NE(Find<FetchDocument>(Handle(VersionSeen{.id = Id(7)})), nullptr);
  EXPECT_NE(Find<AdoptDocument>(Handle(DocumentReady{Id(7)})), nullptr);
}

// Fails if a version is given up after one failed fetch.
TEST_F(ConfigurationTrackerTest, UnavailableDocumentIsFetchedAgainWhenSeenAgain) {
  Handle(VersionSeen{.id = Id(6)});
  EXPECT_TRUE(Handle(DocumentUnavailable{Id(6)}).empty());
  EXPECT_NE(Find<FetchDocument>(Handle(VersionSeen{.id = Id(6)})), nullptr);
}

// Fails if the configuration reverts to an older version, or a version has two documents, because
// messages are lost, duplicated or reordered and results of fetches arrive late or twice.
TEST(ConfigurationTrackerPropertyTest, VersionsOnlyGrowAndTheLastOneIsAdopted) {
  rc::detail::TestParams params;
  params.seed = 20261204;
  params.maxSuccess = 500;
  const auto result = rc::detail::checkTestable(
      [] {
        std::mt19937 random(*rc::gen::arbitrary<unsigned>());
        const auto uniform = [&random](int high) {
          return std::uniform_int_distribution(0, high)(random);
        };
        ConfigurationTracker tracker{{}};
        std::vector<Event> network;
        uint64_t last_adopted = 0;
        const auto apply = [&](const Event& event) {
          for (const Action& action : tracker.Handle(event, kNow)) {
            if (const auto* fetch = std::get_if<FetchDocument>(&action)) {
              const int fate = uniform(5);
              if (fate == 0) {
                network.emplace_back(DocumentUnavailable{fetch->id});
              } else {
                network.emplace_back(DocumentReady{fetch->id});
                if (fate == 1) network.emplace_back(DocumentReady{fetch->id});
              }
            } else if (const auto* adopt = std::get_if<AdoptDocument>(&action)) {
              RC_ASSERT(adopt->id.version > last_adopted);
              last_adopted = adopt->id.version;
            }
          }
        };
        constexpr int kLastVersion = 30;
        for (int step = 0; step < 300; ++step) {
          const auto version = static_cast<uint64_t>(1 + uniform(std::min(step / 8, 28)));
          const EntryId peer = uniform(1) == 0 ? kPeer : EntryId();
          if (uniform(3) > 0) network.emplace_back(VersionSeen{.id = Id(version), .peer = peer});
          if (uniform(20) == 0) {
            network.emplace_back(VersionSeen{.id = Id(version, "forged"), .peer = kPeer});
          }
          std::shuffle(network.begin(), network.end(), random);
          for (int i = uniform(2); i > 0 && !network.empty(); --i) {
            const Event event = network.back();
            network.pop_back();
            apply(event);
          }
        }
        for (int i = 0; i < 1000 && last_adopted < kLastVersion; ++i) {
          network.emplace_back(VersionSeen{.id = Id(kLastVersion)});
          std::shuffle(network.begin(), network.end(), random);
          const auto events = std::exchange(network, {});
          for (const Event& event : events) apply(event);
        }
        RC_ASSERT(tracker.active_id() == Id(kLastVersion));
      },
      rc::detail::TestMetadata(), params);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  EXPECT_TRUE(result.is<rc::detail::SuccessResult>()) << text.str();
}

}  // namespace
}  // namespace citronferry::rollout
