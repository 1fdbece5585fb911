#include <deque>

#include "fleet/pool/internal/instance_directory.h"
#include "fleet/pool/internal/pool_owner.h"
#include "fleet/tables.h"
#include "fleet/tests/fleet_fixture.h"

namespace citronferry::fleet {
namespace {

using Outcome = InstanceOrderOutcome;

/// An order as the platform received it.
struct ReceivedOrder {
  InstanceId instance;
  std::string holder;
  int64_t token = 0;
  bool move = false;
};

/// Instances that are switched off, and the orders that they have received.
class RecordingInstances : public Instances {
 public:
  explicit RecordingInstances(TimerService& timers) : m_timers(timers) {}

  QCoro::Task<RetVal<std::vector<Instance>>> List() override {
    const RetVal<std::vector<Instance>> answer =
        list_unavailable ? RetVal<std::vector<Instance>>(Ret(ErrorCode::kUnavailable, "no list"))
                         : RetVal<std::vector<Instance>>(listed);
    Duration delay{};
    if (!list_delays.empty()) {
      delay = list_delays.front();
      list_delays.pop_front();
    }
    co_await SleepFor(m_timers, delay);
    co_return answer;
  }
  QCoro::Task<Outcome> Move(InstanceId instance, PoolName, OrderIssuer issuer) override {
    orders.push_back({instance, issuer.holder, issuer.fencing_token, true});
    if (on_move) on_move();
    co_return NextOutcome();
  }
  QCoro::Task<Outcome> StartMaintenance(InstanceId instance, int64_t, OrderIssuer issuer) override {
    orders.push_back({instance, issuer.holder, issuer.fencing_token, false});
    co_return NextOutcome();
  }

  std::vector<Instance> listed;
  bool list_unavailable = false;
  std::deque<Duration> list_delays;  ///< Of the next responses, one each.
  std::deque<Outcome> outcomes;      ///< Of the next orders, one each; then kAccepted.
  std::function<void()> on_move;
  std::vector<ReceivedOrder> orders;

 private:
  Outcome NextOutcome() {
    if (outcomes.empty()) return Outcome::kAccepted;
    const Outcome outcome = outcomes.front();
    outcomes.pop_front();
    return outcome;
  }

  TimerService& m_timers;
};

/// The owner of a standby pool.
class InstanceOrdersTest : public FleetTest {
 protected:
  InstanceOrdersTest() {
    m_options.holder_change_interval = 200ms;
    m_owner_context.configuration.Set(
        {.version = 1, .pools = {{.name = m_pool, .standby = true}, {.name = m_other}}});
    m_recorder.listed = {{.id = m_instance, .pool = m_pool, .state = InstanceState::kUp}};
  }
  ~InstanceOrdersTest() override { EXPECT_TRUE(Stop()); }

  void Start() {
    const OwnerRecord record{.holder = "entry-1", .incarnation = "life-1"};
    const int64_t epoch =
        m_rows.Apply({.puts = {{.key = OwnerKey(m_pool), .value = EncodeOwner(record)}}}).version;
    m_rows.timers = m_timers.get();
    m_owner = std::make_unique<PoolOwner>(
        m_owner_context, m_pool, Ownership{.epoch = epoch, .acquired_at = m_timers->Now()});
    m_scope.Spawn(
        [this]() -> QCoro::Task<void> { static_cast<void>(co_await m_owner->Run(m_stop)); });
  }
  bool Stop() {
    m_stop.Request();
    return ProcessEventsUntil([this] { return m_scope.running() == 0; });
  }
  void AnnounceWave() {
    m_owner_context.waves.Set(
        {{1,
          {.number = 1, .instances = {m_instance}, .time_left_at_start = 10s, .max_at_once = 1}}});
  }
  // Makes the other pool ask for instances.
  void RequestMoves() {
    m_owner_context.demands.Set(
        {{m_other,
          {.pool = m_other, .instances = 1, .cores_per_instance = 16, .wanted_cores = 64}}});
  }
  bool WaitForOrders(size_t count) {
    return ProcessEventsUntil([&] { return m_recorder.orders.size() >= count; });
  }

  const PoolName m_pool{"pool"};
  const PoolName m_other{"other"};
  const InstanceId m_instance{"m-1"};
  RecordingInstances m_recorder{*m_timers};
  PlatformServices m_services{.rows = m_rows,
                              .announcements = m_announcements,
                              .executors = m_executors,
                              .adviser = m_adviser,
                              .instances = m_recorder,
                              .clients = m_clients};
  FleetContext m_owner_context{
      .options = m_options, .timers = *m_timers, .metrics = m_metrics, .platform = m_services};
  std::unique_ptr<PoolOwner> m_owner;
  StopSignal m_stop;
  TaskScope m_scope;
};

// Guards against an older list that replaces a newer one: responses on different connections may
// overtake each other.
TEST_F(InstanceOrdersTest, OlderListDoesNotReplaceANewerOne) {
  m_recorder.list_delays = {700ms, 0ms};
  InstanceDirectory directory(m_owner_context);
  TaskScope scope;
  scope.Spawn([&]() -> QCoro::Task<void> { co_await directory.Refresh(Duration::zero()); });
  Await(Wait(350ms));
  m_recorder.listed.front().pool = m_other;
  Await(directory.Refresh(Duration::zero()));
  EXPECT_TRUE(ProcessEventsUntil([&] { return scope.running() == 0; }));
  EXPECT_EQ(directory.Find(m_instance)->pool, m_other);
}

// Guards against an instance that left the pool and came back between two reads of the list, and is
// taken for one that has been there all the time.
TEST_F(InstanceOrdersTest, TimeInPoolRestartsAfterAGapBetweenLists) {
  InstanceDirectory directory(m_owner_context);
  Await(directory.Refresh(Duration::zero()));
  Await(Wait(3s));
  directory.Invalidate();
  Await(directory.Refresh(Duration::zero()));
  EXPECT_LT(directory.TimeInPool(m_instance, m_pool), 300ms);
}

// Guards against a time in the pool that counts from before the move: a list that was requested
// before the move may show it if the response takes long.
TEST_F(InstanceOrdersTest, TimeInPoolCountsFromTheResponse) {
  m_recorder.list_delays = {600ms};
  InstanceDirectory directory(m_owner_context);
  Await(directory.Refresh(Duration::zero()));
  EXPECT_LT(directory.TimeInPool(m_instance, m_pool), 300ms);
}

}  // namespace
}  // namespace citronferry::fleet
