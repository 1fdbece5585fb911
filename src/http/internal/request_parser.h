#ifndef CITRONFERRY_HTTP_INTERNAL_REQUEST_PARSER_H_
#define CITRONFERRY_HTTP_INTERNAL_REQUEST_PARSER_H_

#include <boost/beast/http/basic_parser.hpp>
#include <optional>

#include "http/client_budget.h"
#include "http/message.h"
#include "http/server.h"

namespace citronferry::http {

/// Why a request is refused before it is handled.
struct Refusal {
  int status = 0;
  std::string_view code;
  std::string_view message;
  ClientLimitEvent event = ClientLimitEvent::kRefusedMalformed;
};

inline constexpr Refusal kOutOfMemory{503, "overloaded", "not accepted; try again later",
                                      ClientLimitEvent::kRefusedForMemory};
inline constexpr Refusal kHeaderTooLarge{431, "header_too_large",
                                         "not accepted; the header block is over the limit",
                                         ClientLimitEvent::kRefusedHeader};
inline constexpr Refusal kTooSlow{408, "too_slow", "not accepted; the request took too long",
                                  ClientLimitEvent::kRefusedSlow};

/// Incremental parser of one request. It writes the body into its final place, and reserves memory
/// for the header and the body before it takes any.
/// Also detects requests that could be used for request smuggling: with both a Content-Length and a
/// Transfer-Encoding, or several of either, the load balancer and this server can disagree on where
/// the body ends.
class RequestParser : private boost::beast::http::basic_parser<true> {
 public:
  RequestParser(const ServerLimits& limits, ClientBudget::Share& share);

  /// Parses as much as it can.
  /// @return the number of bytes consumed.
  size_t Put(std::string_view bytes);

  using basic_parser::is_done;
  using basic_parser::is_header_done;
  using basic_parser::keep_alive;
  const std::optional<Refusal>& refusal() const { return m_refusal; }
  size_t body_bytes() const { return static_cast<size_t>(m_request.body.size()); }
  /// @pre is_done()
  Request Take() { return std::move(m_request); }

 private:
  using string_view = boost::beast::string_view;
  using error_code = boost::beast::error_code;

  void on_request_impl(boost::beast::http::verb verb, string_view method, string_view target,
                       int version, error_code& error) override;
  void on_response_impl(int code, string_view reason, int version, error_code& error) override;
  void on_field_impl(boost::beast::http::field field, string_view name, string_view value,
                     error_code& error) override;
  void on_header_impl(error_code& error) override;
  void on_body_init_impl(const boost::optional<uint64_t>& content_length,
                         error_code& error) override;
  size_t on_body_impl(string_view body, error_code& error) override;
  void on_chunk_header_impl(uint64_t size, string_view extensions, error_code& error) override;
  size_t on_chunk_body_impl(uint64_t remaining, string_view body, error_code& error) override;
  void on_finish_impl(error_code& error) override;

  /// Appends to the body, reserving memory for its growth.
  size_t Append(string_view bytes, error_code& error);
  void Refuse(const Refusal& refusal, error_code& error);

  ClientBudget::Share& m_share;
  Request m_request;
  std::optional<Refusal> m_refusal;
  size_t m_header_bytes = 0;
  size_t m_body_capacity = 0;
  size_t m_max_body_bytes;
};

}  // namespace citronferry::http

#endif  // CITRONFERRY_HTTP_INTERNAL_REQUEST_PARSER_H_
