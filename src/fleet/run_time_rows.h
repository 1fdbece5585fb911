#ifndef CITRONFERRY_FLEET_RUN_TIME_ROWS_H_
#define CITRONFERRY_FLEET_RUN_TIME_ROWS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/ret.h"
#include "decisions/runtimes/run_times.h"
#include "fleet/interfaces/row_store.h"

namespace citronferry::fleet {

// Rows of the table `runtimes`: what the owner of a pool has learned about run times. Each row can
// be read without the others.

inline constexpr const char* kRunTimesTable = "runtimes";
/// Limits of a pool's rows; together 32,000 bytes, which a link of 2 Mbit/s carries in 130 ms.
inline constexpr size_t kMaxRunTimeRows = 4;
inline constexpr size_t kMaxRunTimeRowBytes = 8'000;

/// @param number of the row, below kMaxRunTimeRows.
RowKey RunTimesKey(const PoolName& pool, size_t number);

/// What a row contains.
struct RunTimeRow {
  runtimes::RunTimes::State state;
  int64_t written_unix_ms = 0;  ///< For the log only.
};

/// Encodes the state in rows within the limits. What was used least recently is left out if it does
/// not fit; one row is for executors, of which slow ones go first.
/// @param unix_ms the time of day.
/// @return the values of the rows from number 0 on.
std::vector<std::string> EncodeRunTimes(const runtimes::RunTimes::State& state, int64_t unix_ms);
/// @return the contents of a row, or kInvalidArgument with the reason if it is damaged, too large
///   or of a newer version.
RetVal<RunTimeRow> DecodeRunTimes(std::string_view text);

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_RUN_TIME_ROWS_H_
