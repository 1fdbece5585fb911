#include "fleet/relay/relay_messages.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "relay.pb.h"

namespace citronferry::fleet {
namespace {

using scheduling::ActiveRun;
using scheduling::EndedRun;
using scheduling::JobDefinition;
using scheduling::PaceOrder;
using scheduling::RunEnd;
using scheduling::StopOrder;
using scheduling::TaskId;

constexpr size_t kMaxNameBytes = 256;
constexpr uint32_t kMaxNumber = 1'000'000'000;  // Of counts and of milliseconds.
constexpr int kFullPercent = 100;

void EncodeTask(const TaskId& task, wire::Task& out) {
  out.set_job(task.job.str());
  out.set_occurrence(static_cast<uint32_t>(task.occurrence));
  out.set_step(static_cast<uint32_t>(task.step));
  out.set_index(static_cast<uint32_t>(task.index));
}

std::optional<TaskId> DecodeTask(const wire::Task& in) {
  if (in.job().empty() || in.job().size() > kMaxNameBytes ||
      std::max({in.occurrence(), in.step(), in.index()}) > kMaxNumber) {
    return std::nullopt;
  }
  return TaskId{.job = JobId(in.job()),
                .occurrence = static_cast<int>(in.occurrence()),
                .step = static_cast<int>(in.step()),
                .index = static_cast<int>(in.index())};
}

struct OrderEncoder {
  wire::Call& out;

