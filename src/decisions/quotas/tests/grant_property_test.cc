#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <memory>
#include <vector>

#include "decisions/quotas/grant_planner.h"

namespace citronferry::quotas {
namespace {

// Makes the generated cases and the result the same in every run.
[[maybe_unused]] const int kFixedSeed = setenv("RC_PARAMS", "seed=7113 max_success=100", 0);

constexpr Duration kStep = 10ms;
constexpr Duration kFollowDelay = 100ms;    // Between reads of the table by an owner.
constexpr Duration kTakeoverTime = 2500ms;  // From the end of an owner to its successor.
constexpr Duration kReportDelay = 400ms;    // Until a successor knows what runs in the pool.
constexpr Duration kLateApplication = 3s;   // Longer than a takeover.
constexpr Duration kStrandedAfter = 3s;
constexpr int64_t kMemoryPerCore = 10;  // Of a quota and of a pool.
constexpr int64_t kRoom = 200;          // Cores of a pool.
const TeamName kTeam("team");

Resources WithMemory(int64_t cores, int64_t memory_per_core = kMemoryPerCore) {
  return {.cpu_millicores = cores, .memory_mb = cores * memory_per_core};
}

Resources Sum(Resources left, const Resources& right) { return left += right; }

struct Task {
  Resources request;
  Duration length{};
  TimePoint waiting_since{};  ///< Beside room for it.
};

struct RunningTask {
  Resources request;
  TimePoint ends_at{};
};

struct Request {
  size_t pool = 0;
  GrantWrite write;
  GrantSnapshot condition;
  TimePoint applied_at{};
  bool answered = false;  ///< The response arrives.
  std::weak_ptr<GrantPlanner> sender;
};

/// Model of a store, some pools with one owner each, and a team with a quota. Owners are killed,
/// responses of the store are lost, and writes without a response are applied late.
class GrantModel {
 public:
  explicit GrantModel(size_t pools) : m_pools(pools) {
    for (size_t i = 0; i < pools; ++i) TakeOver(i);
  }

  void Submit(size_t pool, int64_t cores, Duration length,
              int64_t memory_per_core = kMemoryPerCore) {
    m_pools[pool].waiting.push_back(
        {.request = WithMemory(cores, memory_per_core), .length = length, .waiting_since = m_now});
  }
  void Kill(size_t pool) {
    m_pools[pool].owner.reset();
    m_pools[pool].next_owner_at = m_now + kTakeoverTime;
    // Until then nobody can start tasks in the pool or return its grant.
    DisturbUntil(m_now + kTakeoverTime + kReportDelay);
  }
  void SetQuota(int64_t quota) {
    m_previous_quota = m_quota;
    m_quota = quota;
    m_quota_since = m_now;
    DisturbUntil(m_now);
  }
  void LoseResponses(Duration duration) {
    m_responses_lost_until = m_now + duration;
    DisturbUntil(m_responses_lost_until);
  }

  void Run(Duration duration) {
    for (const TimePoint end = m_now + duration; m_now < end;) Step();
  }

  bool bound_kept() const { return m_bound_kept; }
  bool none_stranded() const { return m_none_stranded; }
  int64_t writes() const { return m_writes; }
  Resources in_use() const {
    Resources sum;
    for (const Pool& pool : m_pools) sum += Used(pool);
    return sum;
  }
  size_t waiting() const {
    size_t sum = 0;
    for (const Pool& pool : m_pools) sum += pool.waiting.size();
    return sum;
  }

 private:
  struct Pool {
    std::shared_ptr<GrantPlanner> owner;
    TimePoint next_owner_at{};
    TimePoint known_at{};  ///< From then on the owner knows the runs of its predecessor.
    TimePoint next_read_at{};
    TimePoint configured_at{};
    std::vector<Task> waiting;
    std::vector<RunningTask> running;
  };

  static PoolName NameOf(size_t pool) { return PoolName("p" + std::to_string(pool)); }
  static Resources Used(const Pool& pool) {
    Resources sum;
    for (const RunningTask& task : pool.running) sum += task.request;
    return sum;
  }

  void DisturbUntil(TimePoint end) { m_disturbed_until = std::max(m_disturbed_until, end); }

  void TakeOver(size_t index) {
    Pool& pool = m_pools[index];
    pool.owner = std::make_shared<GrantPlanner>(NameOf(index), ++m_version);
    pool.known_at = m_now + kReportDelay;
    pool.next_read_at = pool.configured_at = m_now;
  }

  // An owner learns of a new quota up to half a second after the change.
  int64_t QuotaFor(size_t pool) const {
    const Duration delay = 100ms * static_cast<int>(pool + 1);
    return m_now - m_quota_since < delay ? m_previous_quota : m_quota;
  }

