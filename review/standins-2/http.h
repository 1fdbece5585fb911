#ifndef CITRONFERRY_REVIEW_STANDINS_2_HTTP_H_
#define CITRONFERRY_REVIEW_STANDINS_2_HTTP_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace review {

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;
};

struct Response {
  int status = 200;
  std::string body;
};

using Handler = std::function<Response(const Request&)>;

/// HTTP/1.1 server on a loopback address, with one thread for each connection.
class Server {
 public:
  /// Listens on a free port of 127.0.0.1.
  explicit Server(Handler handler);

  int port() const { return m_port; }
  std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
  /// Closes the listener and all connections, as the crash of a machine does.
  void Crash();

 private:
  struct State {
    std::mutex mutex;
    std::set<int> connections;
    Handler handler;
  };

  static void Accept(int listener, const std::shared_ptr<State>& state);
  static void Serve(int connection, const std::shared_ptr<State>& state);

  std::shared_ptr<State> m_state;
  int m_listener = -1;
  int m_port = 0;
};

/// Sends a request on a connection of its own.
/// @return the response, or nothing if there is none within the time.
std::optional<Response> Call(const std::string& address, const std::string& method,
                             const std::string& path, const std::string& host,
                             const std::string& body, int timeout_ms);

/// @return a port of the address that no process listens on.
int FindFreePort(const std::string& ip);

}  // namespace review

#endif  // CITRONFERRY_REVIEW_STANDINS_2_HTTP_H_
