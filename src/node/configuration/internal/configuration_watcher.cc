#include <QJsonDocument>
#include <QJsonObject>
#include <array>

#include "decisions/rollout/configuration_tracker.h"
#include "node/configuration/configuration_module.h"
#include "supervision/task_scope.h"
#include "telemetry/log.h"

namespace citronferry::node {
namespace {

using rollout::ConfigurationId;

constexpr Duration kPollPeriod = 1s;
// Longer than a platform call followed by a fetch from peers, each of which ends within 1 s to 2 s.
constexpr Duration kJoinTimeout = 5s;
constexpr char kConfigTable[] = "config";

/// @return the configuration that a row of the table names, or nothing if the row is invalid.
std::optional<ConfigurationId> ParseRow(const std::string& value) {
  const QJsonObject row = QJsonDocument::fromJson(QByteArray::fromStdString(value)).object();
  ConfigurationId id{
      .version = static_cast<uint64_t>(row.value(QLatin1String("version")).toInteger()),
      .digest = row.value(QLatin1String("digest")).toString().toStdString()};
  if (id.version == 0 || id.digest.empty()) return std::nullopt;
  return id;
}

/// Polls the table service and listens to the announcements of peers for newer configurations, then
/// fetches, validates and activates them.
class ConfigurationWatcher : public Service {
 public:
  explicit ConfigurationWatcher(NodeContext& context)
      : m_context(context),
        m_tracker({.version = context.configuration.Get().version,
                   .digest = context.configuration.Get().digest}),
        m_version(context.metrics.Gauge("citronferry_configuration_version",
                                        "Version of the configuration in force.")),
        m_stale(context.metrics.Counter("citronferry_configuration_stale_total",
                                        "Older versions that were named and ignored.")),
        m_conflicts(context.metrics.Counter("citronferry_configuration_conflicts_total",
                                            "Versions that were named with two digests.")),
        m_invalid(context.metrics.Counter("citronferry_configuration_invalid_total",
                                          "Documents that were refused as not valid.")) {}

  QCoro::Task<Ret> Run() override {
    Subscription announced =
        m_context.peer_configuration.Subscribe([this](const PeerConfiguration& c) {
          Handle(rollout::VersionSeen{.id = {.version = c.version, .digest = c.digest},
                                      .peer = c.peer});
        });
    while (!m_stop.requested()) {
      co_await PollOnce();
      co_await SleepFor(m_context.timers, kPollPeriod, &m_stop);
    }
    announced = {};
    co_return co_await m_tasks.Join(m_context.timers, kJoinTimeout);
  }
  void Stop() override { m_stop.Request(); }

 private:
  QCoro::Task<void> PollOnce() {
    provider::RowKey key{.table = kConfigTable, .key = m_context.settings.environment};
    const auto row = co_await m_context.platform.tables().Get(std::move(key));
    if (row.ok() || row.code() == ErrorCode::kNotFound) {
      m_context.last_store_response = m_context.timers.Now();
    }
    if (!row.ok()) co_return;
    const auto id = ParseRow(row->value);
    if (!id) {
      Log(LogLevel::kError, "configuration_row_invalid");
      co_return;
    }
    Handle(rollout::VersionSeen{.id = *id});
  }

  void Handle(const rollout::Event& event) {
    using Handler = void (ConfigurationWatcher::*)(const rollout::Action&);
    // Indexed by the alternatives of rollout::Action.
    static constexpr std::array<Handler, std::variant_size_v<rollout::Action>> kHandlers{
        &ConfigurationWatcher::Fetch, &ConfigurationWatcher::Adopt,
        &ConfigurationWatcher::ReportConflict, &ConfigurationWatcher::ReportStale,
        &ConfigurationWatcher::ReportInvalid};
    for (const rollout::Action& action : m_tracker.Handle(event, m_context.timers.Now())) {
      (this->*kHandlers[action.index()])(action);
    }
  }

  void Fetch(const rollout::Action& action) {
    if (m_stop.requested()) return;
    m_tasks.Spawn([this, fetch = std::get<rollout::FetchDocument>(action)]() -> QCoro::Task<void> {
      return FetchAndCheck(fetch.id, fetch.peer);
    });
  }

