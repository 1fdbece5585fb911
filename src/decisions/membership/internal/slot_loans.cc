#include "decisions/membership/slot_loans.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace citronferry::membership {
namespace {

int Total(const SlotCounts& slots) {
  int total = 0;
  for (const auto& [instance, count] : slots) total += count;
  return total;
}

void Add(SlotCounts& total, const SlotCounts& slots, int sign) {
  for (const auto& [instance, count] : slots) total[instance] += sign * count;
}

int CountOf(const SlotCounts& slots, const InstanceId& instance) {
  const auto found = slots.find(instance);
  return found == slots.end() ? 0 : found->second;
}

}  // namespace

std::vector<LoanAction> SlotLoans::Handle(const LoanEvent& event, TimePoint now) {
  using Handler = void (SlotLoans::*)(const LoanEvent&);
  // In the order of the alternatives of LoanEvent.
  static constexpr std::array<Handler, std::variant_size_v<LoanEvent>> kHandlers{
      &SlotLoans::OnLoadObserved,  &SlotLoans::OnLenderSeen,
      &SlotLoans::OnLenderLost,    &SlotLoans::OnRequestReceived,
      &SlotLoans::OnGrantReceived, &SlotLoans::OnReturnReceived,
      &SlotLoans::OnTick};
  m_now = now;
  m_previous_adjustment = m_published_adjustment;
  ExpireLoans();
  PublishAdjustment();
  (this->*kHandlers[event.index()])(event);
  // The adjustment precedes the messages, so that slots are given up before a peer may use them.
  PublishAdjustment();
  std::move(m_messages.begin(), m_messages.end(), std::back_inserter(m_actions));
  m_messages.clear();
  return std::exchange(m_actions, {});
}

void SlotLoans::OnLoadObserved(const LoanEvent& event) {
  m_load = std::get<LoadObserved>(event);
  // The load was read before the loans expired that this call has just ended.
  AdjustFreeSlots(m_previous_adjustment, m_published_adjustment);
  ReturnUnused();
}

void SlotLoans::OnLenderSeen(const LoanEvent& event) {
  const auto& seen = std::get<LenderSeen>(event);
  m_lenders[seen.entry] = {.free_slots = seen.free_slots};
}

void SlotLoans::OnLenderLost(const LoanEvent& event) {
  const EntryId& entry = std::get<LenderLost>(event).entry;
  m_lenders.erase(entry);
  std::erase_if(m_pending_requests, [&](const auto& item) {
    if (item.second.lender != entry) return false;
    m_messages.emplace_back(SendLoanReturn{.to = entry, .returned = {.number = item.first}});
    return true;
  });
  for (auto& [number, loan] : m_borrowed) {
    if (loan.lender == entry) loan.active = false;
  }
}

void SlotLoans::OnRequestReceived(const LoanEvent& event) {
  const auto& received = std::get<LoanRequestReceived>(event);
  const LoanRequest& request = received.request;
  const LentKey key{
      .borrower = received.from, .incarnation = received.incarnation, .number = request.number};
  if (m_lent.contains(key)) return;
  LoanGrant grant{.number = request.number,
                  .slots = ChooseSlotsToLend(request.pool, std::min(request.count, kMaxLoanSlots))};
  if (!grant.slots.empty()) {
    const Duration hold = std::max(kLoanDuration, request.use) + kLoanMargin;
    m_lent.emplace(key, Lent{.slots = grant.slots, .hold_ends = m_now + hold});
  }
  m_messages.emplace_back(SendLoanGrant{.to = received.from, .grant = std::move(grant)});
}

