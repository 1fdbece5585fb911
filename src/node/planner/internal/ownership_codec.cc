#include "node/planner/ownership_codec.h"

#include <algorithm>
#include <array>

#include "node/planner/internal/json.h"

namespace citronferry::node {
namespace {

// In the order of ownership::RowState.
constexpr std::array<std::string_view, 3> kStates{"serving", "draining", "detached"};

}  // namespace

std::string EncodeInstanceRow(const ownership::InstanceRow& row) {
  return ToText({{QStringLiteral("pool"), ToQString(row.pool.view())},
                 {QStringLiteral("state"), ToQString(kStates[static_cast<size_t>(row.state)])},
                 {QStringLiteral("target"), ToQString(row.target.view())},
                 {QStringLiteral("epoch"), static_cast<qint64>(row.epoch)},
                 {QStringLiteral("home"), ToQString(row.home.view())},
                 {QStringLiteral("document"), static_cast<qint64>(row.document)}});
}

std::optional<ownership::InstanceRow> DecodeInstanceRow(std::string_view text) {
  const auto json = ParseObject(text);
  if (!json) return std::nullopt;
  const auto* const state = std::find(kStates.begin(), kStates.end(), StringOf(*json, "state"));
  ownership::InstanceRow row{.pool = PoolName(StringOf(*json, "pool")),
                             .target = PoolName(StringOf(*json, "target")),
                             .epoch = NumberOf(*json, "epoch"),
                             .home = PoolName(StringOf(*json, "home")),
                             .document = NumberOf(*json, "document")};
  if (state == kStates.end() || row.pool.empty()) return std::nullopt;
  row.state = static_cast<ownership::RowState>(state - kStates.begin());
  if (row.state != ownership::RowState::kServing && row.target.empty()) return std::nullopt;
  return row;
}

}  // namespace citronferry::node