  void Step() {
    m_now += kStep;
    ApplyRequests();
    for (size_t i = 0; i < m_pools.size(); ++i) {
      Pool& pool = m_pools[i];
      std::erase_if(pool.running, [&](const RunningTask& task) { return task.ends_at <= m_now; });
      if (!pool.owner && m_now >= pool.next_owner_at) TakeOver(i);
      if (pool.owner) RunOwner(i);
    }
    CheckStranded();
  }

  void RunOwner(size_t index) {
    Pool& pool = m_pools[index];
    GrantPlanner& owner = *pool.owner;
    owner.SetQuotas({{kTeam, WithMemory(QuotaFor(index))}});
    if (m_now >= pool.next_read_at && m_now >= m_responses_lost_until) {
      owner.SetSnapshot(m_store);
      pool.next_read_at = m_now + kFollowDelay;
    }
    const bool known = m_now >= pool.known_at;
    // Before the executors have reported, the whole grant counts as in use.
    Resources used = known ? Used(pool) : owner.GrantOf(kTeam);
    const Resources limit = *owner.LimitOf(kTeam);
    Resources room = WithMemory(kRoom) - Used(pool);
    TeamNeed need;
    int64_t smallest = kNoLimit;  // Request of the unit, in MB of the dominant resource.
    std::erase_if(pool.waiting, [&](const Task& task) {
      if (!Fits(task.request, room)) return false;
      if (!known || !Fits(Sum(used, task.request), limit)) {
        need.waiting += task.request;
        const int64_t size =
            std::max(kMemoryPerCore * task.request.cpu_millicores, task.request.memory_mb);
        if (size < smallest) need.unit = task.request;
        smallest = std::min(smallest, size);
        return false;
      }
      used += task.request;
      room -= task.request;
      pool.running.push_back({.request = task.request, .ends_at = m_now + task.length});
      m_bound_kept &= Fits(in_use(), WithMemory(std::max(m_quota, HighestQuotaInForce())));
      return true;
    });
    for (const auto dimension : kDimensions) {
      need.waiting.*dimension = std::min(need.waiting.*dimension, room.*dimension);
    }
    need.used = used;
    owner.SetNeeds({{kTeam, need}}, m_now);
    if (const auto write = owner.PlanWrite(m_now)) Send(index, *write);
  }

  int64_t HighestQuotaInForce() const {
    int64_t highest = 0;
    for (size_t i = 0; i < m_pools.size(); ++i) highest = std::max(highest, QuotaFor(i));
    return highest;
  }

  void Send(size_t index, const GrantWrite& write) {
    ++m_writes;
    Pool& pool = m_pools[index];
    const bool lost = m_now < m_responses_lost_until;
    // Every third of the lost writes is never applied, every third late.
    const Duration delay = !lost ? 10ms : m_writes % 3 == 0 ? kLateApplication : 10ms;
    if (!lost || m_writes % 3 != 1) {
      m_requests.push_back({.pool = index,
                            .write = write,
                            .condition = pool.owner->snapshot(),
                            .applied_at = m_now + delay,
                            .answered = !lost,
                            .sender = pool.owner});
    }
    if (lost) pool.owner->OnWriteFailed(false, true, m_now);
  }

  void ApplyRequests() {
    std::erase_if(m_requests, [&](const Request& request) {
      if (request.applied_at > m_now) return false;
      bool holds = request.condition.members_version == m_store.members_version;
      for (const auto& [pool, known] : request.condition.pools) {
        const auto found = m_store.pools.find(pool);
        holds &= (found == m_store.pools.end() ? 0 : found->second.version) == known.version;
      }
      if (holds) {
        ++m_version;
        m_store.pools[NameOf(request.pool)] = {.version = m_version, .row = request.write.row};
        if (request.write.adds_member) m_store.members_version = m_version;
      }
      const auto sender = request.sender.lock();
      if (!sender || !request.answered) return true;
      if (holds) {
        sender->OnWritten(m_version);
      } else {
        sender->SetSnapshot(m_store);
        sender->OnWriteFailed(true, false, m_now);
      }
      return true;
    });
  }

  // A task is stranded if it has waited beside room for 3 s, all of them below half of the quota.
  void CheckStranded() {
    const Resources twice = Sum(in_use(), in_use());
    const Resources quota = WithMemory(m_quota);
    if (twice.cpu_millicores >= quota.cpu_millicores || twice.memory_mb >= quota.memory_mb) {
      m_below_half_since = m_now;
    }
    const TimePoint since = std::max(m_below_half_since, m_disturbed_until);
    for (Pool& pool : m_pools) {
      for (Task& task : pool.waiting) {
        const bool room = Fits(task.request, WithMemory(kRoom) - Used(pool)) &&
                          Fits(Sum(in_use(), task.request), quota);
        if (!room) task.waiting_since = m_now;
        m_none_stranded &= m_now - std::max(since, task.waiting_since) <= kStrandedAfter;
      }
    }
  }

