#include <QJsonDocument>
#include <QJsonObject>
#include <map>

#include "node/membership/membership_module.h"
#include "telemetry/log.h"

namespace citronferry::node {
namespace {

constexpr Duration kPollPeriod = 1s;
constexpr char kEntriesTable[] = "entries";

QString ToQString(std::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

std::string EncodeEntry(const RosterEntry& entry) {
  const QJsonObject json{{QStringLiteral("incarnation"), ToQString(entry.incarnation)},
                         {QStringLiteral("peer_address"), ToQString(entry.peer_address)},
                         {QStringLiteral("data_centre"), ToQString(entry.data_centre.view())}};
  return QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
}

RosterEntry DecodeEntry(const platform::Row& row) {
  const QJsonObject json = QJsonDocument::fromJson(QByteArray::fromStdString(row.value)).object();
  const auto text = [&json](const char* key) {
    return json.value(QLatin1String(key)).toString().toStdString();
  };
  return {.id = EntryId(row.key),
          .incarnation = text("incarnation"),
          .peer_address = text("peer_address"),
          .data_centre = DataCentreName(text("data_centre"))};
}

/// Writes this entry's row and reads those of the others.
class RosterService : public Service {
 public:
  explicit RosterService(NodeContext& context) : m_context(context) {}

  QCoro::Task<Ret> Run() override {
    while (!m_stop.requested()) {
      if (!m_registered) co_await Register();
      co_await Poll();
      co_await SleepFor(m_context.timers, kPollPeriod, &m_stop);
    }
    co_return MakeOk();
  }
  void Stop() override { m_stop.Request(); }

 private:
  QCoro::Task<void> Register() {
    const document::Endpoint& peer = m_context.settings.peer_listener;
    const RosterEntry self{.id = m_context.settings.id,
                           .incarnation = m_context.incarnation,
                           .peer_address = peer.address + ":" + std::to_string(peer.port),
                           .data_centre = m_context.settings.data_centre};
    const platform::RowKey key{.table = kEntriesTable, .key = self.id.str()};
    const auto current = co_await m_context.platform.tables().Get(key);
    if (!current.ok() && current.code() != ErrorCode::kNotFound) co_return;
    RetVal<platform::Row> written = current;
    if (current.ok()) {
      written =
          co_await m_context.platform.tables().Update(key, EncodeEntry(self), current->version);
    } else {
      written = co_await m_context.platform.tables().Create(key, EncodeEntry(self));
    }
    m_registered = written.ok();
    if (m_registered) Log(LogLevel::kInfo, "entry_registered", {{"entry", self.id.view()}});
  }

  QCoro::Task<void> Poll() {
    const auto changes = co_await m_context.platform.tables().Changes(kEntriesTable, m_sequence);
    if (!changes.ok() || changes->rows.empty()) co_return;
    for (const platform::Row& row : changes->rows) {
      if (row.deleted) {
        m_entries.erase(EntryId(row.key));
      } else {
        m_entries[EntryId(row.key)] = DecodeEntry(row);
      }
    }
    m_sequence = changes->last_sequence;
    RosterView view;
    for (const auto& [id, entry] : m_entries) view.entries.push_back(entry);
    m_context.roster.Set(std::move(view));
  }

  NodeContext& m_context;
  StopSignal m_stop;
  bool m_registered = false;
  uint64_t m_sequence = 0;
  std::map<EntryId, RosterEntry> m_entries;
};

}  // namespace

ChildSpec MembershipModule::MakeChild(NodeContext& context) {
  return {.name = "membership",
          .factory = [&context] { return std::make_unique<RosterService>(context); }};
}

}  // namespace citronferry::node
