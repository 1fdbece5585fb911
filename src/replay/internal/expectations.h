#ifndef CITRONFERRY_REPLAY_INTERNAL_EXPECTATIONS_H_
#define CITRONFERRY_REPLAY_INTERNAL_EXPECTATIONS_H_

#include "replay/internal/dispatch_record.h"
#include "replay/replay.h"
#include "replay/trace.h"

namespace citronferry::replay {

/// Compares one expectation with the record of a replay.
ExpectationResult CheckExpectation(const TraceLine& line, const DispatchRecord& record);

}  // namespace citronferry::replay

#endif  // CITRONFERRY_REPLAY_INTERNAL_EXPECTATIONS_H_
