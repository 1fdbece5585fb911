#include <string>

#include "fleet/pool/internal/pool_owner.h"
#include "fleet/tables.h"
#include "fleet/tests/fleet_fixture.h"

namespace citronferry::fleet {
namespace {

using Fault = FakeRowStore::Fault;

const TeamName kTeam("team");

quotas::GrantRow MakeRow() {
  return {.epoch = 17,
          .teams = {{kTeam,
                     {.granted = {.cpu_millicores = 4000, .memory_mb = 100, .gpus = 2},
                      .is_short = true,
                      .need = {.used = {.cpu_millicores = 3000},
                               .waiting = {.cpu_millicores = 9000, .memory_mb = 7},
                               .unit = {.cpu_millicores = 2000}}}},
                    {TeamName("other"), {.granted = {.cpu_millicores = 1}}}}};
}

// Guards against grants that are lost when they are stored and read.
TEST(GrantRowTest, IsReadAsWritten) {
  const auto read = DecodeGrants(EncodeGrants(MakeRow()));
  ASSERT_TRUE(read.ok()) << read.ret().message();
  EXPECT_EQ(read.value(), MakeRow());
}

// Guards against a damaged row that is read as a smaller grant, which another pool would take.
TEST(GrantRowTest, DamagedRowIsAnError) {
  const std::string text = EncodeGrants(MakeRow());
  for (size_t length = 0; length < text.size(); ++length) {
    EXPECT_FALSE(DecodeGrants(text.substr(0, length)).ok()) << length;
  }
  for (const char* damaged :
       {"[]", "{}", R"({"epoch":1})", R"({"epoch":1,"teams":[]})", R"({"teams":{}})",
        R"({"epoch":"x","teams":{}})", R"({"epoch":1,"teams":{"a":{}}})",
        R"({"epoch":1,"teams":{"a":{"grant":[1,2]}}})",
        R"({"epoch":1,"teams":{"a":{"grant":[1,2,-3]}}})",
        R"({"epoch":1,"teams":{"a":{"grant":[1,2,3,4]}}})",
        R"({"epoch":1,"teams":{"a":{"grant":[1,2,3],"waiting":[1,2,3]}}})",
        R"({"epoch":1,"teams":{"a":{"grant":[1,2,1e300]}}})"}) {
    EXPECT_FALSE(DecodeGrants(damaged).ok()) << damaged;
  }
}

class GrantsTest : public FleetTest {
 protected:
  GrantsTest() { m_rows.timers = m_timers.get(); }

  void Configure(int64_t cpu) {
    Configuration configuration{.version = ++m_configuration_version, .pools = {{.name = m_pool}}};
    configuration.teams = {{.name = kTeam, .quota = {.cpu_millicores = cpu}}};
    m_context.configuration.Set(std::move(configuration));
  }

  int64_t TakeOver() {
    const OwnerRecord record{.holder = "entry-1", .incarnation = "life-1"};
    return m_rows.Apply({.puts = {{.key = OwnerKey(m_pool), .value = EncodeOwner(record)}}})
        .version;
  }

  // Runs an owner of the pool until a condition holds, then stops it.
  template <typename Predicate>
  bool RunOwner(int64_t epoch, Predicate predicate) {
    PoolOwner owner(m_context, m_pool, {.epoch = epoch, .acquired_at = m_timers->Now()});
    StopSignal stop;
    TaskScope scope;
    scope.Spawn([&]() -> QCoro::Task<void> { static_cast<void>(co_await owner.Run(stop)); });
    const bool reached = ProcessEventsUntil([&] { return predicate(owner); });
    stop.Request();
    EXPECT_TRUE(ProcessEventsUntil([&] { return scope.running() == 0; }));
    return reached;
  }

  quotas::GrantRow Stored(const PoolName& pool) {
    if (!m_rows.Has(GrantsKey(pool))) return {};
    return DecodeGrants(m_rows.At(GrantsKey(pool)).value).value();
  }

  PoolName m_pool{"pool"};
  int64_t m_configuration_version = 0;
};

// Guards against rows for a deployment without quotas, which is to see no change.
TEST_F(GrantsTest, NothingIsWrittenWithoutQuotas) {
  Configure(0);
  const TimePoint started_at = m_timers->Now();
  EXPECT_TRUE(RunOwner(TakeOver(), [&](PoolOwner&) { return m_timers->Now() - started_at > 1s; }));
  EXPECT_FALSE(m_rows.Has(GrantMembersKey()));
  EXPECT_FALSE(m_rows.Has(GrantsKey(m_pool)));
}

// Guards against an owner that gives up, or writes its row twice, when responses are lost.
TEST_F(GrantsTest, RowIsWrittenAlthoughResponsesAreLost) {
  Configure(4000);
  const int64_t epoch = TakeOver();
  for (int i = 0; i < 4; ++i) {
    m_rows.faults.push_back(Fault::kLoseResponse);
    m_rows.faults.push_back(Fault::kLoseCall);
  }
  EXPECT_TRUE(RunOwner(
      epoch, [&](PoolOwner&) { return Stored(m_pool).epoch == epoch && m_rows.faults.empty(); }));
  EXPECT_TRUE(m_rows.Has(GrantMembersKey()));
  EXPECT_LE(Stored(m_pool).teams.at(kTeam).granted.cpu_millicores, 4000);
}

// Guards against a successor that returns its predecessor's grant before it knows what runs.
TEST_F(GrantsTest, SuccessorContinuesWithTheGrant) {
  Configure(4000);
  const quotas::GrantRow row{.epoch = 1, .teams = {{kTeam, {.granted = {3500, 0, 0}}}}};
  const scheduling::LinkRecord link{.executor = scheduling::ExecutorId("x"),
                                    .address = "127.0.0.1:9"};
  m_rows.Apply({.puts = {{.key = LinkKey(m_pool, link.executor), .value = EncodeLink(link)}}});
  const quotas::GrantRow other{.epoch = 1, .teams = {{kTeam, {.granted = {500, 0, 0}}}}};
  m_rows.Apply({.puts = {{.key = GrantMembersKey(), .value = "{}"},
                         {.key = GrantsKey(m_pool), .value = EncodeGrants(row)},
                         {.key = GrantsKey(PoolName("other")), .value = EncodeGrants(other)}}});
  const int64_t epoch = TakeOver();
  EXPECT_TRUE(RunOwner(epoch, [&](PoolOwner&) { return Stored(m_pool).epoch == epoch; }));
  EXPECT_EQ(Stored(m_pool).teams.at(kTeam).granted.cpu_millicores, 3500);
}

// Guards against a pool that takes what a row that cannot be read may grant.
TEST_F(GrantsTest, UnreadableRowOfAnotherPoolCountsAsTheWholeQuota) {
  Configure(4000);
  m_rows.Apply({.puts = {{.key = GrantMembersKey(), .value = "{}"},
                         {.key = GrantsKey(PoolName("other")), .value = "{\"epoch\":1,"}}});
  const int64_t epoch = TakeOver();
  EXPECT_TRUE(RunOwner(epoch, [&](PoolOwner&) { return Stored(m_pool).epoch == epoch; }));
  EXPECT_FALSE(Stored(m_pool).teams.contains(kTeam));
}

}  // namespace
}  // namespace citronferry::fleet
