#ifndef CITRONFERRY_PLATFORM_INTERNAL_ANNOUNCEMENTS_H_
#define CITRONFERRY_PLATFORM_INTERNAL_ANNOUNCEMENTS_H_

#include <string_view>

#include "fleet/interfaces/announcements.h"
#include "fleet/interfaces/row_store.h"

namespace citronferry::platform {

/// Decodes the configuration that operators publish.
RetVal<fleet::Configuration> DecodeConfiguration(std::string_view text);
/// Decodes the announcement of a maintenance wave.
RetVal<fleet::MaintenanceWave> DecodeWave(std::string_view text);
/// Decodes an executor's registration.
/// @param id the key of the row; the value does not contain it.
RetVal<scheduling::ExecutorDescription> DecodeExecutor(std::string_view id, std::string_view text);

/// Reads the configuration, maintenance waves and executor registrations that operators and
/// executors keep in the row store, and publishes the progress of waves.
class StoreAnnouncements : public fleet::Announcements {
 public:
  explicit StoreAnnouncements(fleet::RowStore& rows) : m_rows(rows) {}

  QCoro::Task<RetVal<fleet::OperatorChanges>> ReadOperator() override;
  QCoro::Task<RetVal<fleet::OperatorChanges>> FollowOperator(int64_t after, Duration wait) override;
  QCoro::Task<RetVal<fleet::RegistryChanges>> ReadRegistry() override;
  QCoro::Task<RetVal<fleet::RegistryChanges>> FollowRegistry(int64_t after, Duration wait) override;
  QCoro::Task<Ret> PublishWave(int64_t number, bool completed) override;

 private:
  fleet::RowStore& m_rows;
};

}  // namespace citronferry::platform

#endif  // CITRONFERRY_PLATFORM_INTERNAL_ANNOUNCEMENTS_H_