  TimePoint m_now{10s};
  std::vector<Pool> m_pools;
  GrantSnapshot m_store;
  int64_t m_version = 0;
  std::vector<Request> m_requests;
  int64_t m_quota = 100;
  int64_t m_previous_quota = 100;
  TimePoint m_quota_since{};
  TimePoint m_responses_lost_until{};
  TimePoint m_disturbed_until{};
  TimePoint m_below_half_since{};
  bool m_bound_kept = true;
  bool m_none_stranded = true;
  int64_t m_writes = 0;
};

/// Kills, takeovers, lost and late responses and quota changes, with waiting time after each one.
void RunSchedule(GrantModel& model, size_t pools) {
  const int events = *rc::gen::inRange(5, 40);
  for (int i = 0; i < events; ++i) {
    const size_t pool = *rc::gen::inRange<size_t>(0, pools);
    switch (*rc::gen::inRange(0, 12)) {
      case 0:
        model.Kill(pool);
        break;
      case 1:
        model.SetQuota(*rc::gen::element<int64_t>(40, 60, 100, 160));
        break;
      case 2:
        model.LoseResponses(*rc::gen::inRange(1, 30) * 100ms);
        break;
      default: {
        const int count = *rc::gen::inRange(1, 30);
        const int64_t cores = *rc::gen::element<int64_t>(1, 2, 4, 8, 16);
        const int64_t memory = *rc::gen::element<int64_t>(1, 10, 20);
        const Duration length = *rc::gen::inRange(2, 40) * 100ms;
        for (int k = 0; k < count; ++k) model.Submit(pool, cores, length, memory);
        break;
      }
    }
    model.Run(*rc::gen::inRange(1, 200) * 20ms);
  }
  model.Run(8s);
}

// Guards against grants that are doubled or lost by a kill, a takeover, a lost or late response of
// the store or a lowered quota.
TEST(GrantPropertyTest, UseNeverExceedsTheQuota) {
  EXPECT_TRUE(rc::check([] {
    const size_t pools = *rc::gen::inRange<size_t>(1, 6);
    GrantModel model(pools);
    RunSchedule(model, pools);
    RC_ASSERT(model.bound_kept());
  }));
}

// Guards against a quota of which less than half is used while a task that would fit waits for 3 s,
// counted from the end of the last failure.
TEST(GrantPropertyTest, NoTaskIsStranded) {
  EXPECT_TRUE(rc::check([] {
    const size_t pools = *rc::gen::inRange<size_t>(1, 6);
    GrantModel model(pools);
    RunSchedule(model, pools);
    RC_ASSERT(model.none_stranded());
  }));
}

// Guards against a successor that uses a grant that a late write of its predecessor may still
// return.
TEST(GrantPropertyTest, SuccessorStartsNothingBeforeItHasClaimedTheRow) {
  const PoolName pool("p");
  GrantPlanner owner(pool, 7);
  owner.SetQuotas({{kTeam, {.cpu_millicores = 100}}});
  GrantSnapshot snapshot{.members_version = 3};
  snapshot.pools[pool] = {.version = 3,
                          .row = {.epoch = 2, .teams = {{kTeam, {.granted = {60, 0, 0}}}}}};
  owner.SetSnapshot(snapshot);
  owner.SetNeeds({{kTeam, {.used = {60, 0, 0}}}}, TimePoint(1s));
  EXPECT_EQ(owner.LimitOf(kTeam)->cpu_millicores, 0);
  const auto write = owner.PlanWrite(TimePoint(1s));
  ASSERT_TRUE(write);
  EXPECT_GE(write->row.teams.at(kTeam).granted.cpu_millicores, 60);
  EXPECT_EQ(owner.LimitOf(kTeam)->cpu_millicores, 0);
  owner.OnWritten(8);
  EXPECT_GE(owner.LimitOf(kTeam)->cpu_millicores, 60);
}

// Guards against an owner that writes for each start, and against one that makes the starts of a
// surge wait for several writes.
TEST(GrantPropertyTest, SurgeOfOneQueueNeedsFewWrites) {
  GrantModel model(5);
  for (int i = 0; i < 20; ++i) {
    model.Submit(static_cast<size_t>(i % 5), 1, 1s);
    model.Run(50ms);
  }
  model.Run(3s);
  const int64_t before = model.writes();
  for (int i = 0; i < 50; ++i) model.Submit(0, 1, 1s);
  model.Run(150ms);
  EXPECT_EQ(model.waiting(), 0u);
  EXPECT_EQ(model.in_use().cpu_millicores, 50);
  model.Run(850ms);
  EXPECT_LE(model.writes() - before, 4);
}

// Guards against writes while nothing changes.
TEST(GrantPropertyTest, IdlePoolsDoNotWrite) {
  GrantModel model(5);
  for (size_t pool = 0; pool < 5; ++pool) model.Submit(pool, 8, 1s);
  model.Run(6s);
  const int64_t before = model.writes();
  model.Run(10s);
  EXPECT_EQ(model.writes(), before);
}

}  // namespace
}  // namespace citronferry::quotas
