// Encoding of the rows in the table `quotas`.
#include <utility>

#include "fleet/tables.h"
#include "json/reader.h"

namespace citronferry::fleet {
namespace {

namespace bj = boost::json;

bj::array EncodeResources(const scheduling::Resources& resources) {
  return {resources.cpu_millicores, resources.memory_mb, resources.gpus};
}

scheduling::Resources DecodeResources(json::ObjectReader& reader, std::string_view name) {
  reader.Require(name);
  std::vector<int> amounts = reader.Counts(name);
  constexpr size_t kDimensions = 3;
  if (amounts.size() != kDimensions) {
    reader.Require("three amounts in " + std::string(name));
    amounts.resize(kDimensions);
  }
  return {.cpu_millicores = amounts[0], .memory_mb = amounts[1], .gpus = amounts[2]};
}

}  // namespace

std::string EncodeGrants(const quotas::GrantRow& row) {
  bj::object teams;
  for (const auto& [team, grant] : row.teams) {
    bj::object encoded{{"grant", EncodeResources(grant.granted)}};
    if (grant.is_short) {
      encoded["used"] = EncodeResources(grant.need.used);
      encoded["waiting"] = EncodeResources(grant.need.waiting);
      encoded["unit"] = EncodeResources(grant.need.unit);
    }
    teams[team.str()] = std::move(encoded);
  }
  return bj::serialize(bj::object{{"epoch", row.epoch}, {"teams", std::move(teams)}});
}

RetVal<quotas::GrantRow> DecodeGrants(std::string_view text) {
  const auto value = json::Parse(text);
  if (!value.ok()) return value.ret();
  json::ObjectReader reader(value.value());
  reader.Require("epoch");
  quotas::GrantRow row{.epoch = reader.Integer("epoch")};
  const bj::value* teams = reader.Find("teams");
  if (!reader.ok()) return reader.ret();
  if (!teams || !teams->is_object()) {
    return Ret(ErrorCode::kInvalidArgument, "the row has no teams");
  }
  for (const auto& [name, item] : teams->get_object()) {
    json::ObjectReader team(item);
    quotas::TeamGrant grant{.granted = DecodeResources(team, "grant"),
                            .is_short = team.Has("waiting")};
    if (grant.is_short) {
      grant.need = {.used = DecodeResources(team, "used"),
                    .waiting = DecodeResources(team, "waiting"),
                    .unit = DecodeResources(team, "unit")};
    }
    if (!team.ok()) return team.ret();
    row.teams.emplace(std::string_view(name.data(), name.size()), grant);
  }
  return row;
}

}  // namespace citronferry::fleet
