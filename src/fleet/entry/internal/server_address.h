#ifndef CITRONFERRY_FLEET_ENTRY_INTERNAL_SERVER_ADDRESS_H_
#define CITRONFERRY_FLEET_ENTRY_INTERNAL_SERVER_ADDRESS_H_

#include <QHostAddress>
#include <string>
#include <string_view>

namespace citronferry::fleet {

/// @param address IP address and port, checked with the settings.
inline QHostAddress HostOf(const std::string& address) {
  return QHostAddress(QString::fromStdString(address.substr(0, address.rfind(':'))));
}

inline quint16 PortOf(const std::string& address) {
  return QByteArray::fromStdString(address.substr(address.rfind(':') + 1)).toUShort();
}

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_ENTRY_INTERNAL_SERVER_ADDRESS_H_
