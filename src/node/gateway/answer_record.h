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

/// Largest body that is stored in a table row, in bytes. Larger bodies go to the object store,
/// since each entry reads the changed rows of the change feed every second.
inline constexpr size_t kMaxInlineBodyBytes = 16 * 1024;

/// Response header that carries the outcome of a request, for example "answered" or "not-run".
inline constexpr char kOutcomeHeader[] = "Citronferry-Outcome";

/// @return the string member of a JSON object; empty when it is absent.
std::string TextMember(const QJsonObject& json, const char* name);
/// @return the decoded bytes of a Base64 member of a JSON object; empty when it is absent.
std::string BytesMember(const QJsonObject& json, const char* name);
/// @return the bytes in Base64.
QString ToBase64(std::string_view bytes);

/// @return the JSON form of an answer, as stored in table rows.
QJsonObject EncodeAnswer(const requests::Answer& answer);
/// @return the answer of a stored row; an outcome with an unknown name becomes kUnknown.
requests::Answer DecodeAnswer(const QJsonObject& json);
/// @return the JSON form of a holder, as stored in table rows.
QJsonObject EncodeHolder(const requests::Holder& holder);
requests::Holder DecodeHolder(const QJsonObject& json);

/// A request or response body, held inline or in the object store.
struct StoredBody {
  std::string body;    ///< Empty when the body is in the object store.
  std::string object;  ///< Key in the object store, or empty.
};
/// Writes a body larger than kMaxInlineBodyBytes to the object store, with its SHA-256 as the key.
/// @return the body or its key, or the error of the object store.
QCoro::Task<RetVal<StoredBody>> StoreBody(provider::ObjectStore& objects, std::string body);
/// @return the whole body, fetched from the object store if it is kept there, or the store's error.
QCoro::Task<RetVal<std::string>> LoadBody(provider::ObjectStore& objects, StoredBody stored);

/// @return the answer to record for a work item that has ended.
requests::Answer MakeAnswer(const WorkResult& result);
/// @return the HTTP response that reports an answer with its whole body.
http::Response MakeResponse(const requests::Answer& answer);

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_GATEWAY_ANSWER_RECORD_H_
