#include <gtest/gtest.h>

#include <QJsonDocument>
#include <QJsonObject>

#include "cli/tests/command_runner.h"
#include "http/server.h"
#include "node/node_context.h"
#include "standins/platform/platform_standin.h"
#include "supervision/testing/event_loop.h"

namespace citronferry::cli {
namespace {

using ::testing::IsSubstring;

constexpr std::string_view kRowPath = "/v1/tables/config/rows/";

std::string MakeDocument(std::string_view deadline, bool promotable = true) {
  return std::string("environment = \"trial\"\n") +
         (promotable ? "promote_to = \"production\"\n" : "") +
         "[[service]]\nname = \"tally\"\npool = \"tally\"\n"
         "[[pool]]\nname = \"tally\"\ninstances = [\"t1\", \"t2\"]\n"
         "[[queue]]\nname = \"tally\"\nservice = \"tally\"\ndeadline = \"" +
         std::string(deadline) + "\"\n";
}

/// Runs apply and promote against the platform stand-in. Faults can be injected between two calls.
class PublishTest : public ::testing::Test {
 protected:
  using Hook = std::function<void(const http::Request&)>;

  PublishTest()
      : m_application(TestApplication()),
        m_server(*m_timers, {.address = QHostAddress(QHostAddress::LocalHost)},
                 [this](http::Request request) { return Handle(std::move(request)); }) {
    EXPECT_TRUE(m_server.Listen().ok());
    m_tasks.Spawn([this]() -> QCoro::Task<void> { static_cast<void>(co_await m_server.Run()); });
  }
  ~PublishTest() override {
    m_server.Stop();
    EXPECT_TRUE(ProcessEventsUntil([this] { return m_tasks.running() == 0; }));
  }

  CommandResult Run(std::vector<std::string> arguments) {
    const std::string url = "http://127.0.0.1:" + std::to_string(m_server.port());
    arguments.insert(arguments.begin() + 1, {"--platform", url, "--author", "bob"});
    return RunCommand(std::move(arguments));
  }
  CommandResult Apply(std::string_view document, std::vector<std::string> options = {}) {
    options.insert(options.begin(), {"apply", WriteFile("document.toml", document)});
    return Run(std::move(options));
  }

  /// Calls the stand-in directly. Without an injected delay the call completes immediately.
  http::Response Call(std::string_view method, std::string path, std::string_view body = "",
                      http::Headers headers = {}) {
    http::Request request{.method = std::string(method),
                          .path = std::move(path),
                          .headers = std::move(headers),
                          .body = QByteArray(body.data(), static_cast<qsizetype>(body.size()))};
    http::Response response;
    m_tasks.Spawn([this, &request, &response]() -> QCoro::Task<void> {
      response = co_await m_platform.Handle(request);
    });
    return response;
  }
  void SetSwitches(std::string_view json) { Call("PUT", "/standin/switches", json); }
  /// @return the configuration row of an environment; empty if there is none.
  QJsonObject ReadRow(std::string_view environment) {
    const http::Response row = Call("GET", std::string(kRowPath) + std::string(environment));
    return row.status == 200 ? QJsonDocument::fromJson(row.body).object() : QJsonObject();
  }
  uint64_t VersionOf(std::string_view environment) {
    return static_cast<uint64_t>(ReadRow(environment).value(QLatin1String("version")).toInteger());
  }
  std::string DigestOf(std::string_view environment) {
    return ReadRow(environment).value(QLatin1String("digest")).toString().toStdString();
  }
  int CountWrites() { return Call("GET", "/standin/writes").body.toInt(); }

  /// Makes a document active as operator "ada", without using the command under test.
  void ApplyAsOtherOperator(std::string_view document) {
    const QJsonObject current = ReadRow("trial");
    const std::string digest = node::Sha256Hex(document);
    const std::string path = std::string(kRowPath) + "trial";
    const http::Response row = Call("GET", path);
    QJsonObject next{
        {QStringLiteral("version"), current.value(QLatin1String("version")).toInteger() + 1},
        {QStringLiteral("digest"), QString::fromStdString(digest)},
        {QStringLiteral("author"), QStringLiteral("ada")},
        {QStringLiteral("base"), current.value(QLatin1String("version"))},
        {QStringLiteral("base_digest"), current.value(QLatin1String("digest"))}};
    Call("PUT", "/v1/objects/" + digest, document);
    const http::Response written =
        Call("PUT", path, QJsonDocument(next).toJson().toStdString(),
             {{"If-Match", std::string(http::FindHeader(row.headers, "ETag"))}});
    EXPECT_EQ(written.status, 200);
  }

