#include "peering/internal/event_socket.h"

#include <iterator>
#include <zmq_addon.hpp>

namespace citronferry::peering {
namespace {

// Bounds the time between two turns of the event loop when a peer floods the socket.
constexpr int kMaxMessagesPerTurn = 256;

}  // namespace

EventSocket::EventSocket(zmq::context_t& context, zmq::socket_type type, Receiver receiver)
    : m_socket(context, type), m_receiver(std::move(receiver)) {
  m_socket.set(zmq::sockopt::linger, 0);
}

EventSocket::~EventSocket() {
  // The descriptor belongs to the socket, so the notifier goes first.
  m_notifier.reset();
}

void EventSocket::Start() {
  m_notifier = std::make_unique<QSocketNotifier>(m_socket.get(zmq::sockopt::fd),
                                                 QSocketNotifier::Read, nullptr);
  connect(m_notifier.get(), &QSocketNotifier::activated, this, [this] { ReadPending(); });
  ScheduleRead();
}

bool EventSocket::Send(std::span<const std::string_view> frames) {
  bool sent = true;
  for (size_t i = 0; i < frames.size() && sent; ++i) {
    const auto more = i + 1 < frames.size() ? zmq::send_flags::sndmore : zmq::send_flags::none;
    try {
      sent = m_socket.send(zmq::buffer(frames[i]), more | zmq::send_flags::dontwait).has_value();
    } catch (const zmq::error_t&) {
      // A ROUTER reports that the addressed connection is gone.
      sent = false;
    }
  }
  // Sending consumes the edge of the descriptor, also for messages that have just come in.
  ScheduleRead();
  return sent;
}

void EventSocket::ReadPending() {
  if (m_reading) return;
  m_reading = true;
  int left = kMaxMessagesPerTurn;
  while (left > 0 && (m_socket.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0) {
    Frames frames;
    if (!zmq::recv_multipart(m_socket, std::back_inserter(frames), zmq::recv_flags::dontwait)) {
      break;
    }
    --left;
    m_receiver(std::move(frames));
  }
  m_reading = false;
  if (left == 0) ScheduleRead();
}

void EventSocket::ScheduleRead() {
  if ((m_socket.get(zmq::sockopt::events) & ZMQ_POLLIN) == 0) return;
  QMetaObject::invokeMethod(
      this, [this] { ReadPending(); }, Qt::QueuedConnection);
}

}  // namespace citronferry::peering
