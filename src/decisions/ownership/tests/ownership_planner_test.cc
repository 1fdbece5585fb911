#include "decisions/ownership/ownership_planner.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <deque>
#include <string>

namespace citronferry::ownership {
namespace {

// Makes the generated cases and the result the same in every run.
[[maybe_unused]] const int kFixedSeed = setenv("RC_PARAMS", "seed=4252 max_success=300", 1);

const std::array<PoolName, 3> kPools{PoolName("a"), PoolName("b"), PoolName("c")};
const std::array<InstanceId, 3> kInstances{InstanceId("i0"), InstanceId("i1"), InstanceId("i2")};

/// Model of an entry: the rows that it knows and the requests that it has in flight, by instance.
struct Entry {
  EntryId id;
  bool alive = true;
  TimePoint died{};
  std::map<InstanceId, StoredRow> view;
  std::map<InstanceId, std::vector<PoolName>> in_flight;
};

/// Model of a fleet with two competing planners, three entries and the platform. Observations reach
/// the planners late, repeatedly and out of order; some writes are lost.
class FleetModel {
 public:
  FleetModel() {
    for (const char* name : {"e0", "e1", "e2"}) m_entries.push_back({.id = EntryId(name)});
    for (Entry& entry : m_entries) Register(entry);
    AssignAll(0);
    for (OwnershipPlanner& planner : m_planners) DeliverAll(planner);
  }

  void Step(uint32_t command) {
    using Handler = void (FleetModel::*)(uint32_t);
    static constexpr std::array<Handler, 16> kHandlers{
        &FleetModel::Dispatch, &FleetModel::Dispatch,    &FleetModel::Finish,
        &FleetModel::Finish,   &FleetModel::Refresh,     &FleetModel::Refresh,
        &FleetModel::Report,   &FleetModel::Plan,        &FleetModel::Plan,
        &FleetModel::Plan,     &FleetModel::PlanFresh,   &FleetModel::Reboot,
        &FleetModel::Reserve,  &FleetModel::KillOrStart, &FleetModel::Reassign,
        &FleetModel::Wait};
    m_now += 300ms;
    const auto index = command % kHandlers.size();
    (this->*kHandlers[index])(command / kHandlers.size());
  }

  /// @return whether requests of different pools run on one instance.
  bool HasSharedInstance() const {
    return std::any_of(kInstances.begin(), kInstances.end(), [this](const InstanceId& id) {
      std::set<PoolName> pools;
      for (const Entry& entry : m_entries) {
        const auto found = entry.in_flight.find(id);
        if (found != entry.in_flight.end())
          pools.insert(found->second.begin(), found->second.end());
      }
      return pools.size() > 1;
    });
  }
  int moves() const { return m_moves; }

 private:
  // Entries.
  void Dispatch(uint32_t argument) {
    Entry& entry = m_entries[argument % 3];
    const InstanceId& id = kInstances[argument / 3 % 3];
    const auto row = entry.view.find(id);
    if (!entry.alive || row == entry.view.end() || row->second.row.state != RowState::kServing) {
      return;
    }
    entry.in_flight[id].push_back(row->second.row.pool);
  }
  void Finish(uint32_t argument) {
    m_entries[argument % 3].in_flight[kInstances[argument / 3 % 3]].clear();
  }
  void Refresh(uint32_t argument) {
    Entry& entry = m_entries[argument % 3];
    if (!entry.alive) return;
    entry.view = m_rows;
    Report(argument);
  }
  void Report(uint32_t argument) {
    Entry& entry = m_entries[argument % 3];
    if (!entry.alive) return;
    EntryReport& report = m_roster[entry.id];
    ++report.version;
    report.in_flight.clear();
    for (const auto& [id, requests] : entry.in_flight) {
      report.in_flight[id] = static_cast<int>(requests.size());
    }
    for (const auto& [id, stored] : entry.view) {
      report.acknowledged_sequence = std::max(report.acknowledged_sequence, stored.sequence);
    }
  }
  void Register(Entry& entry) {
    EntryReport& report = m_roster[entry.id];
    report = {.id = entry.id, .version = report.version + 1};
  }
  void KillOrStart(uint32_t argument) {
    Entry& entry = m_entries[1 + argument % 2];
    if (std::exchange(entry.alive, !entry.alive)) {
      entry.view.clear();
      entry.in_flight.clear();
      entry.died = m_now;
    } else {
      Register(entry);
    }
  }

