#ifndef CITRONFERRY_HTTP_INTERNAL_ONE_TIME_BODY_H_
#define CITRONFERRY_HTTP_INTERNAL_ONE_TIME_BODY_H_

#include <QByteArray>
#include <QIODevice>
#include <algorithm>
#include <cstring>

namespace citronferry::http {

/// Request body that can be read once. QNetworkAccessManager repeats a request by itself when the
/// peer closes the connection before it answers, unless the body can not be rewound.
class OneTimeBody : public QIODevice {
 public:
  explicit OneTimeBody(QByteArray data) : m_data(std::move(data)) { open(QIODevice::ReadOnly); }

  bool isSequential() const override { return true; }
  bool atEnd() const override { return m_position >= m_data.size(); }
  bool reset() override { return false; }
  bool seek(qint64) override { return false; }
  qint64 bytesAvailable() const override {
    return m_data.size() - m_position + QIODevice::bytesAvailable();
  }

 protected:
  qint64 readData(char* out, qint64 max_size) override {
    const qint64 size = std::min<qint64>(max_size, m_data.size() - m_position);
    if (size <= 0) return -1;
    std::memcpy(out, m_data.constData() + m_position, static_cast<size_t>(size));
    m_position += size;
    return size;
  }
  qint64 writeData(const char*, qint64) override { return -1; }

 private:
  QByteArray m_data;
  qint64 m_position = 0;
};

}  // namespace citronferry::http

#endif  // CITRONFERRY_HTTP_INTERNAL_ONE_TIME_BODY_H_