  /// Runs a hook once, before the next request with this method for the row of the trial
  /// environment.
  void BeforeRowCall(std::string method, std::function<void()> hook) {
    m_hook = [this, method = std::move(method),
              hook = std::move(hook)](const http::Request& request) {
      if (request.method != method || request.path != std::string(kRowPath) + "trial") return;
      const auto run = hook;
      m_hook = {};
      run();
    };
  }

 private:
  QCoro::Task<http::Response> Handle(http::Request request) {
    const Hook hook = m_hook;
    if (hook) hook(request);
    co_return co_await m_platform.Handle(std::move(request));
  }

  QCoreApplication& m_application;
  std::unique_ptr<TimerService> m_timers = MakeQtTimerService();
  standin::PlatformStandin m_platform{*m_timers};
  Hook m_hook;
  TaskScope m_tasks;
  http::Server m_server;
};

// Checks that apply prints the changes, and that running the same command again does not create
// another version.
TEST_F(PublishTest, ApplyShowsTheDifferenceAndMayRunAgain) {
  EXPECT_EQ(Apply(MakeDocument("6h")).exit_code, kExitOk);
  const CommandResult changed = Apply(MakeDocument("7h"), {"--base", "1"});
  EXPECT_EQ(changed.exit_code, kExitOk) << changed.err;
  EXPECT_PRED_FORMAT2(IsSubstring, "queue tally: deadline \"6h\" -> \"7h\"\n", changed.out);
  EXPECT_EQ(VersionOf("trial"), 2u);
  const int writes = CountWrites();
  const CommandResult again = Apply(MakeDocument("7h"), {"--base", "1"});
  EXPECT_EQ(again.exit_code, kExitOk);
  EXPECT_PRED_FORMAT2(IsSubstring, "already active as version 2", again.out);
  EXPECT_EQ(CountWrites(), writes);
  EXPECT_TRUE(ReadRow("production").isEmpty());
}

// Checks that a dry run prints the changes and writes nothing.
TEST_F(PublishTest, DryRunWritesNothing) {
  const CommandResult result = Apply(MakeDocument("6h"), {"--dry-run"});
  EXPECT_EQ(result.exit_code, kExitOk);
  EXPECT_PRED_FORMAT2(IsSubstring, "queue tally: added", result.out);
  EXPECT_EQ(CountWrites(), 0);
}

// The row is written but the response is lost. The command must recognise its own write: it reports
// success instead of a conflict and does not write again.
TEST_F(PublishTest, LostResponseToTheWriteIsSuccess) {
  BeforeRowCall("PUT", [this] { SetSwitches(R"({"lose_answers": 1})"); });
  const CommandResult result = Apply(MakeDocument("6h"));
  EXPECT_EQ(result.exit_code, kExitOk) << result.err;
  EXPECT_EQ(VersionOf("trial"), 1u);
  EXPECT_EQ(CountWrites(), 1);
}

// The response to a successful write is lost, and an outage prevents the command from reading the
// row. It must report an unknown outcome, not that nothing was written, and running it again
// succeeds.
TEST_F(PublishTest, LostResponseFollowedByAnOutageIsUnknownAndMayRunAgain) {
  BeforeRowCall("PUT", [this] {
    SetSwitches(R"({"lose_answers": 1})");
    BeforeRowCall("GET", [this] { SetSwitches(R"({"outage": true})"); });
  });
  const CommandResult lost = Apply(MakeDocument("6h"));
  EXPECT_EQ(lost.exit_code, kExitFailure);
  EXPECT_PRED_FORMAT2(IsSubstring, "run the command again", lost.err);
  SetSwitches("{}");
  EXPECT_PRED_FORMAT2(IsSubstring, "already active as version 1", Apply(MakeDocument("6h")).out);
}

// Checks that during an outage the command fails instead of hanging. No row is written, and running
// the command again after the outage succeeds.
TEST_F(PublishTest, OutageIsReportedAndMayRunAgain) {
  SetSwitches(R"({"outage": true})");
  const CommandResult failed = Apply(MakeDocument("6h"));
  EXPECT_EQ(failed.exit_code, kExitFailure);
  EXPECT_PRED_FORMAT2(IsSubstring, "unavailable", failed.err);
  SetSwitches("{}");
  EXPECT_EQ(CountWrites(), 0);
  BeforeRowCall("PUT", [this] { SetSwitches(R"({"outage": true})"); });
  EXPECT_EQ(Apply(MakeDocument("6h")).exit_code, kExitFailure);
  SetSwitches("{}");
  EXPECT_EQ(Apply(MakeDocument("6h")).exit_code, kExitOk);
  EXPECT_EQ(VersionOf("trial"), 1u);
}

// Another operator writes a version after the command has read the row. The command must fail and
// show that change, so that it is not reverted unnoticed.
TEST_F(PublishTest, ConcurrentChangeOfAnotherOperatorIsReported) {
  ASSERT_EQ(Apply(MakeDocument("6h")).exit_code, kExitOk);
  BeforeRowCall("PUT", [this] { ApplyAsOtherOperator(MakeDocument("7h")); });
  const CommandResult refused = Apply(MakeDocument("8h"));
  EXPECT_EQ(refused.exit_code, kExitFailure);
  EXPECT_PRED_FORMAT2(IsSubstring, "version 2 by ada, based on version 1", refused.err);
  EXPECT_PRED_FORMAT2(IsSubstring, "queue tally: deadline \"6h\" -> \"7h\"", refused.err);
  EXPECT_EQ(DigestOf("trial"), node::Sha256Hex(MakeDocument("7h")));
  const CommandResult based = Apply(MakeDocument("8h"), {"--base", "1"});
  EXPECT_EQ(based.exit_code, kExitFailure);
  EXPECT_PRED_FORMAT2(IsSubstring, "version 2 by ada", based.err);
  EXPECT_EQ(Apply(MakeDocument("8h"), {"--base", "2"}).exit_code, kExitOk);
}

// The row is written but the response is lost, and another operator replaces the new version before
// the command reads the row. The command must not retry, which would revert that operator's change.
TEST_F(PublishTest, OwnChangeThatWasReplacedIsNotWrittenAgain) {
  ASSERT_EQ(Apply(MakeDocument("6h")).exit_code, kExitOk);
  BeforeRowCall("PUT", [this] {
    SetSwitches(R"({"lose_answers": 1})");
    BeforeRowCall("GET", [this] { ApplyAsOtherOperator(MakeDocument("8h")); });
  });
  const CommandResult result = Apply(MakeDocument("7h"));
  EXPECT_EQ(result.exit_code, kExitFailure);
  EXPECT_PRED_FORMAT2(IsSubstring, "queue tally: deadline \"7h\" -> \"8h\"", result.err);
  EXPECT_PRED_FORMAT2(IsSubstring, "This document was version 2 and has been replaced", result.err);
  EXPECT_EQ(VersionOf("trial"), 3u);
}

// Checks that production gets exactly the trial document, and that a promotion fails if the version
// in trial or production is not the one that the operator expects.
TEST_F(PublishTest, PromoteKeepsTheTextAndRejectsAnOutdatedBase) {
  ASSERT_EQ(Apply(MakeDocument("6h")).exit_code, kExitOk);
  EXPECT_EQ(Run({"promote", "--base", "1"}).exit_code, kExitFailure);
  EXPECT_EQ(Run({"promote", "--base", "0", "--trial-version", "1"}).exit_code, kExitOk);
  EXPECT_EQ(DigestOf("production"), DigestOf("trial"));
  EXPECT_PRED_FORMAT2(IsSubstring, "already active as version 1",
                      Run({"promote", "--base", "0"}).out);
  ASSERT_EQ(Apply(MakeDocument("7h")).exit_code, kExitOk);
  EXPECT_EQ(Run({"promote", "--trial-version", "1"}).exit_code, kExitFailure);
  const CommandResult outdated = Run({"promote", "--base", "0"});
  EXPECT_EQ(outdated.exit_code, kExitFailure);
  EXPECT_PRED_FORMAT2(IsSubstring, "version 1 by bob", outdated.err);
  EXPECT_EQ(VersionOf("production"), 1u);
  EXPECT_EQ(Run({"promote", "--base", "1"}).exit_code, kExitOk);
  EXPECT_EQ(VersionOf("production"), 2u);
}

// Checks that promote fails if the trial environment has no document or the document does not set
// promote_to.
TEST_F(PublishTest, PromoteNeedsAPromotableTrialDocument) {
  EXPECT_EQ(Run({"promote"}).exit_code, kExitFailure);
  ASSERT_EQ(Apply(MakeDocument("6h", false)).exit_code, kExitOk);
  EXPECT_EQ(Run({"promote"}).exit_code, kExitInvalid);
  EXPECT_TRUE(ReadRow("production").isEmpty());
}

// Checks that apply writes neither an invalid document, nor one for production, nor an author with
// control characters.
TEST_F(PublishTest, InvalidDocumentIsNotWritten) {
  const CommandResult invalid = Apply(MakeDocument("500ms"));
  EXPECT_EQ(invalid.exit_code, kExitInvalid);
  EXPECT_PRED_FORMAT2(IsSubstring, ":12: queue[0].deadline is 500ms", invalid.err);
  EXPECT_EQ(Apply("environment = \"production\"\n").exit_code, kExitInvalid);
  EXPECT_EQ(Apply(MakeDocument("6h"), {"--author", "a\x1b[2J"}).exit_code, kExitUsage);
  EXPECT_EQ(CountWrites(), 0);
}

}  // namespace
}  // namespace citronferry::cli
