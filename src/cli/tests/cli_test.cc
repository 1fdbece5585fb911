#include <gtest/gtest.h>

#include <iostream>
#include <sstream>

#include "cli/tests/command_runner.h"
#include "http/server.h"
#include "supervision/testing/event_loop.h"

namespace citronferry::cli {
namespace {

using ::testing::IsSubstring;

constexpr char kStatus[] = R"({
  "entry": "e1", "lifecycle": "serving", "configuration": {"version": 7, "digest": "ab"},
  "entries": [{"id": "e1", "configuration_version": 7, "acknowledged_sequence": 12},
              {"id": "entry-22"}],
  "pools": [{"name": "tally", "instances": 10, "serving": 8, "out": ["t1", "t2"],
             "max_unavailable": 2, "waiting": 3, "free_slots": 5}],
  "waves": [{"name": "monthly", "pool": "tally", "done": 4, "total": 10, "seconds_left": 3600}],
  "outcomes": {"answered": 120, "not_run": 2}})";

/// Test server that stands in for the admin listener of an entry. The operator token is "secret".
class EntryTest : public ::testing::Test {
 protected:
  EntryTest()
      : m_application(TestApplication()),
        m_server(*m_timers, {.address = QHostAddress(QHostAddress::LocalHost)},
                 [this](http::Request request) { return Handle(std::move(request)); }) {
    EXPECT_TRUE(m_server.Listen().ok());
    m_tasks.Spawn([this]() -> QCoro::Task<void> { static_cast<void>(co_await m_server.Run()); });
  }
  ~EntryTest() override {
    m_server.Stop();
    EXPECT_TRUE(ProcessEventsUntil([this] { return m_tasks.running() == 0; }));
  }

  CommandResult Run(std::vector<std::string> arguments) {
    const std::string url = "http://127.0.0.1:" + std::to_string(m_server.port());
    arguments.insert(arguments.end(), {"--entry", url});
    return RunCommand(std::move(arguments));
  }

  std::string m_status = kStatus;
  int m_drains = 0;

 private:
  QCoro::Task<http::Response> Handle(http::Request request) {
    if (request.method == "GET" && request.path == "/v1/status") {
      co_return http::Response{.body = QByteArray::fromStdString(m_status)};
    }
    if (http::FindHeader(request.headers, "Authorization") != "Bearer secret") {
      co_return http::MakeErrorResponse(401, "unauthenticated", "a token is required");
    }
    if (request.method == "POST" && request.path == "/v1/drain") ++m_drains;
    co_return http::Response{.status = 202};
  }

  QCoreApplication& m_application;
  std::unique_ptr<TimerService> m_timers = MakeQtTimerService();
  TaskScope m_tasks;
  http::Server m_server;
};

// Checks the complete output: a column must not be missing or shifted.
TEST_F(EntryTest, StatusIsShownAsTables) {
  const CommandResult result = Run({"status"});
  EXPECT_EQ(result.exit_code, kExitOk) << result.err;
  EXPECT_EQ(result.out,
            "entry e1 (-): serving\n"
            "configuration version 7, digest ab\n"
            "\n"
            "ENTRY     CONFIGURATION  ACKNOWLEDGED\n"
            "e1        7              12\n"
            "entry-22  -              -\n"
            "\n"
            "POOL   INSTANCES  SERVING  MAX OUT  WAITING  FREE SLOTS  OUT\n"
            "tally  10         8        2        3        5           t1,t2\n"
            "\n"
            "WAVE     POOL   DONE  TOTAL  SECONDS LEFT\n"
            "monthly  tally  4     10     3600\n"
            "\n"
            "outcomes: answered=120 not_run=2\n");
}

// Entries of older or newer versions may omit keys, so absent keys are shown as "-". A response
// that is not JSON is an error.
TEST_F(EntryTest, StatusToleratesAbsentKeysAndRejectsOtherBodies) {
  EXPECT_EQ(Run({"status", "--json"}).out.front(), '{');
  m_status = "{}";
  EXPECT_PRED_FORMAT2(IsSubstring, "configuration version -", Run({"status"}).out);
  m_status = "<html>";
  EXPECT_EQ(Run({"status"}).exit_code, kExitFailure);
}

// Checks that draining requires a token, and that a rejected token is reported as a failure.
TEST_F(EntryTest, DrainNeedsTheToken) {
  EXPECT_EQ(Run({"drain"}).exit_code, kExitUsage);
  EXPECT_EQ(Run({"drain", "--token-file", WriteFile("bad_token", "guess\n")}).exit_code,
            kExitFailure);
  EXPECT_EQ(m_drains, 0);
  EXPECT_EQ(Run({"drain", "--token-file", WriteFile("token", "secret\n")}).exit_code, kExitOk);
  EXPECT_EQ(m_drains, 1);
}

// Checks that every command has a help text, and that usage errors, unreadable files and invalid
// documents have different exit codes.
TEST(CliTest, HelpAndUsage) {
  for (const char* command : {"serve", "check", "apply", "promote", "status", "drain", "replay",
                              "hash-token", "version"}) {
    const CommandResult result = RunCommand({command, "--help"});
    EXPECT_EQ(result.exit_code, kExitOk) << command;
    EXPECT_PRED_FORMAT2(IsSubstring, "citronferry " + std::string(command), result.out);
    EXPECT_EQ(RunCommand({command, "--colour"}).exit_code, kExitUsage) << command;
  }
  EXPECT_EQ(RunCommand({}).exit_code, kExitUsage);
  EXPECT_EQ(RunCommand({"launch"}).exit_code, kExitUsage);
  EXPECT_EQ(RunCommand({"check"}).exit_code, kExitUsage);
  EXPECT_EQ(RunCommand({"check", "/nonexistent/document.toml"}).exit_code, kExitFailure);
  EXPECT_EQ(RunCommand({"check", WriteFile("a", ""), "extra"}).exit_code, kExitUsage);
  EXPECT_EQ(RunCommand({"check", WriteFile("empty", "")}).exit_code, kExitInvalid);
}

// Checks that URLs with host names, which would need a resolver, are rejected.
TEST(CliTest, UrlsNeedIpAddresses) {
  const CommandResult result = RunCommand({"status", "--entry", "http://entry-1:7101"});
  EXPECT_EQ(result.exit_code, kExitUsage);
  EXPECT_PRED_FORMAT2(IsSubstring, "--entry must contain an IP address", result.err);
}

// Checks that the line end, which is not part of the token, is not hashed. Otherwise the digest
// would differ from the one that entries compute for the bearer token.
TEST(CliTest, HashTokenIgnoresTheLineEnd) {
  std::istringstream input("abc\r\nrest\n\n");
  std::streambuf* standard_input = std::cin.rdbuf(input.rdbuf());
  const CommandResult hashed = RunCommand({"hash-token"});
  std::string rest;
  std::getline(std::cin, rest);
  const CommandResult empty = RunCommand({"hash-token"});
  std::cin.rdbuf(standard_input);
  EXPECT_EQ(hashed.out, "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad\n");
  EXPECT_EQ(empty.exit_code, kExitInvalid);
}

}  // namespace
}  // namespace citronferry::cli