  // Operators and the platform.
  void AssignAll(uint32_t argument) {
    DocumentObserved document{.version = m_documents.size() + 1};
    for (size_t i = 0; i < kInstances.size(); ++i) {
      document.homes[kInstances[i]] = kPools[(argument / (i + 1)) % 3];
    }
    m_documents.push_back(document);
  }
  void Reassign(uint32_t argument) {
    if (argument % 4 == 0) AssignAll(argument / 4);
  }
  void Reboot(uint32_t argument) {
    m_absent[argument % 3] = !m_absent[argument % 3];
    m_now += 1s;
  }
  void Reserve(uint32_t argument) {
    const InstanceId& id = kInstances[argument % 3];
    const auto row = m_rows.find(id);
    if (row == m_rows.end()) return;
    m_reservations[id] = {.row_version = row->second.version, .target = kPools[argument / 3 % 3]};
  }
  void Wait(uint32_t) { m_now += 4s; }

  InstanceListObserved ReadList() const {
    InstanceListObserved list{.read_started = m_now};
    for (const Entry& entry : m_entries) {
      // The list is up to 3 s stale.
      if (entry.alive || m_now - entry.died < 3s) {
        list.instances.push_back({.id = InstanceId(entry.id.view()), .live = true});
      }
    }
    for (size_t i = 0; i < kInstances.size(); ++i) {
      if (!m_absent[i]) list.instances.push_back({.id = kInstances[i], .live = true});
    }
    return list;
  }
  RosterObserved ReadRoster() const {
    RosterObserved roster{.read_started = m_now};
    for (const auto& [id, report] : m_roster) roster.entries.push_back(report);
    return roster;
  }

  // Planners.
  void DeliverAll(OwnershipPlanner& planner) {
    Remember();
    for (const Event& event : m_history) planner.Handle(event, m_now);
  }
  void Remember() {
    for (const auto& [id, stored] : m_rows) {
      m_history.push_back(RowObserved{
          .id = id, .row = stored.row, .version = stored.version, .sequence = stored.sequence});
    }
    m_history.push_back(ReadRoster());
    m_history.push_back(ReadList());
    m_history.push_back(ReservationsObserved{m_reservations});
    m_history.push_back(m_documents.back());
    while (m_history.size() > 40) m_history.pop_front();
  }
  void PlanFresh(uint32_t argument) {
    DeliverAll(m_planners[argument % 2]);
    Plan(argument);
  }
  /// Delivers some old observations out of order, then runs a planner.
  void Plan(uint32_t argument) {
    OwnershipPlanner& planner = m_planners[argument % 2];
    Remember();
    for (uint32_t i = 0; i < argument / 2 % 8; ++i) {
      planner.Handle(m_history[(argument * 7 + i * 13) % m_history.size()], m_now);
    }
    for (const Action& action : planner.Handle(Tick{.epoch = 1 + argument % 2}, m_now)) {
      const auto* write = std::get_if<WriteInstance>(&action);
      if (write && argument / 16 % 5 != 0) Store(*write);  // Some writes are lost.
    }
  }
  void Store(const WriteInstance& write) {
    const auto row = m_rows.find(write.id);
    const uint64_t version = row == m_rows.end() ? 0 : row->second.version;
    if (write.expected_version.value_or(0) != version) return;
    if (version > 0 && row->second.row.pool != write.row.pool) ++m_moves;
    m_rows[write.id] = {.row = write.row, .version = version + 1, .sequence = ++m_sequence};
  }

