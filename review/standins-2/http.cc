#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <string_view>
#include <thread>

namespace review {
namespace {

constexpr int kBacklog = 256;
constexpr size_t kReadBytes = 16384;

sockaddr_in MakeAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

int PortOf(int descriptor) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

int Bind(const std::string& ip) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = MakeAddress(ip, 0);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) abort();
  return descriptor;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

std::string DecodePercent(std::string_view text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      const std::string digits(text.substr(i + 1, 2));
      decoded += static_cast<char>(std::strtol(digits.c_str(), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

void ParseTarget(std::string_view target, Request& request) {
  const size_t mark = target.find('?');
  request.path = DecodePercent(target.substr(0, mark));
  if (mark == std::string_view::npos) return;
  std::string_view rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const size_t equals = pair.find('=');
    if (equals == std::string_view::npos) continue;
    request.query[DecodePercent(pair.substr(0, equals))] = DecodePercent(pair.substr(equals + 1));
  }
}

void ParseHeaders(std::string_view head, std::map<std::string, std::string>& headers) {
  while (!head.empty()) {
    const size_t end = head.find("\r\n");
    const std::string_view line = head.substr(0, end);
    head.remove_prefix(end == std::string_view::npos ? head.size() : end + 2);
    const size_t colon = line.find(':');
    if (colon == std::string_view::npos) continue;
    std::string_view value = line.substr(colon + 1);
    while (!value.empty() && value.front() == ' ') value.remove_prefix(1);
    headers[Lower(std::string(line.substr(0, colon)))] = std::string(value);
  }
}

bool ReadMore(int descriptor, std::string& buffer) {
  std::array<char, kReadBytes> bytes{};
  const ssize_t size = recv(descriptor, bytes.data(), bytes.size(), 0);
  if (size <= 0) return false;
  buffer.append(bytes.data(), static_cast<size_t>(size));
  return true;
}

size_t ContentLength(const std::map<std::string, std::string>& headers) {
  const auto found = headers.find("content-length");
  return found == headers.end() ? 0 : std::strtoul(found->second.c_str(), nullptr, 10);
}

// Reads the head of a message into the headers and its body.
// @param first_line request line or status line.
bool ReadMessage(int descriptor, std::string& buffer, std::string& first_line,
                 std::map<std::string, std::string>& headers, std::string& body) {
  size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(descriptor, buffer)) return false;
  }
  const size_t line_end = buffer.find("\r\n");
  first_line = buffer.substr(0, line_end);
  ParseHeaders(std::string_view(buffer).substr(line_end + 2, end - line_end), headers);
  const size_t length = ContentLength(headers);
  while (buffer.size() < end + 4 + length) {
    if (!ReadMore(descriptor, buffer)) return false;
  }
  body = buffer.substr(end + 4, length);
  buffer.erase(0, end + 4 + length);
  return true;
}

bool SendAll(int descriptor, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

}  // namespace

Server::Server(Handler handler) : m_state(std::make_shared<State>()) {
  m_state->handler = std::move(handler);
  m_listener = Bind("127.0.0.1");
  listen(m_listener, kBacklog);
  m_port = PortOf(m_listener);
  std::thread([listener = m_listener, state = m_state] { Accept(listener, state); }).detach();
}

void Server::Crash() {
  shutdown(m_listener, SHUT_RDWR);
  const std::lock_guard lock(m_state->mutex);
  for (const int connection : m_state->connections) shutdown(connection, SHUT_RDWR);
}

void Server::Accept(int listener, const std::shared_ptr<State>& state) {
  while (true) {
    const int connection = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) break;
    const int on = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    {
      const std::lock_guard lock(state->mutex);
      state->connections.insert(connection);
    }
    std::thread([connection, state] { Serve(connection, state); }).detach();
  }
  close(listener);
}

void Server::Serve(int connection, const std::shared_ptr<State>& state) {
  std::string buffer;
  while (true) {
    Request request;
    std::string line;
    if (!ReadMessage(connection, buffer, line, request.headers, request.body)) break;
    const size_t first = line.find(' ');
    const size_t last = line.rfind(' ');
    if (first == std::string::npos || last <= first) break;
    request.method = line.substr(0, first);
    ParseTarget(std::string_view(line).substr(first + 1, last - first - 1), request);
    const Response response = state->handler(request);
    std::string text = "HTTP/1.1 " + std::to_string(response.status) +
                       " -\r\nContent-Type: application/json\r\nContent-Length: " +
                       std::to_string(response.body.size()) + "\r\n\r\n";
    text += response.body;
    if (!SendAll(connection, text)) break;
    if (Lower(request.headers["connection"]) == "close") break;
  }
  {
    const std::lock_guard lock(state->mutex);
    state->connections.erase(connection);
  }
  close(connection);
}

std::optional<Response> Call(const std::string& address, const std::string& method,
                             const std::string& path, const std::string& host,
                             const std::string& body, int timeout_ms) {
  const size_t colon = address.rfind(':');
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval timeout{.tv_sec = timeout_ms / 1000, .tv_usec = timeout_ms % 1000 * 1000};
  setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
  const sockaddr_in to =
      MakeAddress(address.substr(0, colon), std::atoi(address.substr(colon + 1).c_str()));
  std::optional<Response> result;
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0) {
    std::string text = method;
    text += " " + path + " HTTP/1.1\r\nHost: " + host;
    text += "\r\nContent-Type: application/json\r\nConnection: close\r\nX-Request-Deadline: ";
    text += std::to_string(timeout_ms) + "\r\nContent-Length: " + std::to_string(body.size());
    text += "\r\n\r\n" + body;
    std::string buffer;
    std::string line;
    std::map<std::string, std::string> headers;
    Response response;
    if (SendAll(descriptor, text) &&
        ReadMessage(descriptor, buffer, line, headers, response.body) && line.size() > 12) {
      response.status = std::atoi(line.substr(9, 3).c_str());
      result = std::move(response);
    }
  }
  close(descriptor);
  return result;
}

int FindFreePort(const std::string& ip) {
  const int descriptor = Bind(ip);
  const int port = PortOf(descriptor);
  close(descriptor);
  return port;
}

}  // namespace review
