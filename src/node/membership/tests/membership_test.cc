#include <gtest/gtest.h>

#include <QJsonObject>

#include "http/server.h"
#include "node/configuration/configuration_module.h"
#include "node/membership/internal/peer_service.h"
#include "node/membership/internal/roster_row.h"
#include "node/membership/internal/roster_service.h"
#include "standins/platform/platform_standin.h"
#include "supervision/testing/event_loop.h"

namespace citronferry::node {
namespace {

// Connections are refused: port 1 is reserved and nothing listens on it.
constexpr char kUnreachablePlatformUrl[] = "http://127.0.0.1:1";

std::string DocumentText(int revision) {
  return "environment = \"trial\"\n"
         "# revision " +
         std::to_string(revision) +
         "\n"
         "[[service]]\nname = \"billing\"\npool = \"p\"\nmax_unavailable = 2\n"
         "[[pool]]\nname = \"p\"\ninstances = [\"i1\", \"i2\", \"i3\", \"i4\"]\n"
         "[[queue]]\nname = \"tally\"\nservice = \"billing\"\n";
}

/// An entry that runs only the configuration watcher and the membership services.
class Entry {
 public:
  Entry(TimerService& timers, std::string id, std::string platform_url)
      : m_settings(MakeSettings(std::move(id), std::move(platform_url))),
        m_platform({.url = m_settings.platform_url}),
        context{.settings = m_settings,
                .timers = timers,
                .metrics = metrics,
                .platform = m_platform,
                .incarnation = RandomToken()},
        m_root(timers, {.name = "entry", .stop_deadline = 5s}, MakeChildren()) {
    m_tasks.Spawn([this]() -> QCoro::Task<void> { static_cast<void>(co_await m_root.Run()); });
  }
  ~Entry() { Stop(); }

  void Stop() {
    m_root.Stop();
    EXPECT_TRUE(ProcessEventsUntil([this] { return m_tasks.running() == 0; }));
  }
  RosterEntry roster_entry() const {
    return {.id = m_settings.id,
            .incarnation = context.incarnation,
            .peer_address = m_endpoint->address};
  }
  uint64_t version() const { return context.configuration.Get().version; }

 private:
  static document::Settings MakeSettings(std::string id, std::string platform_url) {
    document::Settings settings;
    settings.id = EntryId(id);
    settings.environment = "trial";
    settings.peer_listener = {.address = "127.0.0.1"};
    settings.platform_url = std::move(platform_url);
    return settings;
  }
  std::vector<ChildSpec> MakeChildren() {
    std::vector<ChildSpec> children;
    children.push_back(ConfigurationModule::MakeChild(context));
    children.push_back({.name = "peers", .factory = [this] {
                          return std::make_unique<PeerService>(context, m_endpoint);
                        }});
    children.push_back({.name = "roster", .factory = [this] {
                          return std::make_unique<RosterService>(context, m_endpoint);
                        }});
    return children;
  }

  document::Settings m_settings;
  provider::ProviderModule m_platform;

 public:
  Metrics metrics;
  NodeContext context;

 private:
  std::shared_ptr<PeerEndpoint> m_endpoint = std::make_shared<PeerEndpoint>();
  Supervisor m_root;
  TaskScope m_tasks;
};

class MembershipTest : public ::testing::Test {
 protected:
  MembershipTest() {
    TestApplication();
    m_timers = MakeQtTimerService();
    m_standin = std::make_unique<standin::PlatformStandin>(*m_timers);
    m_server = std::make_unique<http::Server>(
        *m_timers, http::ServerOptions{.address = QHostAddress(QHostAddress::LocalHost)},
        [this](http::Request request) { return m_standin->Handle(std::move(request)); });
    EXPECT_TRUE(m_server->Listen().ok());
    m_url = "http://127.0.0.1:" + std::to_string(m_server->port());
    m_tasks.Spawn([this]() -> QCoro::Task<void> { static_cast<void>(co_await m_server->Run()); });
    m_client = std::make_unique<provider::ProviderModule>(provider::ProviderOptions{.url = m_url});
  }
  ~MembershipTest() override {
    m_server->Stop();
    EXPECT_TRUE(ProcessEventsUntil([this] { return m_tasks.running() == 0; }));
  }

  std::unique_ptr<Entry> Start(std::string id) {
    return std::make_unique<Entry>(*m_timers, std::move(id), m_url);
  }

  /// Runs a task to completion.
  void Await(TaskScope::TaskFunction function) {
    TaskScope tasks;
    tasks.Spawn(std::move(function));
    ASSERT_TRUE(ProcessEventsUntil([&tasks] { return tasks.running() == 0; }));
  }

