#include "http/message.h"

#include <QUrl>
#include <algorithm>
#include <cctype>

#include "telemetry/log.h"

namespace citronferry::http {
namespace {

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
    return std::tolower(x) == std::tolower(y);
  });
}

}  // namespace

std::string_view FindHeader(const Headers& headers, std::string_view name) {
  const auto found = std::find_if(headers.begin(), headers.end(), [name](const Header& header) {
    return EqualsIgnoringCase(header.name, name);
  });
  return found == headers.end() ? std::string_view() : std::string_view(found->value);
}

size_t CountHeader(const Headers& headers, std::string_view name) {
  return static_cast<size_t>(std::count_if(
      headers.begin(), headers.end(),
      [name](const Header& header) { return EqualsIgnoringCase(header.name, name); }));
}

std::string PercentEncode(std::string_view text) {
  return QUrl::toPercentEncoding(
             QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size())))
      .toStdString();
}

Response MakeErrorResponse(int status, std::string_view code, std::string_view message) {
  std::string body = "{\"error\":";
  AppendJsonString(body, code);
  body += ",\"message\":";
  AppendJsonString(body, message);
  body += "}\n";
  return {.status = status,
          .headers = {{"Content-Type", "application/json"}},
          .body = QByteArray::fromStdString(body)};
}

}  // namespace citronferry::http
