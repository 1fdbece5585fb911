#include "http/tls.h"

#include <QFile>
#include <QSslCertificate>
#include <QSslKey>
#include <array>

namespace citronferry::http {
namespace {

QSslKey ParseKey(const QByteArray& pem) {
  for (const QSsl::KeyAlgorithm algorithm : std::array{QSsl::Rsa, QSsl::Ec}) {
    QSslKey key(pem, algorithm);
    if (!key.isNull()) return key;
  }
  return {};
}

}  // namespace

RetVal<QSslConfiguration> LoadServerTls(const std::string& certificate_file,
                                        const std::string& key_file) {
  const QList<QSslCertificate> chain =
      QSslCertificate::fromPath(QString::fromStdString(certificate_file));
  if (chain.isEmpty()) {
    return Ret(ErrorCode::kInvalidArgument, certificate_file + ": has no PEM certificate");
  }
  QFile file(QString::fromStdString(key_file));
  const QSslKey key = file.open(QIODevice::ReadOnly) ? ParseKey(file.readAll()) : QSslKey();
  if (key.isNull()) {
    return Ret(ErrorCode::kInvalidArgument, key_file + ": has no RSA or EC private key");
  }
  QSslConfiguration configuration;
  configuration.setLocalCertificateChain(chain);
  configuration.setPrivateKey(key);
  configuration.setPeerVerifyMode(QSslSocket::VerifyNone);
  return configuration;
}

}  // namespace citronferry::http
