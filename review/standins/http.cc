#include "http.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr size_t kBufferBytes = 65536;
constexpr int kBacklog = 256;
constexpr int kPollMs = 20;
constexpr int kHexBase = 16;

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

std::string Decode(const std::string& text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, kHexBase));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

sockaddr_in MakeAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

int OpenListener(const std::string& ip, int port) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = MakeAddress(ip, port);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(listener, kBacklog) != 0) {
    close(listener);
    return -1;
  }
  return listener;
}

int Connect(const std::string& ip, int port) {
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = MakeAddress(ip, port);
  if (connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(connection);
    return -1;
  }
  const int on = 1;
  setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return connection;
}

void Reset(int connection) {
  const linger abort{.l_onoff = 1, .l_linger = 0};
  setsockopt(connection, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
  close(connection);
}

bool SendAll(int connection, const std::string& text) {
  size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t count = send(connection, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

// Reads until the buffer contains a message with its body.
// @param deadline nothing is read after it.
// @return the length of the header, or 0 if the connection has ended.
size_t ReadMessage(int connection, std::string& buffer, size_t& length,
                   std::chrono::steady_clock::time_point deadline) {
  std::array<char, kBufferBytes> chunk{};
  while (true) {
    const size_t end = buffer.find("\r\n\r\n");
    if (end != std::string::npos) {
      const std::string header = ToLower(buffer.substr(0, end));
      const std::string name = "\r\ncontent-length:";
      const size_t field = header.find(name);
      const size_t body =
          field == std::string::npos
              ? 0
              : static_cast<size_t>(std::atoll(header.c_str() + field + name.size()));
      length = end + 4 + body;
      if (buffer.size() >= length) return end + 4;
    }
    pollfd waiting{.fd = connection, .events = POLLIN, .revents = 0};
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline - std::chrono::steady_clock::now());
    if (left.count() <= 0) return 0;
    if (poll(&waiting, 1, static_cast<int>(left.count())) <= 0) return 0;
    const ssize_t count = recv(connection, chunk.data(), chunk.size(), 0);
    if (count <= 0) return 0;
    buffer.append(chunk.data(), static_cast<size_t>(count));
  }
}

HttpRequest ParseRequest(const std::string& header) {
  HttpRequest request;
  const size_t line_end = header.find("\r\n");
  const std::string line = header.substr(0, line_end);
  const size_t first = line.find(' ');
  const size_t second = line.find(' ', first + 1);
  request.method = line.substr(0, first);
  const std::string target = line.substr(first + 1, second - first - 1);
  const size_t mark = target.find('?');
  request.path = Decode(target.substr(0, mark));
  if (mark != std::string::npos) request.query = target.substr(mark + 1);
  size_t at = line_end + 2;
  while (at < header.size()) {
    const size_t end = header.find("\r\n", at);
    if (end == std::string::npos || end == at) break;
    const size_t colon = header.find(':', at);
    const size_t value = header.find_first_not_of(' ', colon + 1);
    request.headers[ToLower(header.substr(at, colon - at))] = header.substr(value, end - value);
    at = end + 2;
  }
  return request;
}

}  // namespace

std::string HttpRequest::Parameter(const std::string& name) const {
  const std::string whole = "&" + query;
  const size_t at = whole.find("&" + name + "=");
  if (at == std::string::npos) return {};
  const size_t begin = at + name.size() + 2;
  return Decode(whole.substr(begin, whole.find('&', begin) - begin));
}

std::string HttpRequest::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

HttpServer::HttpServer(std::string ip, int port, Handler handler)
    : m_ip(std::move(ip)), m_port(port), m_handler(std::move(handler)) {}

bool HttpServer::Listen() {
  const int listener = OpenListener(m_ip, m_port);
  if (listener < 0) return false;
  const std::lock_guard lock(m_mutex);
  m_listener = listener;
  std::thread([this, listener] { Accept(listener); }).detach();
  return true;
}

void HttpServer::Close() {
  const std::lock_guard lock(m_mutex);
  if (m_listener >= 0) shutdown(m_listener, SHUT_RDWR);
  m_listener = -1;
  for (const int connection : m_connections) shutdown(connection, SHUT_RDWR);
}

void HttpServer::Accept(int listener) {
  while (true) {
    const int connection = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) break;
    const int on = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard lock(m_mutex);
    if (m_listener != listener) {
      Reset(connection);
      break;
    }
    m_connections.insert(connection);
    std::thread([this, connection] { Serve(connection); }).detach();
  }
  close(listener);
}

