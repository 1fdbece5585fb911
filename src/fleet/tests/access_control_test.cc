#include "fleet/entry/internal/access_control.h"

#include <deque>

#include "fleet/tests/fleet_fixture.h"
#include "fleet/watch/watchers.h"

namespace citronferry::fleet {
namespace {

/// A store of which the test sets the configuration and the answers.
class ScriptedOperator : public Announcements {
 public:
  explicit ScriptedOperator(TimerService& timers) : m_timers(timers) {}

  QCoro::Task<RetVal<OperatorChanges>> ReadOperator() override {
    ++calls;
    co_await SleepFor(m_timers, kResponseTime);
    if (!reachable) co_return Ret(ErrorCode::kUnavailable, "cut off");
    OperatorChanges changes{.configuration = configuration, .version = configuration.version};
    co_return changes;
  }
  QCoro::Task<RetVal<OperatorChanges>> FollowOperator(int64_t after, Duration) override {
    ++calls;
    co_await SleepFor(m_timers, kResponseTime);
    if (!reachable) co_return Ret(ErrorCode::kUnavailable, "cut off");
    if (std::exchange(history_lost, false)) co_return Ret(ErrorCode::kNotFound, "compacted");
    OperatorChanges changes{.version = configuration.version};
    if (unreadable) {
      changes.unreadable.push_back({.key = "config", .is_configuration = true});
    } else if (after < configuration.version) {
      changes.configuration = configuration;
    }
    co_return changes;
  }
  QCoro::Task<RetVal<RegistryChanges>> ReadRegistry() override { co_return RegistryChanges{}; }
  QCoro::Task<RetVal<RegistryChanges>> FollowRegistry(int64_t, Duration) override {
    co_return RegistryChanges{};
  }
  QCoro::Task<Ret> PublishWave(int64_t, bool) override { co_return MakeOk(); }

  Configuration configuration;
  bool reachable = true;
  bool history_lost = false;
  bool unreadable = false;
  int calls = 0;

 private:
  static constexpr Duration kResponseTime = 5ms;

  TimerService& m_timers;
};

class AccessControlTest : public FleetTest {
 protected:
  AccessControlTest() {
    m_options.strict_revocation = true;
    m_options.revocation_bound = 5s;
    m_options.configuration_bound = 3s;
    m_operator.configuration = WithKeys(1, {"k1", "k2"});
    m_access = std::make_unique<AccessControl>(m_context);
  }
  ~AccessControlTest() override {
    if (m_watcher) m_watcher->Stop();
    EXPECT_TRUE(ProcessEventsUntil([&] { return m_scope.running() == 0; }));
  }

  static Configuration WithKeys(int64_t version, std::vector<std::string> keys) {
    Configuration configuration{.version = version};
    configuration.queues.push_back({.host = "h", .path_prefix = "/a/"});
    configuration.teams.push_back({.name = TeamName("t"), .api_keys = std::move(keys)});
    return configuration;
  }

  void StartWatcher() {
    m_watcher = MakeOperatorWatcher(m_context).factory();
    m_scope.Spawn([this]() -> QCoro::Task<void> { static_cast<void>(co_await m_watcher->Run()); });
    ASSERT_TRUE(ProcessEventsUntil([&] { return m_context.configuration.Get().version > 0; }));
  }
  /// Lets the watcher make calls until the previous changes have taken effect.
  void AwaitCalls() {
    const int before = m_operator.calls;
    ASSERT_TRUE(ProcessEventsUntil([&] { return m_operator.calls > before + 1; }));
  }

  /// @return the answer to a call with a key that arrives a time after now.
  std::variant<TeamName, AccessRefusal> Call(std::string_view key, Duration later = {}) {
    const Configuration& configuration = m_context.configuration.Get();
    const CallHead head{.queue = &configuration.queues.front(), .api_key = std::string(key)};
    return m_access->Authorize(head, m_timers->Now() + later);
  }
  bool Serves(std::string_view key, Duration later = {}) {
    return std::holds_alternative<TeamName>(Call(key, later));
  }
  /// @return whether the call is refused without saying that the key or the queue is unknown.
  static bool IsUndecided(const std::variant<TeamName, AccessRefusal>& answer) {
    const auto* refusal = std::get_if<AccessRefusal>(&answer);
    return refusal && !refusal->error;
  }

