#ifndef CITRONFERRY_PLATFORM_INTERNAL_HTTP_TABLE_SERVICE_H_
#define CITRONFERRY_PLATFORM_INTERNAL_HTTP_TABLE_SERVICE_H_

#include "platform/internal/platform_call.h"
#include "platform/table_service.h"

namespace citronferry::platform {

/// Table service over HTTP with conditional writes (ETag, If-Match, If-None-Match).
class HttpTableService : public TableService {
 public:
  explicit HttpTableService(PlatformCaller caller) : m_caller(caller) {}

  QCoro::Task<RetVal<Row>> Get(RowKey key) override;
  QCoro::Task<RetVal<Row>> Create(RowKey key, std::string value) override;
  QCoro::Task<RetVal<Row>> Update(RowKey key, std::string value,
                                  uint64_t expected_version) override;
  QCoro::Task<Ret> Delete(RowKey key, uint64_t expected_version) override;
  QCoro::Task<RetVal<ChangeBatch>> Changes(std::string table, uint64_t after) override;

 private:
  QCoro::Task<RetVal<Row>> Write(RowKey key, std::string value, http::Header condition);

  PlatformCaller m_caller;
};

}  // namespace citronferry::platform

#endif  // CITRONFERRY_PLATFORM_INTERNAL_HTTP_TABLE_SERVICE_H_
