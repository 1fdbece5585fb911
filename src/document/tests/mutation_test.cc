#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>

#include "document/changes.h"
#include "document/settings.h"
#include "document/tests/test_documents.h"

namespace citronferry::document {
namespace {

/// Applies one random edit: changes a byte, removes or repeats a line, truncates the text, or
/// replaces a value by one that is likely to be invalid.
std::string Mutate(std::string text, std::mt19937& random) {
  const auto below = [&random](size_t bound) { return random() % bound; };
  const auto line_at = [&text](size_t position) {
    const size_t newline = text.rfind('\n', position);
    const size_t begin = newline == std::string::npos ? 0 : newline + 1;
    return std::pair(begin, std::min(text.find('\n', begin), text.size() - 1) + 1 - begin);
  };
  if (text.empty()) return text;
  switch (below(5)) {
    case 0:
      text[below(text.size())] = static_cast<char>(below(256));
      break;
    case 1: {
      const auto [begin, length] = line_at(below(text.size()));
      text.erase(begin, length);
      break;
    }
    case 2: {
      const auto [begin, length] = line_at(below(text.size()));
      text.insert(below(text.size()), text.substr(begin, length));
      break;
    }
    case 3:
      text.resize(below(text.size()));
      break;
    default: {
      static constexpr std::string_view kValues[] = {"-1",         "0",
                                                     "nan",        "inf",
                                                     "1e308",      "9223372036854775807",
                                                     "\"\"",       "\"9223372036854775807d\"",
                                                     "true",       "[]",
                                                     "{}",         "[[[]]]",
                                                     "1979-05-27", "\"\\u0000\"",
                                                     "\"24:00\"",  "\"1ms\""};
      const size_t sign = text.find('=', below(text.size()));
      if (sign == std::string::npos) break;
      const size_t end = std::min(text.find('\n', sign), text.size());
      text.replace(sign + 1, end - sign - 1, kValues[below(std::size(kValues))]);
    }
  }
  return text;
}

template <typename T>
std::set<std::string> Names(const std::vector<T>& items) {
  std::set<std::string> names;
  for (const T& item : items) {
    if constexpr (std::is_same_v<T, Wave>) {
      names.insert(item.name);
    } else {
      names.insert(item.name.str());
    }
  }
  EXPECT_EQ(names.size(), items.size());
  return names;
}

/// Checks, without the validation rules, the invariants that the rest of the program relies on.
void ExpectInvariants(const Document& document) {
  const auto pools = Names(document.pools);
  const auto services = Names(document.services);
  const auto queues = Names(document.queues);
  Names(document.teams);
  Names(document.waves);
  std::set<InstanceId> instances;
  std::map<PoolName, int> sizes;
  for (const Pool& pool : document.pools) {
    for (const InstanceId& id : pool.instances) EXPECT_TRUE(instances.insert(id).second);
    sizes[pool.name] = static_cast<int>(pool.instances.size());
    EXPECT_TRUE(pool.urgent_reserve >= 0 && pool.urgent_reserve <= 0.9);
    EXPECT_LE(pool.min_instances, sizes[pool.name]);
  }
  for (const Service& service : document.services) {
    EXPECT_TRUE(pools.contains(service.pool.str()));
    EXPECT_GE(service.reserve, 0);
    EXPECT_LE(service.reserve, service.max_unavailable);
    if (sizes[service.pool] > 0) {
      EXPECT_LT(service.max_unavailable, sizes[service.pool]);
    }
  }
  for (const Queue& queue : document.queues) {
    EXPECT_TRUE(services.contains(queue.service.str()));
    EXPECT_GE(queue.declared_run_time, 1ms);
    EXPECT_GE(queue.deadline, queue.declared_run_time);
    EXPECT_TRUE(queue.durable || queue.priority != Priority::kWatcher);
    EXPECT_GE(queue.max_attempts, 1);
  }
  for (const Team& team : document.teams) {
    EXPECT_EQ(team.token_sha256.size(), 64u);
    EXPECT_GT(team.weight, 0);
    for (const QueueName& queue : team.queues) EXPECT_TRUE(queues.contains(queue.str()));
  }
  for (const Wave& wave : document.waves) {
    EXPECT_FALSE(wave.pools.empty());
    for (const PoolName& pool : wave.pools) EXPECT_TRUE(pools.contains(pool.str()));
    EXPECT_GT(wave.maintenance_time, Duration::zero());
    EXPECT_GE(wave.instance_timeout, wave.maintenance_time);
  }
}

// Fuzzes the parser and the description of changes. Neither may crash, and a document without
// reported errors must satisfy all invariants.
TEST(MutationTest, MutatedDocumentsAreRejectedOrValid) {
  constexpr int kDocuments = 4000;
  std::mt19937 random(20261204);
  const std::string valid = ValidDocument();
  const Document base = ParseDocument(valid).document;
  int accepted = 0;
  for (int i = 0; i < kDocuments && !::testing::Test::HasFailure(); ++i) {
    std::string text = Mutate(valid, random);
    if (i % 3 == 0) text = Mutate(std::move(text), random);
    SCOPED_TRACE(text);
    const ParseResult result = ParseDocument(text);
    if (!result.problems.empty()) continue;
    ++accepted;
    ExpectInvariants(result.document);
    DescribeChanges(base, result.document);
  }
  // If few documents were accepted, the invariants would hardly be checked.
  EXPECT_GT(accepted, kDocuments / 20);
}

// Fuzzes the parser of process settings. It must not crash, and settings without reported errors
// must have an id, a valid platform URL and a peer address.
TEST(MutationTest, MutatedSettingsAreRejectedOrValid) {
  std::mt19937 random(20261205);
  const std::string valid = ReadRepositoryFile("examples/cariboo-entry.toml");
  for (int i = 0; i < 2000; ++i) {
    const SettingsResult result = ParseSettings(Mutate(valid, random));
    if (!result.problems.empty()) continue;
    EXPECT_FALSE(result.settings.id.empty());
    EXPECT_TRUE(CheckHttpUrl(result.settings.platform_url).ok());
    EXPECT_FALSE(result.settings.peer_listener.address.empty());
  }
}

}  // namespace
}  // namespace citronferry::document
