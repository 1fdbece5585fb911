#ifndef CITRONFERRY_PROVIDER_INTERNAL_HTTP_TABLE_SERVICE_H_
#define CITRONFERRY_PROVIDER_INTERNAL_HTTP_TABLE_SERVICE_H_

#include "provider/internal/provider_client.h"
#include "provider/table_service.h"

namespace citronferry::provider {

/// Table service over HTTP with conditional writes (ETag, If-Match, If-None-Match).
class HttpTableService : public TableService {
 public:
  explicit HttpTableService(ProviderClient client) : m_client(client) {}

  QCoro::Task<RetVal<Row>> Get(RowKey key) override;
  QCoro::Task<RetVal<Row>> Create(RowKey key, std::string value) override;
  QCoro::Task<RetVal<Row>> Update(RowKey key, std::string value,
                                  uint64_t expected_version) override;
  QCoro::Task<Ret> Delete(RowKey key, uint64_t expected_version) override;
  QCoro::Task<RetVal<ChangeBatch>> Changes(std::string table, uint64_t after) override;

 private:
  QCoro::Task<RetVal<Row>> Write(RowKey key, std::string value, http::Header condition);

  ProviderClient m_client;
};

}  // namespace citronferry::provider

#endif  // CITRONFERRY_PROVIDER_INTERNAL_HTTP_TABLE_SERVICE_H_
