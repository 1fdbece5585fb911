#include "document/document.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "document/reference.h"
#include "document/tests/test_documents.h"

namespace citronferry::document {
namespace {

struct InvalidDocument {
  std::string_view name;
  std::string_view from;  ///< Part of the valid document.
  std::string_view to;
  int line;
  std::string_view key;
  std::string_view message;  ///< Part of the expected message.
};

void PrintTo(const InvalidDocument& invalid, std::ostream* out) { *out << invalid.name; }

constexpr std::string_view kYearlyWave =
    "end = \"04:00\"\n[[wave]]\nname = \"yearly\"\npools = [\"tally\"]\nevery = \"1d\"\n"
    "start = \"00:00\"\nend = \"00:20\"\n";

const InvalidDocument kInvalidDocuments[] = {
    {"UnknownKey", "spare = true", "colour = 1", 23, "pool[1].colour", "allowed: instances"},
    {"UnknownSection", "[[team]]", "[[taem]]", 44, "taem", "is not a known key"},
    {"SectionNotArray", "[[wave]]", "[wave]", 54, "wave", "must be an array of tables"},
    {"Syntax", "weight = 2.0", "weight = ", 46, "", ""},
    {"TableHeaderWithoutKey", "[[team]]", "[[=]]", 44, "", "bare key"},
    {"MissingName", "name = \"monthly\"\n", "", 54, "wave[0].name", "is missing"},
    {"NameWithSlash", "name = \"river\"", "name = \"a/b\"", 51, "team[1].name", "64 letters"},
    {"DurationWithoutUnit", "\"6h\"", "\"6\"", 34, "queue[0].deadline", "ms, s, min, h, d"},
    {"DurationOfUnknownUnit", "\"6h\"", "\"6w\"", 34, "queue[0].deadline", "ms, s, min, h, d"},
    {"DurationAsNumber", "\"6h\"", "6", 34, "queue[0].deadline", "ms, s, min, h, d"},
    {"DurationOutOfRange", "\"6h\"", "\"29d\"", 34, "queue[0].deadline", "from 10ms to 28d"},
    {"DurationOverflow", "\"6h\"", "\"9223372036854775807d\"", 34, "queue[0].deadline", "duration"},
    {"SizeWithoutUnit", "\"64GB\"", "\"64\"", 19, "pool[0].memory", "GiB"},
    {"TimeOfDay", "\"02:00\"", "\"2am\"", 58, "wave[0].start", "\"24:00\""},
    {"BoolAsString", "durable = true", "durable = \"yes\"", 33, "queue[0].durable",
     "true or false"},
    {"NotANumber", "mean_load = 1.0", "mean_load = nan", 36, "queue[0].mean_load", "0 to 10000"},
    {"IntegerAsFloat", "processors = 16", "processors = 1.5", 18, "pool[0].processors", "integer"},
    {"UnknownChoice", "\"batch\"", "\"low\"", 32, "queue[0].priority", "\"urgent\""},
    {"PromoteToItself", "\"production\"", "\"trial\"", 2, "promote_to", "differ"},
    {"DuplicateService", "name = \"desk\"\npool = \"desk\"", "name = \"tally\"\npool = \"desk\"",
     10, "service[1].name", "unique"},
    {"DuplicateTeam", "name = \"river\"", "name = \"north\"", 51, "team[1].name", "unique"},
    {"UndeclaredPool", "pool = \"desk\"", "pool = \"dekc\"", 11, "service[1].pool",
     "declared: tally, desk"},
    {"InstanceInTwoPools", "\"d3\"", "\"t2\"", 26, "pool[1].instances[2]", "pool \"tally\""},
    {"InstanceTwiceInAPool", "\"t4\"", "\"t1\"", 17, "pool[0].instances[3]", "pool \"tally\""},
    {"UndeclaredService", "service = \"desk\"", "service = \"dest\"", 41, "queue[1].service",
     "declared: tally, desk"},
    {"ServiceWithoutQueue", "service = \"desk\"", "service = \"tally\"", 10, "service[1].name",
     "[[queue]]"},
    {"WaveCanNotProceed", "max_unavailable = 2\nmin", "max_unavailable = 1\nmin", 12,
     "service[1].max_unavailable", "exceed reserve"},
    {"ReserveAboveBudget", "max_unavailable = 2\nmin", "max_unavailable = 2\nreserve = 3\nmin", 13,
     "service[1].reserve", "must not exceed max_unavailable"},
    {"BudgetOfWholePool", "max_unavailable = 2\nmin", "max_unavailable = 3\nmin", 12,
     "service[1].max_unavailable", "at least one must stay"},
    {"AvailabilityBelowWaves", "0.99", "0.9999", 13, "service[1].min_availability", "leave 0.9997"},
    {"TooFewInstances", "spare = true", "min_instances = 4", 23, "pool[1].min_instances", "3"},
    {"TwoSparePools", "processors = 16", "spare = true", 23, "pool[1].spare", "at most one"},
    {"NoSlotForOtherWork", "spare = true", "urgent_reserve = 0.9", 23, "pool[1].urgent_reserve",
     "at least one"},
    {"LoadAboveCapacity", "mean_load = 1.0", "mean_load = 1.5", 17, "pool[0].instances", "needs 3"},
    {"DeadlineBelowRunTime", "\"6h\"", "\"4s\"", 34, "queue[0].deadline", "5s"},
    {"WatcherNotDurable", "idempotent = true", "priority = \"watcher\"", 39, "queue[1].durable",
     "must be true"},
    {"DurableInteractive", "idempotent = true", "durable = true", 42, "queue[1].durable",
     "batch and watcher"},
    {"NeedsMoreThanAnInstance", "mean_load = 1.0", "processors = 17", 36, "queue[0].processors",
     "has 16"},
    {"NeedsMoreMemory", "mean_load = 1.0", "memory = \"65GB\"", 36, "queue[0].memory", "has 64GB"},
    {"TeamOfUndeclaredQueue", "queues = [\"tally\"]", "queues = [\"tall\"]", 47,
     "team[0].queues[0]", "declared: tally, desk"},
    {"WeightZero", "weight = 2.0", "weight = 0", 46, "team[0].weight", "0.01 to 1000"},
    {"DigestTooShort", "\"2222", "\"222", 52, "team[1].token_sha256", "64 lower-case"},
    {"DigestNotHexadecimal", "\"2222", "\"222g", 52, "team[1].token_sha256", "64 lower-case"},
    {"DigestTwice", "\"2222222222222222222222222222222222222222222222222222222222222222\"",
     "\"1111111111111111111111111111111111111111111111111111111111111111\"", 52,
     "team[1].token_sha256", "\"north\""},
    {"WaveOverUndeclaredPool", "\"tally\", \"desk\"]", "\"tally\", \"dock\"]", 56,
     "wave[0].pools[1]", "declared: tally, desk"},
    {"WaveWithoutPools", "[\"tally\", \"desk\"]", "[]", 56, "wave[0].pools", "at least one"},
    {"TimeoutBelowMaintenance", "\"10min\"", "\"16min\"", 54, "wave[0].instance_timeout", "16min"},
    {"WindowBelowMaintenance", "\"04:00\"", "\"02:05\"", 59, "wave[0].end", "10min"},
    {"WaveLongerThanItsPeriod", "end = \"04:00\"\n", kYearlyWave, 63, "wave[1].every",
     "takes at least 3d"},
};

class InvalidDocumentTest : public ::testing::TestWithParam<InvalidDocument> {};

// Checks that each kind of error is reported with its line, its key and the allowed values. An
// invalid document that was accepted would become active on all entries.
TEST_P(InvalidDocumentTest, IsRejectedWithLineAndKey) {
  const InvalidDocument& invalid = GetParam();
  const ParseResult result = ParseDocument(Replace(ValidDocument(), invalid.from, invalid.to));
  const auto matches = [&](const Problem& problem) {
    return problem.line == invalid.line && problem.key == invalid.key &&
           problem.message.find(invalid.message) != std::string::npos;
  };
  std::string all;
  for (const Problem& problem : result.problems) {
    all += std::to_string(problem.line) + ": " + problem.key + ' ' + problem.message + '\n';
  }
  EXPECT_TRUE(std::any_of(result.problems.begin(), result.problems.end(), matches)) << all;
}

INSTANTIATE_TEST_SUITE_P(Documents, InvalidDocumentTest, ::testing::ValuesIn(kInvalidDocuments),
                         [](const auto& info) { return std::string(info.param.name); });

// Checks that the validation rules accept the test document and the documents in the examples
// folder.
TEST(DocumentTest, ValidDocumentsAreAccepted) {
  const std::string examples[] = {ValidDocument(), ReadRepositoryFile("examples/cariboo.toml"),
                                  ReadRepositoryFile("examples/ndiaye.toml")};
  for (const std::string& text : examples) {
    const ParseResult result = ParseDocument(text);
    for (const Problem& problem : result.problems) {
      ADD_FAILURE() << problem.line << ": " << problem.key << ' ' << problem.message;
    }
    EXPECT_TRUE(AllowsEnvironment(result.document, "trial"));
    EXPECT_TRUE(AllowsEnvironment(result.document, "production"));
    EXPECT_FALSE(AllowsEnvironment(result.document, "staging"));
  }
}

// Fails if a value is read into the wrong member or in the wrong unit.
TEST(DocumentTest, ValuesKeepTheirUnits) {
  const Document document = ParseDocument(ValidDocument()).document;
  EXPECT_EQ(document.services[1].min_availability, 0.99);
  EXPECT_EQ(document.pools[0].memory, 64'000'000'000);
  EXPECT_EQ(document.pools[1].instances.size(), 3u);
  EXPECT_EQ(document.queues[0].priority, Priority::kBatch);
  EXPECT_EQ(document.queues[0].deadline, 6h);
  EXPECT_EQ(document.teams[0].queues, std::vector{QueueName("tally")});
  EXPECT_EQ(document.waves[0].maintenance_time, 10min);
  EXPECT_EQ(document.waves[0].start, 2h);
  EXPECT_EQ(document.waves[0].end, 4h);
}

// Checks that one error does not hide later ones, that errors are ordered by line, and that a value
// that could not be read is reported only once, not again by the validation rules.
TEST(DocumentTest, ReportsEveryErrorWithItsLine) {
  const ParseResult result = ParseDocument(
      "environment = \"trial\"\n"
      "[[queue]]\n"
      "name = \"tally\"\n"
      "service = \"billing\"\n"
      "deadline = \"30\"\n"
      "colour = \"red\"\n");
  ASSERT_EQ(result.problems.size(), 3u);
  EXPECT_EQ(result.problems[0].line, 4);
  EXPECT_EQ(result.problems[0].key, "queue[0].service");
  EXPECT_EQ(result.problems[1].line, 5);
  EXPECT_EQ(result.problems[1].key, "queue[0].deadline");
  EXPECT_EQ(result.problems[2].line, 6);
  EXPECT_EQ(result.problems[2].key, "queue[0].colour");
}

// Fails if docs/settings.md lacks a key or differs from the parser in a range or default.
TEST(ReferenceTest, SettingsPageMatchesTheParser) {
  EXPECT_TRUE(ReadRepositoryFile("docs/settings.md").ends_with(RenderReference()))
      << "replace the tables with the output of 'citronferry check --list-keys'";
}

}  // namespace
}  // namespace citronferry::document
