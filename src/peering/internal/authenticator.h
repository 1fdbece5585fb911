#ifndef CITRONFERRY_PEERING_INTERNAL_AUTHENTICATOR_H_
#define CITRONFERRY_PEERING_INTERNAL_AUTHENTICATOR_H_

#include <prometheus/counter.h>

#include <map>
#include <string>
#include <string_view>

#include "peering/internal/event_socket.h"

namespace citronferry::peering {

/// Accepts connections by their CURVE public key: a handler of the ZeroMQ Authentication Protocol
/// (ZAP, RFC 27).
class Authenticator {
 public:
  /// @note Must exist before the sockets that it protects are bound.
  Authenticator(zmq::context_t& context, prometheus::Counter& refused);

  /// Replaces the accepted keys.
  /// @param entries_by_key public key in Z85 -> entry that owns it; empty if any entry may use it.
  void SetKeys(std::map<std::string, std::string> entries_by_key) {
    m_entries_by_key = std::move(entries_by_key);
  }

 private:
  void Answer(const Frames& request);

  prometheus::Counter& m_refused;
  std::map<std::string, std::string> m_entries_by_key;
  EventSocket m_socket;
};

}  // namespace citronferry::peering

#endif  // CITRONFERRY_PEERING_INTERNAL_AUTHENTICATOR_H_
