#include <QJsonDocument>
#include <QJsonObject>

#include "node/configuration/configuration_module.h"
#include "telemetry/log.h"

namespace citronferry::node {
namespace {

constexpr Duration kPollPeriod = 1s;
constexpr char kConfigTable[] = "config";

struct Announcement {
  uint64_t version = 0;
  std::string digest;
};

std::optional<Announcement> ParseAnnouncement(const std::string& value) {
  const QJsonObject row = QJsonDocument::fromJson(QByteArray::fromStdString(value)).object();
  Announcement announcement{
      .version = static_cast<uint64_t>(row.value(QLatin1String("version")).toInteger()),
      .digest = row.value(QLatin1String("digest")).toString().toStdString()};
  if (announcement.version == 0 || announcement.digest.empty()) return std::nullopt;
  return announcement;
}

/// Polls the configuration row and adopts newer versions.
class ConfigurationWatcher : public Service {
 public:
  explicit ConfigurationWatcher(NodeContext& context) : m_context(context) {}

  QCoro::Task<Ret> Run() override {
    while (!m_stop.requested()) {
      co_await PollOnce();
      co_await SleepFor(m_context.timers, kPollPeriod, &m_stop);
    }
    co_return MakeOk();
  }
  void Stop() override { m_stop.Request(); }

 private:
  QCoro::Task<void> PollOnce() {
    platform::RowKey key{.table = kConfigTable, .key = m_context.settings.environment};
    const auto row = co_await m_context.platform.tables().Get(std::move(key));
    if (!row.ok()) co_return;
    const auto announcement = ParseAnnouncement(row->value);
    if (!announcement) {
      Log(LogLevel::kError, "configuration_row_invalid");
      co_return;
    }
    if (announcement->version <= m_context.configuration.Get().version) co_return;
    co_await Adopt(*announcement);
  }

  QCoro::Task<void> Adopt(Announcement announcement) {
    const auto text = co_await m_context.platform.objects().Get(announcement.digest);
    if (!text.ok()) co_return;
    if (Sha256Hex(text.value()) != announcement.digest) {
      Log(LogLevel::kError, "configuration_digest_mismatch", {{"version", announcement.version}});
      co_return;
    }
    document::ParseResult parsed = document::ParseDocument(text.value());
    if (!parsed.problems.empty()) {
      Log(LogLevel::kError, "configuration_invalid",
          {{"version", announcement.version}, {"problem", parsed.problems.front().message}});
      co_return;
    }
    m_context.configuration.Set(
        {.version = announcement.version,
         .digest = announcement.digest,
         .text = text.value(),
         .document = std::make_shared<document::Document>(std::move(parsed.document))});
    Log(LogLevel::kInfo, "configuration_adopted",
        {{"version", announcement.version}, {"digest", announcement.digest}});
  }

  NodeContext& m_context;
  StopSignal m_stop;
};

}  // namespace

ChildSpec ConfigurationModule::MakeChild(NodeContext& context) {
  return {.name = "configuration",
          .factory = [&context] { return std::make_unique<ConfigurationWatcher>(context); }};
}

}  // namespace citronferry::node
