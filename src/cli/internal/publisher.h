#ifndef CITRONFERRY_CLI_INTERNAL_PUBLISHER_H_
#define CITRONFERRY_CLI_INTERNAL_PUBLISHER_H_

#include <qcoro/qcorotask.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/ret.h"
#include "provider/provider_module.h"
#include "supervision/timer_service.h"

namespace citronferry::cli {

/// Row config/<environment> of the table service, which names the active document.
struct ConfigurationRow {
  uint64_t version = 0;  ///< 0 if no document has been applied yet.
  std::string digest;    ///< SHA-256 of the document, its key in the object store.
  std::string author;
  uint64_t base = 0;         ///< Version that this one replaced.
  std::string base_digest;   ///< Digest of the replaced version; empty if unknown or none.
  uint64_t row_version = 0;  ///< Version of the row, for conditional writes.
};

/// Request to make a document the active one of an environment.
struct PublishRequest {
  std::string environment;
  std::string text;
  std::string author;
  std::optional<uint64_t> base;  ///< Version that must be active; absent accepts any version.
};

/// A change that was compared with the active document and has not been written yet.
struct PreparedChange {
  PublishRequest request;
  std::string digest;
  ConfigurationRow current;
  std::vector<std::string> changes;  ///< Output of DescribeChanges.
  bool already_active = false;       ///< The same document is active already.
};

/// Publishes documents to the platform: stores the text in the object store and makes it the active
/// document of an environment by a conditional write to the table service.
///
/// All operations can be repeated safely: objects are immutable and stored under their digest, and
/// the row is written on condition that its version is the one that was read.
class Publisher {
 public:
  Publisher(provider::ProviderModule& platform, TimerService& timers)
      : m_platform(platform), m_timers(timers) {}

  /// @return the configuration row of an environment; version 0 if there is none.
  QCoro::Task<RetVal<ConfigurationRow>> ReadRow(std::string environment);
  /// Reads a document from the object store and verifies its digest.
  /// @return the text; kInternal if it does not match the digest.
  QCoro::Task<RetVal<std::string>> ReadDocument(std::string digest);
  /// Compares a document with the active one.
  /// @return the change; kConflict with a description of the concurrent change if the active
  ///   version is not the one that the request expects; kInvalidArgument if the request expects a
  ///   version and no document is active.
  QCoro::Task<RetVal<PreparedChange>> Prepare(PublishRequest request);
  /// Writes a prepared change.
  /// @return the version that is active now; kConflict with a description of the concurrent change
  ///   if the environment has changed since Prepare; kUnavailable if nothing was written;
  ///   kUnknownOutcome if the platform did not confirm whether the change was written.
  QCoro::Task<RetVal<uint64_t>> Commit(PreparedChange change);

 private:
  QCoro::Task<Ret> WriteObject(std::string digest, std::string text);
  QCoro::Task<RetVal<provider::Row>> WriteRow(PreparedChange change);
  /// @param base_digest digest of the earlier document; empty if there is none.
  /// @return one indented line for each difference between two documents in the object store.
  QCoro::Task<std::string> DescribeDifference(std::string base_digest, std::string digest);
  /// @param current the row that was written concurrently.
  /// @param base_digest digest of the document that the concurrent change is compared with.
  /// @param own_digest digest of the document that was to be written.
  /// @return kConflict with a description of the concurrent change.
  QCoro::Task<Ret> MakeConflict(ConfigurationRow current, std::string base_digest,
                                std::string own_digest);

  provider::ProviderModule& m_platform;
  TimerService& m_timers;
};

}  // namespace citronferry::cli

#endif  // CITRONFERRY_CLI_INTERNAL_PUBLISHER_H_