  void operator()(const RelayedHold& hold) const {
    wire::Hold& body = *out.mutable_hold();
    body.set_acknowledged_end(hold.acknowledged_end);
    if (hold.lease_until_ms) body.set_lease_until_ms(*hold.lease_until_ms);
    body.set_wait_ms(static_cast<uint32_t>(ToMilliseconds(hold.wait)));
  }
  void operator()(const RelayedStart& start) const {
    wire::Start& body = *out.mutable_start();
    EncodeTask(start.order.task, *body.mutable_task());
    body.set_run(start.order.run);
    body.set_lease_until_ms(start.lease_until_ms);
    body.set_checkpoint(start.order.checkpoint);
    body.set_ticket(start.order.ticket);
    if (!start.payload_known) body.set_payload(start.order.definition->payload);
  }
  void operator()(const StopOrder& stop) const {
    wire::Stop& body = *out.mutable_stop();
    EncodeTask(stop.task, *body.mutable_task());
    body.set_run(stop.run);
  }
  void operator()(const PaceOrder& pace) const {
    wire::Pace& body = *out.mutable_pace();
    EncodeTask(pace.task, *body.mutable_task());
    body.set_run(pace.run);
    body.set_percent(static_cast<uint32_t>(pace.percent));
  }
};

std::optional<RelayedOrder> DecodeStart(const wire::Call& call) {
  const wire::Start& in = call.start();
  const auto task = DecodeTask(in.task());
  if (!task) return std::nullopt;
  RelayedStart start{.order = {.executor = scheduling::ExecutorId(call.executor()),
                               .task = *task,
                               .run = in.run(),
                               .checkpoint = in.checkpoint(),
                               .ticket = in.ticket()},
                     .payload_known = !in.has_payload(),
                     .lease_until_ms = in.lease_until_ms()};
  if (in.has_payload()) {
    start.order.definition =
        std::make_shared<JobDefinition>(JobDefinition{.id = task->job, .payload = in.payload()});
  }
  return start;
}

std::optional<RelayedOrder> DecodeOrder(const wire::Call& call) {
  const scheduling::ExecutorId executor(call.executor());
  switch (call.order_case()) {
    case wire::Call::kHold: {
      const wire::Hold& in = call.hold();
      if (in.wait_ms() > kMaxNumber) return std::nullopt;
      RelayedHold hold{.acknowledged_end = in.acknowledged_end(),
                       .wait = std::chrono::milliseconds(in.wait_ms())};
      if (in.has_lease_until_ms()) hold.lease_until_ms = in.lease_until_ms();
      return hold;
    }
    case wire::Call::kStart:
      return DecodeStart(call);
    case wire::Call::kStop: {
      const auto task = DecodeTask(call.stop().task());
      if (!task) return std::nullopt;
      return StopOrder{.executor = executor, .task = *task, .run = call.stop().run()};
    }
    case wire::Call::kPace: {
      const auto task = DecodeTask(call.pace().task());
      if (!task || call.pace().percent() > kFullPercent) return std::nullopt;
      return PaceOrder{.executor = executor,
                       .task = *task,
                       .run = call.pace().run(),
                       .percent = static_cast<int>(call.pace().percent())};
    }
    case wire::Call::ORDER_NOT_SET:
      break;
  }
  return std::nullopt;
}

void EncodeReport(const scheduling::ExecutorReport& report, wire::Report& out) {
  out.set_incarnation_unix_ms(report.incarnation_unix_ms);
  out.set_clock_ms(report.clock_ms);
  out.set_incomplete(report.incomplete);
  for (const ActiveRun& active : report.active) {
    wire::ActiveRun& run = *out.add_active();
    EncodeTask(active.task, *run.mutable_task());
    run.set_run(active.run);
    run.set_checkpoint(active.checkpoint);
    run.set_percent(static_cast<uint32_t>(active.percent));
    run.set_metric(static_cast<float>(active.metric));
  }
  for (const EndedRun& ended : report.ended) {
    wire::EndedRun& run = *out.add_ended();
    run.set_number(ended.number);
    EncodeTask(ended.task, *run.mutable_task());
    run.set_run(ended.run);
    run.set_end(static_cast<uint32_t>(ended.end));
    run.set_checkpoint(ended.checkpoint);
  }
}

std::optional<scheduling::ExecutorReport> DecodeReport(const wire::Report& in) {
  scheduling::ExecutorReport report{.incarnation_unix_ms = in.incarnation_unix_ms(),
                                    .clock_ms = in.clock_ms(),
                                    .incomplete = in.incomplete()};
  for (const wire::ActiveRun& run : in.active()) {
    const auto task = DecodeTask(run.task());
    if (!task || run.percent() > kFullPercent) return std::nullopt;
    report.active.push_back({.task = *task,
                             .run = run.run(),
                             .checkpoint = run.checkpoint(),
                             .percent = static_cast<int>(run.percent()),
                             .metric = run.metric()});
  }
  for (const wire::EndedRun& run : in.ended()) {
    const auto task = DecodeTask(run.task());
    if (!task || run.end() > static_cast<uint32_t>(RunEnd::kGangIncomplete)) return std::nullopt;
    report.ended.push_back({.number = run.number(),
                            .task = *task,
                            .run = run.run(),
                            .end = static_cast<RunEnd>(run.end()),
                            .checkpoint = run.checkpoint()});
  }
  return report;
}

}  // namespace

std::string EncodeCalls(std::span<const RelayedCall> calls, TimePoint sent_at) {
  wire::CallBatch batch;
  batch.set_sent_at_us(sent_at.time_since_epoch().count());
  for (const RelayedCall& call : calls) {
    wire::Call& out = *batch.add_calls();
    out.set_number(call.number);
    out.set_executor(call.to.id.str());
    out.set_address(call.to.address);
    if (call.to.incarnation_unix_ms) out.set_incarnation_unix_ms(*call.to.incarnation_unix_ms);
    out.set_fencing_token(call.fencing_token);
    out.set_timeout_ms(static_cast<uint32_t>(ToMilliseconds(call.timeout)));
    std::visit(OrderEncoder{out}, call.order);
  }
  return batch.SerializeAsString();
}

std::optional<RelayedCalls> DecodeCalls(std::string_view bytes) {
  wire::CallBatch batch;
  if (!batch.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  RelayedCalls decoded{.sent_at = TimePoint(Duration(batch.sent_at_us()))};
  for (const wire::Call& call : batch.calls()) {
    auto order = DecodeOrder(call);
    const bool valid = order && !call.executor().empty() &&
                       call.executor().size() <= kMaxNameBytes &&
                       call.address().size() <= kMaxNameBytes && call.timeout_ms() <= kMaxNumber;
    if (!valid) return std::nullopt;
    ExecutorAddress to{.id = scheduling::ExecutorId(call.executor()), .address = call.address()};
    if (call.has_incarnation_unix_ms()) to.incarnation_unix_ms = call.incarnation_unix_ms();
    decoded.calls.push_back({.number = call.number(),
                             .to = std::move(to),
                             .fencing_token = call.fencing_token(),
                             .timeout = std::chrono::milliseconds(call.timeout_ms()),
                             .order = std::move(*order)});
  }
  return decoded;
}

std::string EncodeResults(std::span<const RelayedResult> results) {
  wire::ResultBatch batch;
  for (const RelayedResult& result : results) {
    wire::Result& out = *batch.add_results();
    out.set_number(result.number);
    out.set_outcome(static_cast<uint32_t>(result.outcome));
    out.set_error(result.error);
    out.set_payload_missing(result.payload_missing);
    const bool reported = result.report.incarnation_unix_ms != 0 || result.report.clock_ms != 0;
    if (reported) EncodeReport(result.report, *out.mutable_report());
  }
  return batch.SerializeAsString();
}

std::optional<std::vector<RelayedResult>> DecodeResults(std::string_view bytes) {
  wire::ResultBatch batch;
  if (!batch.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  std::vector<RelayedResult> results;
  for (const wire::Result& in : batch.results()) {
    auto report = DecodeReport(in.report());
    if (!report || in.outcome() > kMaxNumber) return std::nullopt;
    results.push_back({.number = in.number(),
                       .outcome = static_cast<int>(in.outcome()),
                       .error = in.error(),
                       .report = std::move(*report),
                       .payload_missing = in.payload_missing()});
  }
  return results;
}

}  // namespace citronferry::fleet
