#include "node/planner/internal/row_codec.h"

#include <QJsonArray>
#include <algorithm>
#include <array>

#include "node/planner/internal/json.h"

namespace citronferry::node {
namespace {

// Indexed by maintenance::OutOfServiceReason.
constexpr std::array<std::string_view, 3> kReasons{"wave", "move", "failed"};

QJsonArray EncodeIds(const std::vector<InstanceId>& ids) {
  QJsonArray array;
  for (const InstanceId& id : ids) array.append(ToQString(id.view()));
  return array;
}

std::vector<InstanceId> DecodeIds(const QJsonValue& value) {
  std::vector<InstanceId> ids;
  for (const auto& item : value.toArray()) ids.emplace_back(item.toString().toStdString());
  return ids;
}

QJsonObject EncodeOutage(const maintenance::OutOfServiceInstance& out) {
  return {{QStringLiteral("instance"), ToQString(out.instance.view())},
          {QStringLiteral("reason"), ToQString(kReasons[static_cast<size_t>(out.reason)])},
          {QStringLiteral("target"), ToQString(out.target.view())},
          {QStringLiteral("row_version"), static_cast<qint64>(out.row_version)},
          {QStringLiteral("generation"), out.generation},
          {QStringLiteral("since"), static_cast<qint64>(out.since)}};
}

maintenance::OutOfServiceInstance DecodeOutage(const QJsonObject& json) {
  const auto* const reason = std::find(kReasons.begin(), kReasons.end(), GetString(json, "reason"));
  // An unknown reason is read as kFailed.
  const auto index = std::min<size_t>(static_cast<size_t>(reason - kReasons.begin()), 2);
  return {.instance = InstanceId(GetString(json, "instance")),
          .reason = static_cast<maintenance::OutOfServiceReason>(index),
          .target = PoolName(GetString(json, "target")),
          .row_version = GetNumber(json, "row_version"),
          .generation = json.value(QLatin1String("generation")).toInt(),
          .since = json.value(QLatin1String("since")).toInteger()};
}

}  // namespace

std::string EncodeLeaseRow(const leadership::LeaseRow& row) {
  return ToCompactJson({{QStringLiteral("holder"), ToQString(row.holder)},
                        {QStringLiteral("epoch"), static_cast<qint64>(row.epoch)},
                        {QStringLiteral("renewed"), static_cast<qint64>(row.write_number)}});
}

leadership::LeaseRow DecodeLeaseRow(std::string_view text) {
  const QJsonObject json = ParseJsonObject(text).value_or(QJsonObject());
  return {.holder = GetString(json, "holder"),
          .epoch = GetNumber(json, "epoch"),
          .write_number = GetNumber(json, "renewed")};
}

std::string EncodePoolRow(const maintenance::PoolRow& row) {
  QJsonArray out;
  for (const maintenance::OutOfServiceInstance& entry : row.out) out.append(EncodeOutage(entry));
  QJsonObject completed;
  for (const auto& [wave, generation] : row.completed) completed[ToQString(wave)] = generation;
  QJsonObject completed_at;
  for (const auto& [wave, seconds] : row.completed_at) {
    completed_at[ToQString(wave)] = static_cast<qint64>(seconds);
  }
  return ToCompactJson({{QStringLiteral("epoch"), static_cast<qint64>(row.epoch)},
                        {QStringLiteral("document"), static_cast<qint64>(row.document)},
                        {QStringLiteral("out"), out},
                        {QStringLiteral("wave"), ToQString(row.wave)},
                        {QStringLiteral("generation"), row.generation},
                        {QStringLiteral("done"), EncodeIds(row.done)},
                        {QStringLiteral("previous"), EncodeIds(row.previous)},
                        {QStringLiteral("completed"), completed},
                        {QStringLiteral("completed_at"), completed_at}});
}

std::optional<maintenance::PoolRow> DecodePoolRow(std::string_view text) {
  const auto json = ParseJsonObject(text);
  if (!json) return std::nullopt;
  maintenance::PoolRow row{.epoch = GetNumber(*json, "epoch"),
                           .document = GetNumber(*json, "document"),
                           .wave = GetString(*json, "wave"),
                           .generation = json->value(QLatin1String("generation")).toInt(),
                           .done = DecodeIds(json->value(QLatin1String("done"))),
                           .previous = DecodeIds(json->value(QLatin1String("previous")))};
  for (const auto& item : json->value(QLatin1String("out")).toArray()) {
    row.out.push_back(DecodeOutage(item.toObject()));
  }
  const QJsonObject completed = json->value(QLatin1String("completed")).toObject();
  for (auto wave = completed.begin(); wave != completed.end(); ++wave) {
    row.completed[wave.key().toStdString()] = wave.value().toInt();
  }
  const QJsonObject completed_at = json->value(QLatin1String("completed_at")).toObject();
  for (auto wave = completed_at.begin(); wave != completed_at.end(); ++wave) {
    row.completed_at[wave.key().toStdString()] = wave.value().toInteger();
  }
  return row;
}

ownership::EntryReport DecodeEntryReport(const provider::Row& row) {
  const QJsonObject json = ParseJsonObject(row.value).value_or(QJsonObject());
  ownership::EntryReport report{.id = EntryId(row.key),
                                .version = row.version,
                                .acknowledged_sequence = GetNumber(json, "acknowledged_sequence")};
  const QJsonObject in_flight = json.value(QLatin1String("in_flight")).toObject();
  for (auto item = in_flight.begin(); item != in_flight.end(); ++item) {
    report.in_flight[InstanceId(item.key().toStdString())] = item.value().toInt();
  }
  return report;
}

}  // namespace citronferry::node
