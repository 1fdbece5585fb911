#ifndef CITRONFERRY_HTTP_CLIENT_BUDGET_H_
#define CITRONFERRY_HTTP_CLIENT_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <string_view>

namespace citronferry::http {

/// What a server does about a client that reaches a limit.
enum class ClientLimitEvent {
  kRefusedForMemory,      ///< A request did not fit the budget.
  kRefusedBody,           ///< A body over the limit of its size.
  kRefusedHeader,         ///< A header block over the limit of its size.
  kRefusedSlow,           ///< A request that took too long to arrive.
  kRefusedMalformed,      ///< A request that does not follow HTTP/1.1.
  kClosedIdle,            ///< An idle connection, to make room.
  kClosedUnfinished,      ///< The oldest unfinished exchange, to make room.
  kClosedUnreadResponse,  ///< A response that the client did not read in time.
  kPausedAccepting,       ///< Connections or descriptors have run out.
};
inline constexpr size_t kClientLimitEvents = 9;

/// @return the name of an event in logs and metrics.
std::string_view ClientLimitEventName(ClientLimitEvent event);

/// Accounts for the memory and the connections that clients hold in all HTTP servers of a process.
/// When either runs short, it closes idle connections, and then the oldest unfinished exchanges.
class ClientBudget {
 public:
  struct Limits {
    size_t max_bytes = 0;
    size_t max_connections = 0;
  };
  enum class Phase {
    kIdle,        ///< No byte of a request has arrived.
    kUnfinished,  ///< A request is incomplete, or the client has not read all of a response.
    kHandling,    ///< The request is complete; the connection is not closed to make room.
  };

  /// Part of the budget that one connection holds, from its acceptance to its end.
  class Share {
   public:
    /// @param base_bytes charged while the share exists.
    /// @param reclaim closes the connection and frees what it holds. The budget has released the
    ///   share's bytes and connection by then.
    Share(ClientBudget& budget, size_t base_bytes, std::function<void()> reclaim);
    ~Share();
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    /// Changes the phase and restarts the count of ticks.
    void Enter(Phase phase);
    /// Counts a tick of the server's timer.
    /// @return the ticks since the phase was entered.
    int CountTick() { return ++m_ticks; }
    /// Reserves memory, making room if needed.
    /// @return false if the budget is exhausted; nothing is reserved then.
    bool Reserve(size_t bytes);
    /// Charges memory that is already in use, even beyond the limit.
    void Charge(size_t bytes);
    /// Releases everything except the base.
    void Release();

    Phase phase() const { return m_phase; }

   private:
    friend class ClientBudget;

    ClientBudget& m_budget;
    size_t m_base_bytes;
    std::function<void()> m_reclaim;
    size_t m_bytes = 0;  // Without the base.
    Phase m_phase = Phase::kHandling;
    int m_ticks = 0;
    bool m_reclaimed = false;
    std::list<Share*>::iterator m_position;  // In the list of its phase.
  };

  explicit ClientBudget(Limits limits) : m_limits(limits) {}
  ClientBudget(const ClientBudget&) = delete;
  ClientBudget& operator=(const ClientBudget&) = delete;

  /// Derives the limits from those of the process.
  /// @param memory_bytes memory that the process may use; 0 if not stated.
  /// @param max_descriptors files and sockets that it may open; 0 if not stated.
  static Limits DeriveLimits(size_t memory_bytes, size_t max_descriptors);

  /// Makes room for another connection if needed.
  /// @return whether there is room.
  bool Admit();
  /// @return whether a connection could be accepted without closing another.
  bool has_room() const { return m_connections < m_limits.max_connections; }
  void Count(ClientLimitEvent event) { ++m_events[static_cast<size_t>(event)]; }

  uint64_t count(ClientLimitEvent event) const { return m_events[static_cast<size_t>(event)]; }
  size_t used_bytes() const { return m_used_bytes; }
  size_t connections() const { return m_connections; }
  const Limits& limits() const { return m_limits; }

 private:
  /// Closes one connection to make room.
  /// @param requester is not closed; may be nullptr.
  /// @return false if there is none to close.
  bool Reclaim(const Share* requester);
  std::list<Share*>* ListOf(Phase phase);
  void Remove(Share& share);

  Limits m_limits;
  size_t m_used_bytes = 0;
  size_t m_connections = 0;
  std::list<Share*> m_idle;        // Longest idle first.
  std::list<Share*> m_unfinished;  // Oldest first.
  std::array<uint64_t, kClientLimitEvents> m_events{};
};

}  // namespace citronferry::http

#endif  // CITRONFERRY_HTTP_CLIENT_BUDGET_H_
