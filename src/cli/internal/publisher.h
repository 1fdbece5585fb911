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

/// Row config/<environment> of the table service.
struct ConfigurationRow {
  uint64_t version = 0;  ///< 0 when nothing was ever applied.
  std::string digest;    ///< SHA-256 of the document, which is its key in the object store.
  std::string author;
  uint64_t base = 0;         ///< Version that the author changed.
  std::string base_digest;   ///< Digest of that version; empty when it is not known.
  uint64_t row_version = 0;  ///< Version of the row itself, for conditional writes.
};

/// A document that is to be put in force.
struct PublishRequest {
  std::string environment;
  std::string text;
  std::string author;
  std::optional<uint64_t> base;  ///< Version that must be in force; absent accepts the current one.
};

/// A change that was compared with what is in force, and was not written yet.
struct PreparedChange {
  PublishRequest request;
  std::string digest;
  ConfigurationRow current;
  std::vector<std::string> changes;  ///< The difference in words.
  bool in_force = false;             ///< The same document is in force already.
};

/// Puts documents in force through the platform's object store and table service.
///
/// Every operation may be repeated: the object is immutable under its digest, and the row is
/// written with a condition on the version that was read.
class Publisher {
 public:
  Publisher(provider::ProviderModule& platform, TimerService& timers)
      : m_platform(platform), m_timers(timers) {}

  /// @return what is in force in an environment; version 0 when there is nothing.
  QCoro::Task<RetVal<ConfigurationRow>> ReadRow(std::string environment);
  /// @return the document with a digest, which the text was checked against.
  QCoro::Task<RetVal<std::string>> ReadText(std::string digest);
  /// Compares a document with the one in force.
  /// @return kConflict, with the change that got in between, when another version is in force than
  ///   the request expects.
  QCoro::Task<RetVal<PreparedChange>> Prepare(PublishRequest request);
  /// Writes a prepared change.
  /// @return the version that is in force; kConflict, with the change that got in between, when the
  ///   environment has changed since Prepare; kUnavailable when nothing was written;
  ///   kUnknownOutcome when the platform did not say.
  QCoro::Task<RetVal<uint64_t>> Commit(PreparedChange change);

 private:
  QCoro::Task<Ret> WriteObject(std::string digest, std::string text);
  QCoro::Task<RetVal<provider::Row>> WriteRow(PreparedChange change);
  QCoro::Task<std::string> DescribeDifference(std::string base_digest, std::string digest);
  QCoro::Task<Ret> MakeConflict(ConfigurationRow current, std::string base_digest,
                                std::string own_digest);

  provider::ProviderModule& m_platform;
  TimerService& m_timers;
};

}  // namespace citronferry::cli

#endif  // CITRONFERRY_CLI_INTERNAL_PUBLISHER_H_
