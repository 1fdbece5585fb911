#ifndef CITRONFERRY_PEERING_INTERNAL_EVENT_SOCKET_H_
#define CITRONFERRY_PEERING_INTERNAL_EVENT_SOCKET_H_

#include <QObject>
#include <QSocketNotifier>
#include <functional>
#include <memory>
#include <span>
#include <string_view>
#include <vector>
#include <zmq.hpp>

namespace citronferry::peering {

using Frames = std::vector<zmq::message_t>;

/// Integrates a ZeroMQ socket into Qt's event loop.
///
/// The file descriptor of a ZeroMQ socket is edge-triggered and shared by both directions, so all
/// pending messages are read after each wake-up and after each send.
class EventSocket : public QObject {
 public:
  using Receiver = std::function<void(Frames)>;

  /// @param receiver called for each message; it may send, but must not destroy the socket.
  EventSocket(zmq::context_t& context, zmq::socket_type type, Receiver receiver);
  ~EventSocket() override;

  /// @return the socket, to set options, bind and connect it before Start.
  zmq::socket_t& socket() { return m_socket; }
  /// Begins to receive messages.
  void Start();
  /// @return false when the message was dropped because no peer can accept it now.
  bool Send(std::span<const std::string_view> frames);

 private:
  void ReadPending();
  void ScheduleRead();

  zmq::socket_t m_socket;
  Receiver m_receiver;
  std::unique_ptr<QSocketNotifier> m_notifier;
  bool m_reading = false;
};

}  // namespace citronferry::peering

#endif  // CITRONFERRY_PEERING_INTERNAL_EVENT_SOCKET_H_
