#include "node/membership/internal/roster_row.h"

#include <QJsonDocument>
#include <QJsonObject>

#include "node/qt_text.h"

namespace citronferry::node {

std::string EncodeRosterRow(const RosterEntry& entry) {
  QJsonObject in_flight;
  for (const auto& [instance, count] : entry.in_flight) {
    in_flight.insert(ToQString(instance.view()), count);
  }
  const QJsonObject json{
      {QStringLiteral("incarnation"), ToQString(entry.incarnation)},
      {QStringLiteral("peer_address"), ToQString(entry.peer_address)},
      {QStringLiteral("peer_public_key"), ToQString(entry.peer_public_key)},
      {QStringLiteral("data_centre"), ToQString(entry.data_centre.view())},
      {QStringLiteral("acknowledged_sequence"), static_cast<qint64>(entry.acknowledged_sequence)},
      {QStringLiteral("configuration_version"), static_cast<qint64>(entry.configuration_version)},
      {QStringLiteral("in_flight"), in_flight}};
  return QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
}

RosterEntry DecodeRosterRow(std::string_view key, std::string_view value) {
  const QJsonObject json =
      QJsonDocument::fromJson(QByteArray(value.data(), static_cast<qsizetype>(value.size())))
          .object();
  const auto text = [&json](const char* name) {
    return json.value(QLatin1String(name)).toString().toStdString();
  };
  const auto number = [&json](const char* name) {
    return static_cast<uint64_t>(std::max<qint64>(0, json.value(QLatin1String(name)).toInteger()));
  };
  RosterEntry entry{.id = EntryId(key),
                    .incarnation = text("incarnation"),
                    .peer_address = text("peer_address"),
                    .data_centre = DataCentreName(text("data_centre")),
                    .acknowledged_sequence = number("acknowledged_sequence"),
                    .configuration_version = number("configuration_version"),
                    .peer_public_key = text("peer_public_key")};
  const QJsonObject in_flight = json.value(QLatin1String("in_flight")).toObject();
  for (auto item = in_flight.begin(); item != in_flight.end(); ++item) {
    entry.in_flight[InstanceId(item.key().toStdString())] = item.value().toInt();
  }
  return entry;
}

}  // namespace citronferry::node