  /// Stores the document of a version and names it in the configuration row.
  void Publish(int version) {
    Await([this, version]() -> QCoro::Task<void> {
      const std::string text = DocumentText(version);
      const std::string digest = Sha256Hex(text);
      const Ret stored = co_await m_client->objects().Put(digest, text);
      EXPECT_TRUE(stored.ok());
      const std::string value =
          "{\"version\":" + std::to_string(version) + ",\"digest\":\"" + digest + "\"}";
      const provider::RowKey key{.table = "config", .key = "trial"};
      const auto current = co_await m_client->tables().Get(key);
      if (current.ok()) {
        const auto row = co_await m_client->tables().Update(key, value, current->version);
        EXPECT_TRUE(row.ok());
      } else {
        const auto row = co_await m_client->tables().Create(key, value);
        EXPECT_TRUE(row.ok());
      }
    });
  }

  /// @return the roster row of an entry, or nothing if it does not exist.
  std::optional<RosterEntry> ReadRow(std::string id) {
    std::optional<RosterEntry> entry;
    Await([this, id, &entry]() -> QCoro::Task<void> {
      const provider::RowKey key{.table = "entries", .key = id};
      const auto row = co_await m_client->tables().Get(key);
      if (row.ok()) entry = DecodeRosterRow(row->key, row->value);
    });
    return entry;
  }

  std::unique_ptr<TimerService> m_timers;
  std::unique_ptr<standin::PlatformStandin> m_standin;
  std::unique_ptr<http::Server> m_server;
  std::unique_ptr<provider::ProviderModule> m_client;
  std::string m_url;
  TaskScope m_tasks;
};

// An entry that cannot reach the table service and the object store must fetch the configuration
// from a peer, both the first one after its start and later versions.
TEST_F(MembershipTest, EntryWithoutStoreTakesDocumentsFromItsPeer) {
  Publish(1);
  const auto a = Start("a");
  Entry b(*m_timers, "b", kUnreachablePlatformUrl);
  Await([&]() -> QCoro::Task<void> {
    const provider::RowKey key{.table = "entries", .key = "b"};
    const std::string value = EncodeRosterRow(b.roster_entry());
    const auto row = co_await m_client->tables().Create(key, value);
    EXPECT_TRUE(row.ok());
  });
  EXPECT_TRUE(ProcessEventsUntil([&] { return a->version() == 1 && b.version() == 1; }));
  Publish(2);
  EXPECT_TRUE(ProcessEventsUntil([&] { return a->version() == 2 && b.version() == 2; }));
  EXPECT_EQ(b.context.configuration.Get().text, DocumentText(2));
}

// A restarted entry must take over the row of its previous incarnation. An entry that has drained
// must remove its row, which would otherwise keep its share of the slots.
TEST_F(MembershipTest, RowIsTakenOverAfterARestartAndRemovedAfterDraining) {
  auto first = Start("a");
  const std::string old_incarnation = first->context.incarnation;
  EXPECT_TRUE(ProcessEventsUntil([&] { return !first->context.roster.Get().entries.empty(); }));
  first.reset();
  ASSERT_TRUE(ReadRow("a").has_value());
  EXPECT_EQ(ReadRow("a")->incarnation, old_incarnation);

  auto second = Start("a");
  EXPECT_TRUE(ProcessEventsUntil([&] { return ReadRow("a")->incarnation != old_incarnation; }));
  second->context.lifecycle.Set(Lifecycle::kDraining);
  second.reset();
  EXPECT_FALSE(ReadRow("a").has_value());
}

// A second process with the same id would use the slots of the first one as well. The first one
// must drain as soon as the second one has taken over its row.
TEST_F(MembershipTest, EntryThatWasReplacedDrains) {
  const auto first = Start("a");
  EXPECT_TRUE(ProcessEventsUntil([&] { return !first->context.roster.Get().entries.empty(); }));
  const auto second = Start("a");
  EXPECT_TRUE(
      ProcessEventsUntil([&] { return first->context.lifecycle.Get() == Lifecycle::kDraining; }));
  EXPECT_EQ(second->context.lifecycle.Get(), Lifecycle::kServing);
}

// Entries must find each other through the roster. After a change of the roster the previous one
// must stay active for a while, so that no share grows before every other entry has read the
// change.
TEST_F(MembershipTest, PeersBecomeAliveAndThePreviousRosterStaysActive) {
  const auto a = Start("a");
  EXPECT_TRUE(ProcessEventsUntil([&] { return a->context.roster.Get().entries.size() == 1; }));
  EXPECT_EQ(a->context.roster.Get().active_rosters.size(), 1u);
  const auto b = Start("b");
  EXPECT_TRUE(ProcessEventsUntil([&] { return b->context.roster.Get().entries.size() == 2; }));
  EXPECT_EQ(b->context.roster.Get().active_rosters.size(), 2u);
  EXPECT_TRUE(ProcessEventsUntil([&] {
    return a->context.peers.Get().alive.contains(EntryId("b")) &&
           b->context.peers.Get().alive.contains(EntryId("a"));
  }));
  EXPECT_TRUE(
      ProcessEventsUntil([&] { return b->context.roster.Get().active_rosters.size() == 1; }));
}

}  // namespace
}  // namespace citronferry::node
