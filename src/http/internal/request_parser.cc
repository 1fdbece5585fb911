#include "http/internal/request_parser.h"

#include <QUrl>
#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <utility>

namespace citronferry::http {
namespace {

namespace beast = boost::beast;

// Smallest memory for a body; a typical one fits.
constexpr size_t kMinBodyCapacity = 4 * 1024;

constexpr Refusal kInvalidFraming{400, "invalid_framing", "the length of the body is ambiguous",
                                  ClientLimitEvent::kRefusedMalformed};
constexpr Refusal kMalformed{400, "malformed", "the request does not follow HTTP/1.1",
                             ClientLimitEvent::kRefusedMalformed};
constexpr Refusal kBodyTooLarge{413, "body_too_large", "not accepted; the body is over the limit",
                                ClientLimitEvent::kRefusedBody};

struct RefusalRule {
  beast::http::error error;
  const Refusal& refusal;
};

// Every other error of the parser is kMalformed.
constexpr std::array kRefusalRules{
    RefusalRule{beast::http::error::body_limit, kBodyTooLarge},
    RefusalRule{beast::http::error::header_limit, kHeaderTooLarge},
    RefusalRule{beast::http::error::bad_content_length, kInvalidFraming},
    RefusalRule{beast::http::error::bad_transfer_encoding, kInvalidFraming},
    RefusalRule{beast::http::error::multiple_content_length, kInvalidFraming},
};

const Refusal& RefusalOf(const beast::error_code& error) {
  const auto found =
      std::find_if(kRefusalRules.begin(), kRefusalRules.end(),
                   [&error](const RefusalRule& rule) { return error == rule.error; });
  return found == kRefusalRules.end() ? kMalformed : found->refusal;
}

std::string_view View(beast::string_view text) { return {text.data(), text.size()}; }

bool IsPlainPath(std::string_view target) {
  return target.starts_with('/') && !target.starts_with("//") &&
         std::all_of(target.begin(), target.end(),
                     [](char c) { return c > ' ' && c < 0x7f && c != '%' && c != '#'; });
}

void SetTarget(std::string_view target, Request& request) {
  if (IsPlainPath(target)) {
    const size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark != std::string_view::npos) request.query = target.substr(mark + 1);
    return;
  }
  const QUrl url = QUrl::fromEncoded(
      QByteArray::fromRawData(target.data(), static_cast<qsizetype>(target.size())));
  request.path = url.path(QUrl::FullyDecoded).toStdString();
  request.query = url.query().toStdString();
}

}  // namespace

RequestParser::RequestParser(const ServerLimits& limits, ClientBudget::Share& share)
    : m_share(share), m_max_body_bytes(static_cast<size_t>(limits.max_body_bytes)) {
  header_limit(static_cast<uint32_t>(limits.max_header_bytes));
  body_limit(static_cast<uint64_t>(limits.max_body_bytes));
  eager(true);
}

size_t RequestParser::Put(std::string_view bytes) {
  size_t used = 0;
  while (used < bytes.size() && !is_done() && !m_refusal) {
    beast::error_code error;
    const size_t consumed =
        put(boost::asio::buffer(bytes.data() + used, bytes.size() - used), error);
    used += consumed;
    if (error == beast::http::error::need_more) break;
    if (error && !m_refusal) m_refusal = RefusalOf(error);
    if (consumed == 0) break;
  }
  return used;
}

void RequestParser::on_request_impl(beast::http::verb, string_view method, string_view target, int,
                                    error_code&) {
  m_request.method = View(method);
  SetTarget(View(target), m_request);
}

void RequestParser::on_response_impl(int, string_view, int, error_code&) {}

void RequestParser::on_field_impl(beast::http::field, string_view name, string_view value,
                                  error_code&) {
  // Trailers of a chunked body have passed neither the load balancer's checks nor the budget.
  if (is_header_done()) return;
  m_header_bytes += sizeof(Header) + name.size() + value.size();
  m_request.headers.push_back({std::string(View(name)), std::string(View(value))});
}

void RequestParser::on_header_impl(error_code& error) {
  const size_t codings = CountHeader(m_request.headers, "Transfer-Encoding");
  // A body with another coding than "chunked" has no end that both sides agree on.
  if (codings > 1 || (codings == 1 && !chunked()) ||
      CountHeader(m_request.headers, "Content-Length") + codings > 1) {
    Refuse(kInvalidFraming, error);
  } else if (!m_share.Reserve(m_header_bytes)) {
    Refuse(kOutOfMemory, error);
  }
}

void RequestParser::on_body_init_impl(const boost::optional<uint64_t>& content_length,
                                      error_code&) {
  if (content_length) m_max_body_bytes = static_cast<size_t>(*content_length);
}

size_t RequestParser::on_body_impl(string_view body, error_code& error) {
  return Append(body, error);
}

void RequestParser::on_chunk_header_impl(uint64_t, string_view, error_code&) {}

size_t RequestParser::on_chunk_body_impl(uint64_t, string_view body, error_code& error) {
  return Append(body, error);
}

void RequestParser::on_finish_impl(error_code&) {}

size_t RequestParser::Append(string_view bytes, error_code& error) {
  const size_t needed = body_bytes() + bytes.size();
  if (needed > m_body_capacity) {
    const size_t wanted = std::max(
        needed, std::min(m_max_body_bytes, std::max(2 * m_body_capacity, kMinBodyCapacity)));
    if (!m_share.Reserve(wanted - m_body_capacity)) {
      Refuse(kOutOfMemory, error);
      return 0;
    }
    m_body_capacity = wanted;
    m_request.body.reserve(static_cast<qsizetype>(wanted));
  }
  m_request.body.append(bytes.data(), static_cast<qsizetype>(bytes.size()));
  return bytes.size();
}

void RequestParser::Refuse(const Refusal& refusal, error_code& error) {
  m_refusal = refusal;
  error = make_error_code(boost::system::errc::not_enough_memory);
}

}  // namespace citronferry::http