  QCoro::Task<void> FetchAndCheck(ConfigurationId id, EntryId peer) {
    const std::optional<std::string> text = co_await FetchText(id, peer);
    if (!text) {
      m_context.configuration_problem = "version " + std::to_string(id.version) +
                                        " could not be fetched from the object store or a peer";
      Log(LogLevel::kWarning, "configuration_unavailable", {{"version", id.version}});
      Handle(rollout::DocumentUnavailable{id});
      co_return;
    }
    document::ParseResult parsed = document::ParseDocument(*text);
    if (!parsed.problems.empty()) {
      m_invalid_reason = parsed.problems.front().key + " " + parsed.problems.front().message;
      Handle(rollout::DocumentInvalid{id});
      co_return;
    }
    if (!document::AllowsEnvironment(parsed.document, m_context.settings.environment)) {
      m_invalid_reason =
          "the document is not meant for environment " + m_context.settings.environment;
      Handle(rollout::DocumentInvalid{id});
      co_return;
    }
    m_fetched = {.version = id.version,
                 .digest = id.digest,
                 .text = *text,
                 .document = std::make_shared<document::Document>(std::move(parsed.document))};
    Handle(rollout::DocumentReady{id});
  }

  /// Fetches a document from the object store or, if that fails, from a peer.
  /// @return a text with the digest of `id`, or nothing.
  QCoro::Task<std::optional<std::string>> FetchText(ConfigurationId id, EntryId peer) {
    const auto stored = co_await m_context.platform.objects().Get(id.digest);
    if (stored.ok()) {
      if (Sha256Hex(stored.value()) == id.digest) co_return stored.value();
      Log(LogLevel::kError, "configuration_digest_mismatch", {{"version", id.version}});
    }
    if (!m_context.fetch_document || m_stop.requested()) co_return std::nullopt;
    const auto fetched = co_await m_context.fetch_document(id.digest, peer);
    if (!fetched.ok()) co_return std::nullopt;
    co_return fetched.value();
  }

  void Adopt(const rollout::Action& action) {
    const ConfigurationId& id = std::get<rollout::AdoptDocument>(action).id;
    m_context.configuration_problem.clear();
    m_version.Set(static_cast<double>(id.version));
    Log(LogLevel::kInfo, "configuration_adopted", {{"version", id.version}, {"digest", id.digest}});
    m_context.configuration.Set(std::move(m_fetched));
  }

  void ReportConflict(const rollout::Action& action) {
    const auto& conflict = std::get<rollout::ReportConflict>(action);
    m_conflicts.Increment();
    if (!conflict.first) return;
    Log(LogLevel::kError, "configuration_conflict",
        {{"version", conflict.known.version},
         {"digest", conflict.known.digest},
         {"refused_digest", conflict.refused.digest}});
  }

  void ReportStale(const rollout::Action& action) {
    const auto& stale = std::get<rollout::ReportStale>(action);
    m_stale.Increment();
    if (!stale.first) return;
    Log(LogLevel::kWarning, "configuration_stale",
        {{"version", stale.id.version}, {"held", m_tracker.active_id().version}});
  }

  void ReportInvalid(const rollout::Action& action) {
    const ConfigurationId& id = std::get<rollout::ReportInvalid>(action).id;
    m_invalid.Increment();
    m_context.configuration_problem =
        "version " + std::to_string(id.version) + " is not valid: " + m_invalid_reason;
    Log(LogLevel::kError, "configuration_invalid",
        {{"version", id.version}, {"problem", m_invalid_reason}});
  }

  NodeContext& m_context;
  rollout::ConfigurationTracker m_tracker;
  prometheus::Gauge& m_version;
  prometheus::Counter& m_stale;
  prometheus::Counter& m_conflicts;
  prometheus::Counter& m_invalid;
  ActiveConfiguration m_fetched;
  std::string m_invalid_reason;
  StopSignal m_stop;
  TaskScope m_tasks;
};

}  // namespace

ChildSpec ConfigurationModule::MakeChild(NodeContext& context) {
  return {.name = "configuration",
          .factory = [&context] { return std::make_unique<ConfigurationWatcher>(context); }};
}

}  // namespace citronferry::node
