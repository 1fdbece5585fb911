#include <array>

#include "base/ret.h"

namespace citronferry {

std::string_view ErrorCodeName(ErrorCode code) {
  static constexpr std::array<std::string_view, 12> kNames{"ok",
                                                           "invalid_argument",
                                                           "unauthenticated",
                                                           "permission_denied",
                                                           "not_found",
                                                           "conflict",
                                                           "resource_exhausted",
                                                           "cancelled",
                                                           "deadline_exceeded",
                                                           "unavailable",
                                                           "unknown_outcome",
                                                           "internal"};
  return kNames[static_cast<size_t>(code)];
}

}  // namespace citronferry