  ScriptedOperator m_operator{*m_timers};
  PlatformServices m_services{.rows = m_rows,
                              .announcements = m_operator,
                              .executors = m_executors,
                              .adviser = m_adviser,
                              .instances = m_instances,
                              .clients = m_clients};
  FleetContext m_context{
      .options = m_options, .timers = *m_timers, .metrics = m_metrics, .platform = m_services};
  std::unique_ptr<AccessControl> m_access;  // Reads the options when it is created.
  std::unique_ptr<Service> m_watcher;
  TaskScope m_scope;
};

TEST_F(AccessControlTest, KeysOfTheConfigurationInForceAreServed) {
  StartWatcher();
  const auto answer = Call("k1");
  ASSERT_TRUE(std::holds_alternative<TeamName>(answer));
  EXPECT_EQ(std::get<TeamName>(answer), TeamName("t"));
  const auto unknown = Call("k3");
  ASSERT_TRUE(std::holds_alternative<AccessRefusal>(unknown));
  EXPECT_EQ(std::get<AccessRefusal>(unknown).error->kind, CallError::Kind::kUnknownKey);
  m_operator.configuration = WithKeys(2, {"k2"});
  AwaitCalls();
  EXPECT_FALSE(Serves("k1"));
  EXPECT_TRUE(Serves("k2"));
}

// Guards against an entry that was cut off from the store while a key was withdrawn and serves it
// later than the revocation bound, and against one that calls a new key unknown meanwhile.
TEST_F(AccessControlTest, EntryWithoutTheStoreServesNoKeyBeyondTheBound) {
  StartWatcher();
  m_operator.reachable = false;
  AwaitCalls();
  m_operator.configuration = WithKeys(2, {"k2", "k3"});
  EXPECT_TRUE(Serves("k1"));  // Nobody can know yet.
  EXPECT_TRUE(IsUndecided(Call("k1", 5s)));
  EXPECT_TRUE(IsUndecided(Call("k2", 5s)));
  EXPECT_TRUE(IsUndecided(Call("k3", 3s)));
  m_operator.reachable = true;
  AwaitCalls();
  EXPECT_TRUE(Serves("k2"));
  EXPECT_TRUE(Serves("k3"));
  EXPECT_FALSE(Serves("k1"));
}

// Guards against a paused entry that serves a call at its wake-up on what it knew before the pause:
// the pause is part of the age of its configuration.
TEST_F(AccessControlTest, PauseCountsAgainstTheBound) {
  StartWatcher();
  m_operator.reachable = false;
  AwaitCalls();
  m_context.configuration_confirmed_at = m_timers->Now() - 6s;
  EXPECT_TRUE(IsUndecided(Call("k1")));
}

// Guards against a lost history of the store that hides a revocation.
TEST_F(AccessControlTest, LostHistoryDoesNotHideARevocation) {
  StartWatcher();
  m_operator.history_lost = true;
  m_operator.configuration = WithKeys(2, {"k2"});
  ASSERT_TRUE(ProcessEventsUntil([&] { return m_context.configuration.Get().version == 2; }));
  EXPECT_FALSE(Serves("k1"));
}

// Guards against an entry that takes its configuration for the newest one although a newer one
// could not be decoded.
TEST_F(AccessControlTest, UnreadableConfigurationEndsTheConfirmation) {
  StartWatcher();
  m_operator.unreadable = true;
  AwaitCalls();
  const auto confirmed_at = m_context.configuration_confirmed_at;
  AwaitCalls();
  EXPECT_EQ(m_context.configuration_confirmed_at, confirmed_at);
}

// Guards against an entry that serves before it has read any configuration.
TEST_F(AccessControlTest, EntryThatStartsServesNothingBeforeItsFirstRead) {
  m_context.configuration.Set(WithKeys(1, {"k1"}));
  EXPECT_TRUE(IsUndecided(Call("k1")));
}

// Guards against calls without a key that are affected: public queues, and deployments without
// teams, are served as before, and an unknown queue stays unknown there.
TEST_F(AccessControlTest, CallsWithoutKeysAreNotAffected) {
  Configuration without_teams = WithKeys(1, {});
  without_teams.teams.clear();
  m_context.configuration.Set(std::move(without_teams));
  EXPECT_TRUE(Serves("", 60s));
  const auto answer = m_access->Authorize(CallError{CallError::Kind::kNoSuchQueue, "no queue"},
                                          m_timers->Now() + 60s);
  ASSERT_TRUE(std::holds_alternative<AccessRefusal>(answer));
  EXPECT_TRUE(std::get<AccessRefusal>(answer).error);
}

}  // namespace
}  // namespace citronferry::fleet
