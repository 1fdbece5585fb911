#ifndef CITRONFERRY_NODE_GATEWAY_ANSWER_RECORD_H_
#define CITRONFERRY_NODE_GATEWAY_ANSWER_RECORD_H_

#include <qcoro/qcorotask.h>

#include <QJsonObject>
#include <string>
#include <string_view>

#include "decisions/requests/types.h"
#include "http/message.h"
#include "node/gateway/work_runner.h"
#include "node/qt_text.h"
#include "provider/object_store.h"

namespace citronferry::node {

/// Larger bodies go to the object store; entries read rows of the change feed every second.
inline constexpr size_t kMaxInlineBodyBytes = 16 * 1024;

inline constexpr char kOutcomeHeader[] = "Citronferry-Outcome";

/// @return the text of a member; empty when it is absent.
std::string TextMember(const QJsonObject& json, const char* name);
/// @return the bytes of a Base64 member.
std::string BytesMember(const QJsonObject& json, const char* name);
QString ToBase64(std::string_view bytes);

QJsonObject EncodeAnswer(const requests::Answer& answer);
requests::Answer DecodeAnswer(const QJsonObject& json);
QJsonObject EncodeHolder(const requests::Holder& holder);
requests::Holder DecodeHolder(const QJsonObject& json);

/// A body and where it is kept.
struct StoredBody {
  std::string body;    ///< Empty when the body is in the object store.
  std::string object;  ///< Key in the object store, or empty.
};
/// Writes a large body to the object store, under its digest.
QCoro::Task<RetVal<StoredBody>> StoreBody(provider::ObjectStore& objects, std::string body);
/// @return the whole body.
QCoro::Task<RetVal<std::string>> LoadBody(provider::ObjectStore& objects, StoredBody stored);

/// @return the answer to record for work that has ended.
requests::Answer MakeAnswer(const WorkResult& result);
/// @return the HTTP response that reports an answer with its whole body.
http::Response MakeResponse(const requests::Answer& answer);

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_GATEWAY_ANSWER_RECORD_H_
