#include "node/planner/ownership_codec.h"

#include <algorithm>
#include <array>

#include "node/planner/internal/json.h"

namespace citronferry::node {
namespace {

// Indexed by ownership::RowState.
constexpr std::array<std::string_view, 3> kStates{"serving", "draining", "detached"};

}  // namespace

std::string EncodeInstanceRow(const ownership::InstanceRow& row) {
  return ToCompactJson(
      {{QStringLiteral("pool"), ToQString(row.pool.view())},
       {QStringLiteral("state"), ToQString(kStates[static_cast<size_t>(row.state)])},
       {QStringLiteral("target"), ToQString(row.target.view())},
       {QStringLiteral("epoch"), static_cast<qint64>(row.epoch)},
       {QStringLiteral("home"), ToQString(row.home.view())},
       {QStringLiteral("document"), static_cast<qint64>(row.document)}});
}

std::optional<ownership::InstanceRow> DecodeInstanceRow(std::string_view text) {
  const auto json = ParseJsonObject(text);
  if (!json) return std::nullopt;
  const auto* const state = std::find(kStates.begin(), kStates.end(), GetString(*json, "state"));
  ownership::InstanceRow row{.pool = PoolName(GetString(*json, "pool")),
                             .target = PoolName(GetString(*json, "target")),
                             .epoch = GetNumber(*json, "epoch"),
                             .home = PoolName(GetString(*json, "home")),
                             .document = GetNumber(*json, "document")};
  if (state == kStates.end() || row.pool.empty()) return std::nullopt;
  row.state = static_cast<ownership::RowState>(state - kStates.begin());
  if (row.state != ownership::RowState::kServing && row.target.empty()) return std::nullopt;
  return row;
}

}  // namespace citronferry::node
