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

/// Duration of a loan, from the request: after it the borrower starts no work on the slot.
inline constexpr Duration kLoanDuration = 1s;
/// Minimum time between two requests of a borrower.
inline constexpr Duration kLoanRequestPeriod = 100ms;
/// Extra time that a lender waits. A borrower whose event loop is late may start work just after
/// the loan has expired; longer delays are reported as pauses, which end the loans before work
/// starts.
inline constexpr Duration kLoanMargin = 500ms;
/// Maximum number of slots in one request.
inline constexpr int kMaxLoanSlots = 8;

/// Number of slots of each executor.
using SlotCounts = std::map<InstanceId, int>;

/// Asks a peer to lend slots.
struct LoanRequest {
  uint64_t number = 0;  ///< Unique within an incarnation of the borrower.
  PoolName pool;
  int count = 0;   ///< Slots wanted.
  Duration use{};  ///< From now until the last work on a lent slot has ended.
};
/// Answer of the lender.
struct LoanGrant {
  uint64_t number = 0;  ///< Of the request.
  SlotCounts slots;     ///< Empty when the request is refused.
};
/// Gives slots back to the lender.
struct LoanReturn {
  uint64_t number = 0;   ///< Of the request.
  SlotCounts remaining;  ///< Slots that the borrower still uses.
};

/// Use of the slots of one executor by this entry.
struct InstanceLoad {
  PoolName pool;
  int free = 0;  ///< Slots that this entry could use now; negative after its share has shrunk.
  int in_use = 0;
};
/// Queued work of this entry for one pool.
struct PoolNeed {
  size_t waiting = 0;   ///< Requests in the queue.
  Duration deadline{};  ///< Maximum time from the arrival of a request to its end.
};

// Events.

/// Current load of this entry. Passed in before each event that depends on it.
struct LoadObserved {
  std::map<InstanceId, InstanceLoad> instances;
  std::map<PoolName, PoolNeed> needs;
};
/// The heartbeat of a peer reported its free slots.
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
/// Expires loans and requests slots if work is waiting.
struct LoanTick {};

using LoanEvent = std::variant<LoadObserved, LenderSeen, LenderLost, LoanRequestReceived,
                               LoanGrantReceived, LoanReturnReceived, LoanTick>;

// Actions, to be carried out in their order.

/// Slots to use in addition to this entry's share, or fewer than it where negative.
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

/// Lends idle slots of this entry's shares to peers and borrows theirs.
///
/// The use of an executor by all entries never exceeds its slots, even if messages are lost,
/// duplicated or reordered. The lender stops using a slot before it grants it, and counts it as
/// used until it is returned or until both the loan and every request that could run on it have
/// ended. The borrower counts both times from its request, so they end earlier there than at the
/// lender.
class SlotLoans {
 public:
  /// @param first_number start of the request numbers. It has to be random, so that a late grant
  ///   for an earlier incarnation matches no request of this one.
  explicit SlotLoans(uint64_t first_number) : m_last_number(first_number) {}

  /// @param event what happened.
  /// @param now monotonic time; it must not decrease between calls.
  /// @return what the caller has to do, in this order.
  std::vector<LoanAction> Handle(const LoanEvent& event, TimePoint now);
  /// @return whether slots are requested, borrowed or lent now.
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
    std::set<PoolName> refused;  // Pools refused since its last heartbeat.
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
  /// Applies a change of the adjustment to the free slots of the observed load.
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
  SlotCounts m_previous_adjustment;  // As it was before the current event.
  std::vector<LoanAction> m_messages;
  std::vector<LoanAction> m_actions;
};

}  // namespace citronferry::membership

#endif  // CITRONFERRY_DECISIONS_MEMBERSHIP_SLOT_LOANS_H_
