#include "replay/internal/dispatch_record.h"

#include <array>
#include <string_view>

namespace citronferry::replay {

std::string VerdictName(dispatch::Verdict verdict) {
  static constexpr std::array<std::string_view, 4> kNames{"answered", "not_run", "unknown",
                                                          "failed"};
  return std::string(kNames[static_cast<size_t>(verdict)]);
}

}  // namespace citronferry::replay
