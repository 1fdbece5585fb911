#ifndef CITRONFERRY_PLATFORM_INTERNAL_ROW_STORE_H_
#define CITRONFERRY_PLATFORM_INTERNAL_ROW_STORE_H_

#include <string>
#include <vector>

#include "fleet/interfaces/row_store.h"
#include "http/client.h"

namespace citronferry::platform {

/// HTTP client of the platform's row store.
class HttpRowStore : public fleet::RowStore {
 public:
  HttpRowStore(http::Client& client, std::string address)
      : m_client(client), m_url("http://" + address) {}

  QCoro::Task<RetVal<fleet::RowRange>> Read(std::string table, std::string partition,
                                            std::string from, std::string to) override;
  QCoro::Task<fleet::TransactionResult> Transact(fleet::Transaction transaction,
                                                 Duration timeout) override;
  QCoro::Task<RetVal<fleet::RowChanges>> Follow(std::string table, int64_t after,
                                                Duration wait) override;

 private:
  QCoro::Task<RetVal<http::Response>> Get(std::string path_and_query, Duration timeout,
                                          std::string_view kind);

  http::Client& m_client;
  std::string m_url;
};

}  // namespace citronferry::platform

#endif  // CITRONFERRY_PLATFORM_INTERNAL_ROW_STORE_H_
