#ifndef CITRONFERRY_PLATFORM_INTERNAL_EXECUTORS_H_
#define CITRONFERRY_PLATFORM_INTERNAL_EXECUTORS_H_

#include <optional>
#include <string>
#include <string_view>

#include "fleet/interfaces/executors.h"
#include "http/client.h"

namespace citronferry::platform {

/// Decodes an executor's report of active and ended runs. Malformed rows are skipped.
RetVal<scheduling::ExecutorReport> DecodeReport(std::string_view text);

/// HTTP client of the executors.
///
/// An executor that restarts keeps its id and address, and the header of a call names the id only.
/// A call that is meant for one incarnation is therefore sent on a kept-alive connection on which
/// that incarnation has answered. The connection ends with the process, so the next incarnation
/// cannot receive the call, however late it arrives.
class HttpExecutors : public fleet::Executors {
 public:
  explicit HttpExecutors(http::Client& client) : m_client(client) {}

  QCoro::Task<fleet::HoldResult> Hold(fleet::ExecutorAddress to, fleet::HoldCall call) override;
  QCoro::Task<fleet::StartResult> Start(fleet::ExecutorAddress to, fleet::StartCall call) override;
  QCoro::Task<scheduling::StopAnswer> Stop(fleet::ExecutorAddress to, scheduling::StopOrder order,
                                           int64_t fencing_token, Duration timeout) override;
  QCoro::Task<Ret> Pace(fleet::ExecutorAddress to, scheduling::PaceOrder order,
                        int64_t fencing_token, Duration timeout) override;

 private:
  /// A call of the executors' interface.
  struct Endpoint {
    std::string_view path;
    std::string_view kind;  ///< In http::ExchangeRecord.
  };
  static constexpr Endpoint kHold{"/v1/hold", "executor_hold"};
  static constexpr Endpoint kStart{"/v1/run-start", "executor_start"};
  static constexpr Endpoint kStop{"/v1/run-stop", "executor_stop"};
  static constexpr Endpoint kPace{"/v1/pace", "executor_pace"};

  /// Where a call may be sent.
  struct Route {
    /// Only where this incarnation has answered before; nothing: anywhere.
    std::optional<int64_t> incarnation_unix_ms;
    bool identifies = false;  ///< The response tells which incarnation is at the other end.
  };
  static constexpr Route kAnywhere{.incarnation_unix_ms = std::nullopt, .identifies = false};
  static constexpr Route kIdentification{.incarnation_unix_ms = std::nullopt, .identifies = true};

  QCoro::Task<RetVal<http::Response>> Post(const fleet::ExecutorAddress& to,
                                           const Endpoint& endpoint, const Route& route,
                                           std::string_view body, Duration timeout,
                                           StopSignal* abort = nullptr);
  /// Makes a hold that only reports, on any connection.
  QCoro::Task<RetVal<http::Response>> Identify(const fleet::ExecutorAddress& to,
                                               int64_t fencing_token, Duration timeout,
                                               StopSignal* abort);
  /// Outcome of a call to one incarnation.
  struct BoundExchange {
    RetVal<http::Response> response;  ///< kUnavailable if the call was not sent.
    /// Why the call was not sent: what the executor answered to the hold that identifies it.
    std::optional<http::Response> identification;
  };
  /// Makes a call to one incarnation, after a hold without effect where that incarnation has not
  /// answered yet.
  QCoro::Task<BoundExchange> PostToIncarnation(const fleet::ExecutorAddress& to,
                                               const Endpoint& endpoint, int64_t fencing_token,
                                               std::string_view body, Duration timeout,
                                               StopSignal* abort = nullptr);

  static fleet::HoldResult ReadHold(const RetVal<http::Response>& response);
  static fleet::StartResult ReadStart(const http::Response& response);

  http::Client& m_client;
};

/// HTTP client of the placement adviser.
class HttpPlacementAdviser : public fleet::PlacementAdviser {
 public:
  HttpPlacementAdviser(http::Client& client, std::string address)
      : m_client(client), m_address(std::move(address)) {}

  QCoro::Task<RetVal<fleet::Advice>> Advise(scheduling::TaskId step,
                                            std::vector<scheduling::ExecutorId> candidates,
                                            Duration timeout) override;

 private:
  http::Client& m_client;
  std::string m_address;
};

}  // namespace citronferry::platform

#endif  // CITRONFERRY_PLATFORM_INTERNAL_EXECUTORS_H_
