#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <random>
#include <sstream>

#include "decisions/membership/slot_loans.h"
#include "decisions/membership/slot_share.h"

namespace citronferry::membership {
namespace {

constexpr int kSlots = 8;
constexpr int kEntries = 4;
constexpr int kSteps = 400;
constexpr Duration kMaxDeadline = 4s;
const PoolName kPool("p");
const std::vector<InstanceId> kExecutors{InstanceId("i1"), InstanceId("i2")};

/// Entries with their gateways, and a network that loses, duplicates and reorders messages.
class Simulation {
 public:
  explicit Simulation(unsigned seed) : m_random(seed) {
    for (int i = 0; i < kEntries; ++i) m_roster.emplace_back("e" + std::to_string(i));
    for (const EntryId& id : m_roster) {
      Entry& entry = m_entries.emplace(id, Entry{.loans = SlotLoans(0)}).first->second;
      for (const InstanceId& executor : kExecutors) {
        entry.share[executor] = SlotShare(id, m_roster, executor, kSlots);
      }
    }
  }

  /// @return false when more requests ran on an executor than it has slots.
  bool Run() {
    for (int step = 0; step < kSteps; ++step) {
      // The gateways start work up to 400 ms before a late timer ends the loans.
      m_now += std::chrono::milliseconds(Random(1, 400));
      for (auto& [id, entry] : m_entries) Work(entry);
      if (!WithinSlots()) return false;
      Deliver();
      for (auto& [id, entry] : m_entries) {
        for (const EntryId& peer : m_roster) {
          if (peer != id) Handle(id, LenderSeen{.entry = peer, .free_slots = Random(0, 8)});
        }
        Handle(id, LoanTick{});
        Work(entry);
      }
      if (!WithinSlots()) return false;
    }
    return true;
  }

  int loans() const { return m_loans; }

 private:
  struct Entry {
    SlotLoans loans;
    SlotCounts share;
    SlotCounts delta;
    std::map<InstanceId, std::vector<TimePoint>> running;  // Ends of the requests.
    int waiting = 0;
  };
  struct Message {
    TimePoint due;
    EntryId to;
    LoanEvent event;
  };

  int Random(int low, int high) { return std::uniform_int_distribution(low, high)(m_random); }

  static int Slots(const Entry& entry, const InstanceId& executor) {
    const auto delta = entry.delta.find(executor);
    const int share = entry.share.at(executor);
    return std::max(0, delta == entry.delta.end() ? share : share + delta->second);
  }

  void Work(Entry& entry) {
    entry.waiting = std::min(20, entry.waiting + (Random(0, 3) == 0 ? Random(0, 12) : 0));
    if (Random(0, 9) == 0) entry.waiting = 0;
    for (const InstanceId& executor : kExecutors) {
      auto& running = entry.running[executor];
      std::erase_if(running, [this](TimePoint end) { return end <= m_now; });
      while (entry.waiting > 0 && static_cast<int>(running.size()) < Slots(entry, executor)) {
        running.push_back(m_now + std::chrono::milliseconds(
                                      Random(1, static_cast<int>(ToMilliseconds(kMaxDeadline)))));
        --entry.waiting;
      }
    }
  }

  bool WithinSlots() const {
    for (const InstanceId& executor : kExecutors) {
      size_t total = 0;
      for (const auto& [id, entry] : m_entries) {
        const auto running = entry.running.find(executor);
        if (running != entry.running.end()) total += running->second.size();
      }
      if (total > kSlots) return false;
    }
    return true;
  }

  void Handle(const EntryId& id, const LoanEvent& event) {
    Entry& entry = m_entries.at(id);
    LoadObserved load;
    for (const InstanceId& executor : kExecutors) {
      const int in_use = static_cast<int>(entry.running[executor].size());
      load.instances[executor] = {
          .pool = kPool, .free = Slots(entry, executor) - in_use, .in_use = in_use};
    }
    load.needs[kPool] = {.waiting = static_cast<size_t>(entry.waiting), .deadline = kMaxDeadline};
    Apply(id, entry.loans.Handle(load, m_now));
    Apply(id, entry.loans.Handle(event, m_now));
  }

  void Apply(const EntryId& from, const std::vector<LoanAction>& actions) {
    for (const LoanAction& action : actions) {
      if (const auto* adjust = std::get_if<AdjustSlots>(&action)) {
        m_entries.at(from).delta = adjust->delta;
      } else if (const auto* request = std::get_if<SendLoanRequest>(&action)) {
        Send(request->to,
             LoanRequestReceived{.from = from, .incarnation = "1", .request = request->request});
      } else if (const auto* grant = std::get_if<SendLoanGrant>(&action)) {
        if (!grant->grant.slots.empty()) ++m_loans;
        Send(grant->to, LoanGrantReceived{.from = from, .grant = grant->grant});
      } else if (const auto* returned = std::get_if<SendLoanReturn>(&action)) {
        Send(returned->to,
             LoanReturnReceived{.from = from, .incarnation = "1", .returned = returned->returned});
      }
    }
  }

  void Send(const EntryId& to, const LoanEvent& event) {
    const int kind = Random(0, 9);
    if (kind == 0) return;  // Lost.
    const int copies = kind == 1 ? 3 : 1;
    for (int i = 0; i < copies; ++i) {
      const int delay = Random(0, 3) == 0 ? Random(0, 6000) : Random(0, 50);
      m_network.push_back(
          {.due = m_now + std::chrono::milliseconds(delay), .to = to, .event = event});
    }
  }

  void Deliver() {
    std::deque<Message> due;
    std::erase_if(m_network, [&](const Message& message) {
      if (message.due > m_now) return false;
      due.push_back(message);
      return true;
    });
    std::shuffle(due.begin(), due.end(), m_random);
    for (const Message& message : due) Handle(message.to, message.event);
  }

  std::mt19937 m_random;
  TimePoint m_now{10s};
  std::vector<EntryId> m_roster;
  std::map<EntryId, Entry> m_entries;
  std::vector<Message> m_network;
  int m_loans = 0;
};

// Fails if more than 8 requests run on an executor because messages about loans are lost,
// duplicated, delayed or reordered.
TEST(SlotLoansPropertyTest, TotalUseNeverExceedsTheSlots) {
  rc::detail::TestParams params;
  params.seed = 20261204;
  params.maxSuccess = 200;
  int loans = 0;
  const auto result = rc::detail::checkTestable(
      [&loans] {
        Simulation simulation(*rc::gen::arbitrary<unsigned>());
        RC_ASSERT(simulation.Run());
        loans += simulation.loans();
      },
      rc::detail::TestMetadata(), params);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  EXPECT_TRUE(result.is<rc::detail::SuccessResult>()) << text.str();
  EXPECT_GT(loans, 1000) << "the simulation must exercise loans";
}

}  // namespace
}  // namespace citronferry::membership