void SlotLoans::OnGrantReceived(const LoanEvent& event) {
  const auto& [from, grant] = std::get<LoanGrantReceived>(event);
  if (m_borrowed.contains(grant.number)) return;
  const auto pending = m_pending_requests.find(grant.number);
  if (pending == m_pending_requests.end() || pending->second.lender != from) {
    // Too late or a duplicate of a grant that was returned: the lender can reuse the slots.
    if (!grant.slots.empty()) {
      m_messages.emplace_back(SendLoanReturn{.to = from, .returned = {.number = grant.number}});
    }
    return;
  }
  const PendingRequest request = std::move(pending->second);
  m_pending_requests.erase(pending);
  if (grant.slots.empty()) {
    const auto lender = m_lenders.find(from);
    if (lender != m_lenders.end()) lender->second.refused.insert(request.pool);
    return;
  }
  m_borrowed.emplace(grant.number, Borrowed{.lender = from,
                                            .pool = request.pool,
                                            .slots = grant.slots,
                                            .expires = request.expires,
                                            .use_ends = request.use_ends});
}

void SlotLoans::OnReturnReceived(const LoanEvent& event) {
  const auto& received = std::get<LoanReturnReceived>(event);
  const auto lent = m_lent.find({.borrower = received.from,
                                 .incarnation = received.incarnation,
                                 .number = received.returned.number});
  if (lent == m_lent.end()) return;
  SlotCounts& slots = lent->second.slots;
  for (auto& [instance, count] : slots) {
    count = std::min(count, CountOf(received.returned.remaining, instance));
  }
  std::erase_if(slots, [](const auto& item) { return item.second <= 0; });
  if (slots.empty()) m_lent.erase(lent);
}

void SlotLoans::OnTick(const LoanEvent&) { RequestSlots(); }

void SlotLoans::ExpireLoans() {
  std::erase_if(m_pending_requests, [this](const auto& item) {
    if (m_now < item.second.expires) return false;
    // The grant may be lost, so the return saves the lender the wait for the end of the use.
    m_messages.emplace_back(
        SendLoanReturn{.to = item.second.lender, .returned = {.number = item.first}});
    return true;
  });
  std::erase_if(m_borrowed, [this](const auto& item) { return m_now >= item.second.use_ends; });
  for (auto& [number, loan] : m_borrowed) {
    if (m_now >= loan.expires) loan.active = false;
  }
  std::erase_if(m_lent, [this](const auto& item) { return m_now >= item.second.hold_ends; });
}

void SlotLoans::ReturnUnused() {
  if (m_borrowed.empty()) return;
  const SlotCounts active = ActiveBorrowed();
  SlotCounts unused;
  for (const auto& [instance, borrowed] : AllBorrowed()) {
    // Without load data of the instance, its use is not known.
    const auto load = m_load.instances.find(instance);
    if (load == m_load.instances.end()) continue;
    const int usable = load->second.free + load->second.in_use;
    const int own = std::max(0, usable - CountOf(active, instance));
    unused[instance] = borrowed - std::max(0, load->second.in_use - own);
  }
  for (auto& [number, loan] : m_borrowed) {
    const auto need = m_load.needs.find(loan.pool);
    const bool wanted = need != m_load.needs.end() && need->second.waiting > 0;
    if (loan.active && wanted) continue;
    bool changed = false;
    for (auto& [instance, count] : loan.slots) {
      const int returned = std::clamp(unused[instance], 0, count);
      unused[instance] -= returned;
      count -= returned;
      changed = changed || returned > 0;
    }
    std::erase_if(loan.slots, [](const auto& item) { return item.second == 0; });
    if (changed) {
      m_messages.emplace_back(SendLoanReturn{
          .to = loan.lender, .returned = {.number = number, .remaining = loan.slots}});
    }
  }
  std::erase_if(m_borrowed, [](const auto& item) { return item.second.slots.empty(); });
}

void SlotLoans::RequestSlots() {
  if (m_now - m_last_request < kLoanRequestPeriod) return;
  for (const auto& [pool, need] : m_load.needs) {
    const int missing = static_cast<int>(std::min<size_t>(need.waiting, 1000)) - PendingSlots(pool);
    if (missing <= 0 || HasFreeSlot(pool)) continue;
    RequestFromBestLender(pool, need, std::min(missing, kMaxLoanSlots));
  }
}

