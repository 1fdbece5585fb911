#ifndef REVIEW_STANDINS_HTTP_H_
#define REVIEW_STANDINS_HTTP_H_

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace review {

struct HttpRequest {
  std::string method;
  std::string path;
  std::string query;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;

  /// @return the decoded value of a query parameter, or an empty string.
  std::string Parameter(const std::string& name) const;
  /// @return the value of a header, or an empty string.
  std::string Header(const std::string& name) const;
};

struct HttpResponse {
  int status = 200;
  std::string body = "{}";
};

/// HTTP/1.1 server with a thread for each connection.
class HttpServer {
 public:
  /// @return the response; nothing to close the connection without one.
  using Handler = std::function<std::optional<HttpResponse>(const HttpRequest&)>;

  HttpServer(std::string ip, int port, Handler handler);

  /// Opens the listening socket.
  /// @return false if the address is in use.
  bool Listen();
  /// Closes the listening socket and all connections.
  void Close();

 private:
  void Accept(int listener);
  void Serve(int connection);

  std::string m_ip;
  int m_port;
  Handler m_handler;
  std::mutex m_mutex;
  int m_listener = -1;
  std::set<int> m_connections;
};

/// Sends one request on a new connection.
/// @param address IP address and port.
/// @param headers further header lines, each ending with CR LF.
/// @return the response; nothing if none arrived within the timeout.
std::optional<HttpResponse> Call(const std::string& address, const std::string& method,
                                 const std::string& path, const std::string& headers,
                                 const std::string& body, int timeout_ms);

/// Forwards TCP connections to an address. It can act as a network that drops every packet.
class Proxy {
 public:
  Proxy(std::string ip, int port, std::string target_ip, int target_port);

  bool Listen();
  /// Drops everything from now on, in both directions.
  void Cut() { m_cut = true; }
  /// Forwards new connections again. Those of before the end of the cut stay silent, and are reset
  /// when the caller sends on them, since the process behind them has gone.
  void Heal();

 private:
  void Accept(int listener);
  void Forward(int client);

  std::string m_ip;
  int m_port;
  std::string m_target_ip;
  int m_target_port;
  std::atomic<bool> m_cut = false;
  std::atomic<int> m_heals = 0;
};

}  // namespace review

#endif  // REVIEW_STANDINS_HTTP_H_
