#ifndef CITRONFERRY_HTTP_TLS_H_
#define CITRONFERRY_HTTP_TLS_H_

#include <QSslConfiguration>
#include <string>

#include "base/ret.h"

namespace citronferry::http {

/// Loads the TLS options of a server from PEM files.
/// @param certificate_file the certificate, followed by its chain.
/// @param key_file the private key, RSA or elliptic curve.
/// @return kInvalidArgument when a file cannot be read or the key does not parse.
RetVal<QSslConfiguration> LoadServerTls(const std::string& certificate_file,
                                        const std::string& key_file);

}  // namespace citronferry::http

#endif  // CITRONFERRY_HTTP_TLS_H_