void HttpServer::Serve(int connection) {
  std::string buffer;
  while (true) {
    size_t length = 0;
    const size_t header = ReadMessage(connection, buffer, length,
                                      std::chrono::steady_clock::now() + std::chrono::hours(1));
    if (header == 0) break;
    HttpRequest request = ParseRequest(buffer.substr(0, header));
    request.body = buffer.substr(header, length - header);
    buffer.erase(0, length);
    const std::optional<HttpResponse> response = m_handler(request);
    if (!response) break;
    const bool last = ToLower(request.Header("connection")) == "close";
    const std::string text = "HTTP/1.1 " + std::to_string(response->status) +
                             " -\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(response->body.size()) +
                             (last ? "\r\nConnection: close" : "") + "\r\n\r\n" + response->body;
    if (!SendAll(connection, text) || last) break;
  }
  const std::lock_guard lock(m_mutex);
  m_connections.erase(connection);
  close(connection);
}

std::optional<HttpResponse> Call(const std::string& address, const std::string& method,
                                 const std::string& path, const std::string& headers,
                                 const std::string& body, int timeout_ms) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);
  const size_t colon = address.find(':');
  const int connection = Connect(address.substr(0, colon), std::atoi(&address[colon + 1]));
  if (connection < 0) return std::nullopt;
  const std::string text =
      method + " " + path + " HTTP/1.1\r\nConnection: close\r\n" + headers +
      "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
  std::optional<HttpResponse> response;
  std::string buffer;
  size_t length = 0;
  if (SendAll(connection, text)) {
    const size_t header = ReadMessage(connection, buffer, length, deadline);
    const size_t space = buffer.find(' ');
    if (header > 0 && space != std::string::npos) {
      response = HttpResponse{.status = std::atoi(buffer.c_str() + space + 1),
                              .body = buffer.substr(header, length - header)};
    }
  }
  close(connection);
  return response;
}

Proxy::Proxy(std::string ip, int port, std::string target_ip, int target_port)
    : m_ip(std::move(ip)),
      m_port(port),
      m_target_ip(std::move(target_ip)),
      m_target_port(target_port) {}

bool Proxy::Listen() {
  const int listener = OpenListener(m_ip, m_port);
  if (listener < 0) return false;
  std::thread([this, listener] { Accept(listener); }).detach();
  return true;
}

void Proxy::Heal() {
  ++m_heals;
  m_cut = false;
}

void Proxy::Accept(int listener) {
  while (true) {
    const int client = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (client < 0) return;
    std::thread([this, client] { Forward(client); }).detach();
  }
}

void Proxy::Forward(int client) {
  const int on = 1;
  setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const int heals = m_heals;
  const bool opened_in_cut = m_cut;
  const int server = opened_in_cut ? -1 : Connect(m_target_ip, m_target_port);
  if (!opened_in_cut && server < 0) {
    Reset(client);
    return;
  }
  std::array<char, kBufferBytes> chunk{};
  while (true) {
    const bool silent = opened_in_cut || m_cut || heals != m_heals;
    std::array<pollfd, 2> waiting{
        pollfd{.fd = client, .events = POLLIN, .revents = 0},
        pollfd{.fd = silent ? -1 : server, .events = POLLIN, .revents = 0}};
    if (poll(waiting.data(), waiting.size(), kPollMs) < 0) break;
    // The cut may have begun during the wait.
    const bool dropped = silent || m_cut || heals != m_heals;
    if (waiting[0].revents != 0) {
      const ssize_t count = recv(client, chunk.data(), chunk.size(), 0);
      if (count <= 0) break;
      if (dropped && !m_cut) {
        Reset(client);
        if (server >= 0) close(server);
        return;
      }
      if (!dropped && !SendAll(server, std::string(chunk.data(), static_cast<size_t>(count))))
        break;
    }
    if (!silent && waiting[1].revents != 0) {
      const ssize_t count = recv(server, chunk.data(), chunk.size(), 0);
      // The end of a process behind the cut is not seen.
      if (count <= 0 && !dropped) break;
      if (count > 0 && !dropped) {
        if (!SendAll(client, std::string(chunk.data(), static_cast<size_t>(count)))) break;
      }
    }
  }
  Reset(client);
  if (server >= 0) close(server);
}

}  // namespace review