void SlotLoans::RequestFromBestLender(const PoolName& pool, const PoolNeed& need, int count) {
  auto best = m_lenders.end();
  for (auto lender = m_lenders.begin(); lender != m_lenders.end(); ++lender) {
    if (lender->second.free_slots <= 0 || lender->second.refused.contains(pool)) continue;
    if (best == m_lenders.end() || lender->second.free_slots > best->second.free_slots) {
      best = lender;
    }
  }
  if (best == m_lenders.end()) return;
  count = std::min(count, best->second.free_slots);
  // Requests that arrive until the loan expires can start on the slot.
  const Duration use = kLoanDuration + need.deadline;
  const LoanRequest request{.number = ++m_last_number, .pool = pool, .count = count, .use = use};
  m_pending_requests.emplace(request.number, PendingRequest{.lender = best->first,
                                                            .pool = pool,
                                                            .count = count,
                                                            .expires = m_now + kLoanDuration,
                                                            .use_ends = m_now + use});
  best->second.free_slots -= count;
  m_last_request = m_now;
  m_messages.emplace_back(SendLoanRequest{.to = best->first, .request = request});
}

SlotCounts SlotLoans::ChooseSlotsToLend(const PoolName& pool, int count) {
  SlotCounts chosen;
  SlotCounts free;
  const auto need = m_load.needs.find(pool);
  if (need != m_load.needs.end() && need->second.waiting > 0) return chosen;
  const SlotCounts borrowed = AllBorrowed();
  for (const auto& [instance, load] : m_load.instances) {
    if (load.pool == pool && load.free > 0 && !borrowed.contains(instance)) {
      free[instance] = load.free;
    }
  }
  // Takes one slot of each executor in turn, which spreads the borrower's work.
  while (!free.empty() && Total(chosen) < count) {
    for (auto& [instance, left] : free) {
      if (Total(chosen) == count) break;
      --left;
      ++chosen[instance];
    }
    std::erase_if(free, [](const auto& item) { return item.second == 0; });
  }
  return chosen;
}

bool SlotLoans::HasFreeSlot(const PoolName& pool) const {
  return std::any_of(m_load.instances.begin(), m_load.instances.end(), [&pool](const auto& item) {
    return item.second.pool == pool && item.second.free > 0;
  });
}

int SlotLoans::PendingSlots(const PoolName& pool) const {
  int count = 0;
  for (const auto& [number, pending] : m_pending_requests) {
    if (pending.pool == pool) count += pending.count;
  }
  return count;
}

SlotCounts SlotLoans::ActiveBorrowed() const {
  SlotCounts slots;
  for (const auto& [number, loan] : m_borrowed) {
    if (loan.active) Add(slots, loan.slots, 1);
  }
  return slots;
}

SlotCounts SlotLoans::AllBorrowed() const {
  SlotCounts slots;
  for (const auto& [number, loan] : m_borrowed) Add(slots, loan.slots, 1);
  return slots;
}

SlotCounts SlotLoans::ComputeAdjustment() const {
  SlotCounts delta = ActiveBorrowed();
  for (const auto& [key, lent] : m_lent) Add(delta, lent.slots, -1);
  std::erase_if(delta, [](const auto& item) { return item.second == 0; });
  return delta;
}

void SlotLoans::PublishAdjustment() {
  SlotCounts delta = ComputeAdjustment();
  if (delta == m_published_adjustment) return;
  AdjustFreeSlots(m_published_adjustment, delta);
  m_published_adjustment = delta;
  m_actions.emplace_back(AdjustSlots{std::move(delta)});
}

void SlotLoans::AdjustFreeSlots(const SlotCounts& from, const SlotCounts& to) {
  for (auto& [instance, load] : m_load.instances) {
    load.free += CountOf(to, instance) - CountOf(from, instance);
  }
}

}  // namespace citronferry::membership
