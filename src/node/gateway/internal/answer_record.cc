#include "node/gateway/answer_record.h"

#include <array>

#include "node/node_context.h"

namespace citronferry::node {
namespace {

// Names in stored rows, indexed by requests::Outcome.
constexpr std::array<std::string_view, 5> kOutcomeNames{"answered", "failed", "unknown", "not-run",
                                                        "cancelled"};

requests::Outcome ParseOutcome(std::string_view name) {
  for (size_t i = 0; i < kOutcomeNames.size(); ++i) {
    if (kOutcomeNames[i] == name) return static_cast<requests::Outcome>(i);
  }
  return requests::Outcome::kUnknown;
}

struct ErrorFields {
  int status;
  std::string_view code;
  std::string_view outcome;
};
// Indexed by requests::Outcome. Of kAnswered only the outcome is used: the status is that of the
// backend server.
constexpr std::array<ErrorFields, 5> kErrorFieldsByOutcome{{{200, "answered", "answered"},
                                                            {422, "failed", "failed"},
                                                            {504, "unknown", "unknown"},
                                                            {503, "not_run", "not-run"},
                                                            {409, "cancelled", "not-run"}}};

// Indexed by WorkOutcome.
constexpr std::array<requests::Outcome, 6> kOutcomeByWorkOutcome{
    requests::Outcome::kAnswered, requests::Outcome::kNotRun, requests::Outcome::kUnknown,
    requests::Outcome::kFailed,   requests::Outcome::kNotRun, requests::Outcome::kNotRun};

}  // namespace

std::string TextMember(const QJsonObject& json, const char* name) {
  return json.value(QLatin1String(name)).toString().toStdString();
}

std::string BytesMember(const QJsonObject& json, const char* name) {
  return QByteArray::fromBase64(json.value(QLatin1String(name)).toString().toLatin1())
      .toStdString();
}

QString ToBase64(std::string_view bytes) {
  return QString::fromLatin1(
      QByteArray(bytes.data(), static_cast<qsizetype>(bytes.size())).toBase64());
}

QJsonObject EncodeAnswer(const requests::Answer& answer) {
  return {
      {QStringLiteral("outcome"), ToQString(kOutcomeNames[static_cast<size_t>(answer.outcome)])},
      {QStringLiteral("status"), answer.status},
      {QStringLiteral("content_type"), ToQString(answer.content_type)},
      {QStringLiteral("body"), ToBase64(answer.body)},
      {QStringLiteral("object"), ToQString(answer.object)},
      {QStringLiteral("reason"), ToQString(answer.reason)}};
}

requests::Answer DecodeAnswer(const QJsonObject& json) {
  return {.outcome = ParseOutcome(TextMember(json, "outcome")),
          .status = json.value(QLatin1String("status")).toInt(),
          .content_type = TextMember(json, "content_type"),
          .body = BytesMember(json, "body"),
          .object = TextMember(json, "object"),
          .reason = TextMember(json, "reason")};
}

QJsonObject EncodeHolder(const requests::Holder& holder) {
  return {{QStringLiteral("entry"), ToQString(holder.entry.view())},
          {QStringLiteral("incarnation"), ToQString(holder.incarnation)}};
}

requests::Holder DecodeHolder(const QJsonObject& json) {
  return {.entry = EntryId(TextMember(json, "entry")),
          .incarnation = TextMember(json, "incarnation")};
}

QCoro::Task<RetVal<StoredBody>> StoreBody(provider::ObjectStore& objects, std::string body) {
  if (body.size() <= kMaxInlineBodyBytes) co_return StoredBody{.body = std::move(body)};
  StoredBody stored{.object = Sha256Hex(body)};
  Ret written = co_await objects.Put(stored.object, std::move(body));
  if (!written) co_return written;
  co_return stored;
}

QCoro::Task<RetVal<std::string>> LoadBody(provider::ObjectStore& objects, StoredBody stored) {
  if (stored.object.empty()) co_return std::move(stored.body);
  co_return co_await objects.Get(stored.object);
}

requests::Answer MakeAnswer(const WorkResult& result) {
  requests::Answer answer{.outcome = kOutcomeByWorkOutcome[static_cast<size_t>(result.outcome)],
                          .reason = result.reason};
  if (answer.outcome == requests::Outcome::kAnswered) {
    answer.status = result.response.status;
    answer.content_type = http::FindHeader(result.response.headers, "Content-Type");
    answer.body = result.response.body.toStdString();
  }
  return answer;
}

http::Response MakeResponse(const requests::Answer& answer) {
  const ErrorFields& fields = kErrorFieldsByOutcome[static_cast<size_t>(answer.outcome)];
  http::Response response;
  if (answer.outcome == requests::Outcome::kAnswered) {
    response.status = answer.status;
    if (!answer.content_type.empty()) {
      response.headers.push_back({"Content-Type", answer.content_type});
    }
    response.body = QByteArray::fromStdString(answer.body);
  } else {
    response = http::MakeErrorResponse(fields.status, fields.code, answer.reason);
  }
  response.headers.push_back({kOutcomeHeader, std::string(fields.outcome)});
  return response;
}

}  // namespace citronferry::node
