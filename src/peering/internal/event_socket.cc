#include "peering/internal/event_socket.h"

#include <iterator>
#include <zmq_addon.hpp>

namespace citronferry::peering {
namespace {

// Bounds the duration of one event loop iteration when a peer floods the socket.
constexpr int kMaxMessagesPerIteration = 256;

}  // namespace

EventSocket::EventSocket(zmq::context_t& context, zmq::socket_type type, Receiver receiver)
    : m_socket(context, type), m_receiver(std::move(receiver)) {
  m_socket.set(zmq::sockopt::linger, 0);
}

EventSocket::~EventSocket() {
  // The socket owns the descriptor, so the notifier is destroyed first.
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
      // A ROUTER socket reports that the addressed connection no longer exists.
      sent = false;
    }
  }
  // Sending clears the edge-triggered readiness of the descriptor, even if messages have arrived in
  // the meantime.
  ScheduleRead();
  return sent;
}

void EventSocket::ReadPending() {
  if (m_reading) return;
  m_reading = true;
  int left = kMaxMessagesPerIteration;
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