  TimePoint m_now{100s};
  std::vector<Entry> m_entries;
  std::map<EntryId, EntryReport> m_roster;
  std::vector<DocumentObserved> m_documents;
  std::map<InstanceId, StoredRow> m_rows;
  uint64_t m_sequence = 0;
  std::map<InstanceId, Reservation> m_reservations;
  std::array<bool, 3> m_absent{};
  std::deque<Event> m_history;
  std::array<OwnershipPlanner, 2> m_planners{OwnershipPlanner({.self = EntryId("e0")}),
                                             OwnershipPlanner({.self = EntryId("e0")})};
  int m_moves = 0;
};

// Guards against an instance that runs requests of two pools at the same time (P2). This happens
// when a planner that acts on stale observations attaches an instance while an entry still uses it
// for its former pool.
TEST(OwnershipPlannerPropertyTest, InstanceNeverServesTwoPools) {
  int moves = 0;
  EXPECT_TRUE(rc::check("requests of one pool at a time run on an instance", [&moves] {
    const auto commands = *rc::gen::resize(
        600, rc::gen::container<std::vector<uint32_t>>(rc::gen::inRange(0U, 1'000'000U)));
    FleetModel fleet;
    for (const uint32_t command : commands) {
      fleet.Step(command);
      RC_ASSERT(!fleet.HasSharedInstance());
    }
    moves += fleet.moves();
  }));
  EXPECT_GT(moves, 100) << "too few moves to test the property";
}

/// Fixture with one planner, which runs on entry e0 and has current observations; e1 is another
/// entry.
class OwnershipPlannerTest : public ::testing::Test {
 protected:
  OwnershipPlannerTest() {
    Assign(1, "a");
    Observe({.pool = PoolName("a"), .home = PoolName("a"), .document = 1});
    Observe(std::vector<std::string>{"e0", "e1", "i0"});
    Report(9, 0);
  }

  void Assign(uint64_t version, std::string_view pool) {
    DocumentObserved document{.version = version};
    document.homes[kInstances[0]] = PoolName(pool);
    m_planner.Handle(document, m_now);
  }
  void Observe(InstanceRow row) {
    ++m_version;
    m_planner.Handle(
        RowObserved{
            .id = kInstances[0], .row = row, .version = m_version, .sequence = 10 + m_version},
        m_now);
  }
  void Observe(const std::vector<std::string>& listed) {
    InstanceListObserved list{.read_started = m_now};
    for (const std::string& id : listed)
      list.instances.push_back({.id = InstanceId(id), .live = true});
    m_planner.Handle(list, m_now);
  }
  void Report(uint64_t acknowledged, int in_flight) {
    m_planner.Handle(RosterObserved{.read_started = m_now,
                                    .entries = {{.id = EntryId("e0"), .acknowledged_sequence = 99},
                                                {.id = EntryId("e1"),
                                                 .acknowledged_sequence = acknowledged,
                                                 .in_flight = {{kInstances[0], in_flight}}}}},
                     m_now);
  }
  std::vector<Action> Tick(uint64_t epoch = 1) {
    return m_planner.Handle(ownership::Tick{.epoch = epoch}, m_now);
  }
  InstanceRow Draining(std::string_view target) {
    return {.pool = PoolName("a"),
            .state = RowState::kDraining,
            .target = PoolName(target),
            .home = PoolName("a"),
            .document = 1};
  }

