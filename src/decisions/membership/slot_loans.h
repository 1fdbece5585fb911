#ifndef CITRONFERRY_DECISIONS_MEMBERSHIP_SLOT_LOANS_H_
#define CITRONFERRY_DECISIONS_MEMBERSHIP_SLOT_LOANS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace citronferry::membership {

/// A borrower starts nothing on a lent slot this long after it asked for it.
inline constexpr Duration kLoanDuration = 1s;
/// Shortest time between two requests for slots.
inline constexpr Duration kLoanRequestPeriod = 100ms;
/// A borrower whose event loop is late may still start work just after the loan has expired. Longer
/// delays are reported as pauses, which end the loans before any work is started.
inline constexpr Duration kLoanMargin = 500ms;
/// Most slots in one request.
inline constexpr int kMaxLoanSlots = 8;

using SlotCounts = std::map<InstanceId, int>;

struct LoanRequest {
  uint64_t number = 0;  ///< Never reused by one incarnation of the borrower.
  PoolName pool;
  int count = 0;
  Duration use{};  ///< Longest time from now that a request may run on a lent slot.
};
struct LoanGrant {
  uint64_t number = 0;
  SlotCounts slots;
};
struct LoanReturn {
  uint64_t number = 0;
  SlotCounts remaining;  ///< Slots that the borrower still uses.
};

struct InstanceLoad {
  PoolName pool;
  int free = 0;  ///< Slots that this entry could use now; negative after its share has shrunk.
  int in_use = 0;
};
struct PoolNeed {
  size_t waiting = 0;
  Duration deadline{};  ///< Longest time from arrival to the end of a request of the pool.
};

// Events.

/// Load of this entry now. Sent before each event that depends on it.
struct LoadObserved {
  std::map<InstanceId, InstanceLoad> instances;
  std::map<PoolName, PoolNeed> needs;
};
struct LenderSeen {
  EntryId entry;
  int free_slots = 0;
};
/// A peer is suspect, has left or has restarted; its loans end.
struct LenderLost {
  EntryId entry;
};
struct LoanRequestReceived {
  EntryId from;
  std::string incarnation;
  LoanRequest request;
};
struct LoanGrantReceived {
  EntryId from;
  LoanGrant grant;
};
struct LoanReturnReceived {
  EntryId from;
  std::string incarnation;
  LoanReturn returned;
};
struct LoanTick {};

using LoanEvent = std::variant<LoadObserved, LenderSeen, LenderLost, LoanRequestReceived,
                               LoanGrantReceived, LoanReturnReceived, LoanTick>;

// Actions, to be carried out in their order.

/// Slots to use beyond (positive) or below (negative) the own share.
struct AdjustSlots {
  SlotCounts delta;
};
struct SendLoanRequest {
  EntryId to;
  LoanRequest request;
};
struct SendLoanGrant {
  EntryId to;
  LoanGrant grant;
};
struct SendLoanReturn {
  EntryId to;
  LoanReturn returned;
};

using LoanAction = std::variant<AdjustSlots, SendLoanRequest, SendLoanGrant, SendLoanReturn>;

/// Lends idle slots to peers and borrows theirs.
///
/// The total use of an executor never exceeds its slots, whatever happens to the messages: the
/// lender stops using a slot before it grants it, and counts it as used until it is returned or
/// until both the loan and every request that could run on it have ended. The borrower counts both
/// times from the moment it asked, which is earlier than the lender's.
class SlotLoans {
 public:
  /// @param first_number start of the request numbers; random, so that a late grant to a previous
  ///   incarnation matches no request of this one.
  explicit SlotLoans(uint64_t first_number) : m_last_number(first_number) {}

  std::vector<LoanAction> Handle(const LoanEvent& event, TimePoint now);
  /// @return whether slots are asked for, borrowed or lent now.
  bool active() const {
    return !m_pending_requests.empty() || !m_borrowed.empty() || !m_lent.empty();
  }

 private:
  struct PendingRequest {
    EntryId lender;
    PoolName pool;
    int count = 0;
    TimePoint expires;
    TimePoint use_ends;
  };
  struct Borrowed {
    EntryId lender;
    PoolName pool;
    SlotCounts slots;  // Not returned yet.
    TimePoint expires;
    TimePoint use_ends;
    bool active = true;  // Work may be started on the slots.
  };
  struct LentKey {
    EntryId borrower;
    std::string incarnation;
    uint64_t number = 0;

    // clang-tidy 14 takes the defaulted operator for a null pointer.
    friend auto operator<=>(const LentKey&,
                            const LentKey&) = default;  // NOLINT(modernize-use-nullptr)
  };
  struct Lent {
    SlotCounts slots;  // Not returned yet.
    TimePoint hold_ends;
  };
  struct Lender {
    int free_slots = 0;
    std::set<PoolName> refused;  // Since its last heartbeat.
  };

  void OnLoadObserved(const LoanEvent& event);
  void OnLenderSeen(const LoanEvent& event);
  void OnLenderLost(const LoanEvent& event);
  void OnRequestReceived(const LoanEvent& event);
  void OnGrantReceived(const LoanEvent& event);
  void OnReturnReceived(const LoanEvent& event);
  void OnTick(const LoanEvent& event);

  void ExpireLoans();
  void ReturnUnused();
  void RequestSlots();
  void RequestFromBestLender(const PoolName& pool, const PoolNeed& need, int count);
  SlotCounts ChooseSlotsToLend(const PoolName& pool, int count);
  bool HasFreeSlot(const PoolName& pool) const;
  int PendingSlots(const PoolName& pool) const;
  SlotCounts ActiveBorrowed() const;
  SlotCounts AllBorrowed() const;
  SlotCounts ComputeAdjustment() const;
  void PublishAdjustment();
  /// Keeps the observed load in step with a change of the adjustments.
  void AdjustFreeSlots(const SlotCounts& from, const SlotCounts& to);

  TimePoint m_now;
  LoadObserved m_load;
  std::map<EntryId, Lender> m_lenders;
  std::map<uint64_t, PendingRequest> m_pending_requests;
  std::map<uint64_t, Borrowed> m_borrowed;
  std::map<LentKey, Lent> m_lent;
  uint64_t m_last_number;
  TimePoint m_last_request{};
  SlotCounts m_published_adjustment;
  SlotCounts m_previous_adjustment;  // When the current event came in.
  std::vector<LoanAction> m_messages;
  std::vector<LoanAction> m_actions;
};

}  // namespace citronferry::membership

#endif  // CITRONFERRY_DECISIONS_MEMBERSHIP_SLOT_LOANS_H_
