#include "peering/internal/authenticator.h"

#include <array>

#include "telemetry/log.h"

namespace citronferry::peering {
namespace {

constexpr char kEndpoint[] = "inproc://zeromq.zap.01";
// Frames of a ZAP request with the CURVE mechanism: version, id, domain, address, identity,
// mechanism, key.
constexpr size_t kRequestFrames = 7;
constexpr size_t kKeyBytes = 32;
constexpr size_t kKeyCharacters = 40;

}  // namespace

Authenticator::Authenticator(zmq::context_t& context, prometheus::Counter& refused)
    : m_refused(refused),
      m_socket(context, zmq::socket_type::rep, [this](const Frames& request) { Answer(request); }) {
  m_socket.socket().bind(kEndpoint);
  m_socket.Start();
}

void Authenticator::Answer(const Frames& request) {
  std::string key;
  if (request.size() == kRequestFrames && request[5].to_string_view() == "CURVE" &&
      request[6].size() == kKeyBytes) {
    std::array<char, kKeyCharacters + 1> text{};
    zmq_z85_encode(text.data(), request[6].data<uint8_t>(), kKeyBytes);
    key = text.data();
  }
  const auto known = m_entries_by_key.find(key);
  const bool accepted = known != m_entries_by_key.end();
  if (!accepted) {
    m_refused.Increment();
    Log(LogLevel::kWarning, "peer_refused", {{"public_key", key}});
  }
  const std::string id = request.size() > 1 ? request[1].to_string() : std::string();
  const std::string name = accepted ? known->second : std::string();
  const std::array<std::string_view, 6> reply{
      "1.0", id, accepted ? "200" : "400", accepted ? "OK" : "unknown key", name, ""};
  m_socket.Send(reply);
}

}  // namespace citronferry::peering