  TimePoint m_now{100s};
  uint64_t m_version = 0;
  OwnershipPlanner m_planner{{.self = EntryId("e0")}};
};

// Guards against detaching an instance while an entry has requests in flight on it or has not yet
// acknowledged the drain.
TEST_F(OwnershipPlannerTest, DrainWaitsForEveryEntry) {
  Observe(Draining("b"));
  EXPECT_TRUE(Tick().empty());
  Report(11, 0);
  EXPECT_TRUE(Tick().empty()) << "the acknowledged sequence is before the drain";
  Report(12, 1);
  EXPECT_TRUE(Tick().empty()) << "a request is in flight";
  Report(12, 0);
  const auto actions = Tick();
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_EQ(std::get<WriteInstance>(actions[0]).row.state, RowState::kDetached);
}

// Guards against detaching an instance that an entry uses which joined after the roster was read,
// or which restarted while the platform's list does not show it yet.
TEST_F(OwnershipPlannerTest, DrainWaitsForEntriesThatJoin) {
  for (int second = 0; second <= 10; ++second, m_now += 1s) {
    Observe(std::vector<std::string>{"e0", "i0"});
  }
  RosterObserved roster{.read_started = m_now,
                        .entries = {{.id = EntryId("e0"), .acknowledged_sequence = 99}}};
  m_planner.Handle(roster, m_now);
  m_now += 1s;
  Observe(Draining("b"));
  EXPECT_TRUE(Tick().empty());
  roster.read_started = m_now;
  roster.entries.push_back({.id = EntryId("e1"), .version = 2});
  m_planner.Handle(roster, m_now);
  EXPECT_TRUE(Tick().empty());
}

// Guards against a failed entry that blocks a move forever, and against a move that continues as
// soon as a single list lacks the entry.
TEST_F(OwnershipPlannerTest, DrainGoesOnWhenAnEntryIsGoneForTenSeconds) {
  Observe(Draining("b"));
  for (int second = 0; second < 10; ++second, m_now += 1s) {
    Observe(std::vector<std::string>{"e0", "i0"});
    Report(9, 1);
    EXPECT_TRUE(Tick().empty());
  }
  Observe(std::vector<std::string>{"e0", "i0"});
  EXPECT_EQ(Tick().size(), 1u);
}

// Guards against treating all other entries as failed because of an incomplete or stale list. Such
// a list is recognised by the absence of the entry of the planner itself.
TEST_F(OwnershipPlannerTest, ListWithoutThePlannersEntryIsNoEvidence) {
  Observe(Draining("b"));
  for (int second = 0; second < 30; ++second, m_now += 1s) {
    Observe(std::vector<std::string>{"i0"});
    Report(9, 1);
    EXPECT_TRUE(Tick().empty());
  }
}

// Guards against attaching a detached instance before its reboot, when the list still shows it as
// live, and against a second reboot while the first one runs.
TEST_F(OwnershipPlannerTest, DetachedInstanceIsRebootedOnceAndAttachedWhenItIsBack) {
  InstanceRow row = Draining("b");
  row.state = RowState::kDetached;
  Observe(row);
  ASSERT_TRUE(std::holds_alternative<RebootInstance>(Tick().at(0)));
  m_planner.Handle(RebootAccepted{.id = kInstances[0]}, m_now);
  Observe(std::vector<std::string>{"e0", "e1", "i0"});
  EXPECT_TRUE(Tick().empty()) << "the list still shows the time before the reboot";
  Observe(std::vector<std::string>{"e0", "e1"});
  EXPECT_TRUE(Tick().empty());
  Observe(std::vector<std::string>{"e0", "e1", "i0"});
  const auto actions = Tick();
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_EQ(std::get<WriteInstance>(actions[0]).row.pool, PoolName("b"));
}

// Guards against a planner that knows an older document and reverts a move made for a newer one.
TEST_F(OwnershipPlannerTest, OnlyANewerDocumentMovesAnInstance) {
  Observe({.pool = PoolName("b"), .home = PoolName("b"), .document = 3});
  Assign(2, "a");
  EXPECT_TRUE(Tick().empty());
  Assign(4, "a");
  EXPECT_EQ(std::get<RequestMove>(Tick().at(0)).target, PoolName("a"));
}

// Guards against a planner that continues to write after another one has taken over.
TEST_F(OwnershipPlannerTest, HigherEpochStopsThePlanner) {
  InstanceRow row = Draining("b");
  row.epoch = 5;
  Observe(row);
  Report(99, 0);
  const auto actions = Tick(4);
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_EQ(std::get<ReportHigherEpoch>(actions[0]).epoch, 5u);
}

/// @return the moves requested while pool a has a shortage for six minutes and pool c has two
///   instances with free slots.
std::vector<RequestMove> MovesUnderDemand(PoolPlan plan_of_c, const InstanceRow& row_of_i1,
                                          const Reservation& reservation_of_i1 = {}) {
  TimePoint now{1h};
  OwnershipPlanner planner({.self = EntryId("e0")});
  DocumentObserved document{.version = 1};
  document.pools = {{kPools[0], {}}, {kPools[2], plan_of_c}};
  document.homes = {
      {kInstances[0], kPools[0]}, {kInstances[1], kPools[2]}, {kInstances[2], kPools[2]}};
  planner.Handle(document, now);
  for (const auto& [id, pool] : document.homes) {
    const InstanceRow row =
        id == kInstances[1] ? row_of_i1 : InstanceRow{.pool = pool, .home = pool};
    planner.Handle(RowObserved{.id = id, .row = row, .version = 1}, now);
  }
  if (reservation_of_i1.failed) {
    planner.Handle(ReservationsObserved{{{kInstances[1], reservation_of_i1}}}, now);
  }
  InstanceListObserved list{.instances = {{InstanceId("e0"), true}}};
  for (const InstanceId& id : kInstances) list.instances.push_back({.id = id, .live = true});
  std::vector<RequestMove> moves;
  for (int second = 0; second < 360; ++second, now += 1s) {
    list.read_started = now;
    planner.Handle(list, now);
    planner.Handle(RosterObserved{.read_started = now}, now);
    planner.Handle(DemandObserved{{{kPools[0], {.waiting = 9, .free_slots = 0, .slots = 8}},
                                   {kPools[2], {.waiting = 0, .free_slots = 9, .slots = 16}}}},
                   now);
    for (const Action& action : planner.Handle(Tick{.epoch = 1}, now)) {
      const auto* move = std::get_if<RequestMove>(&action);
      if (!move) continue;
      EXPECT_GE(second, 300) << "the demand has not lasted yet";
      moves.push_back(*move);
    }
  }
  return moves;
}

// Guards against demand moves that start before the shortage has lasted, that take an instance from
// a pool without slack or at its minimum, or that overlap with another move of the pool. A failed
// move does not block others.
TEST(OwnershipPlannerDemandTest, OnlyOneInstanceOfThePoolsThatCanSpareItMoves) {
  const InstanceRow serving{.pool = kPools[2], .home = kPools[2]};
  const auto moves = MovesUnderDemand({.spare = true}, serving);
  ASSERT_FALSE(moves.empty()) << "requested until the pool row grants it";
  for (const RequestMove& move : moves) {
    EXPECT_EQ(move.id, kInstances[1]);
    EXPECT_EQ(move.target, kPools[0]);
  }
  EXPECT_TRUE(MovesUnderDemand({.spare = true, .min_instances = 2}, serving).empty());
  EXPECT_TRUE(MovesUnderDemand({.spare = false}, serving).empty()) << "slack needs ten minutes";
  InstanceRow moving = serving;
  moving.state = RowState::kDraining;
  moving.target = kPools[0];
  const PoolPlan plan{.spare = true, .min_instances = 0};
  EXPECT_TRUE(MovesUnderDemand(plan, moving).empty());
  EXPECT_FALSE(MovesUnderDemand(plan, moving, {.failed = true}).empty())
      << "a failed move blocks no other move";
}

}  // namespace
}  // namespace citronferry::ownership
