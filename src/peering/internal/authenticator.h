#ifndef CITRONFERRY_PEERING_INTERNAL_AUTHENTICATOR_H_
#define CITRONFERRY_PEERING_INTERNAL_AUTHENTICATOR_H_

#include <prometheus/counter.h>

#include <map>
#include <string>
#include <string_view>

#include "peering/internal/event_socket.h"

namespace citronferry::peering {

/// Decides which CURVE keys may connect (ZeroMQ authentication protocol, RFC 27).
class Authenticator {
 public:
  /// @note Must exist before the sockets that it protects are bound.
  Authenticator(zmq::context_t& context, prometheus::Counter& refused);

  /// @param names public key in Z85 -> entry that owns it; empty if any sender may use it.
  void SetKeys(std::map<std::string, std::string> names) { m_names = std::move(names); }

 private:
  void Answer(const Frames& request);

  prometheus::Counter& m_refused;
  std::map<std::string, std::string> m_names;
  EventSocket m_socket;
};

}  // namespace citronferry::peering

#endif  // CITRONFERRY_PEERING_INTERNAL_AUTHENTICATOR_H_
