#ifndef CITRONFERRY_DOCUMENT_DOCUMENT_H_
#define CITRONFERRY_DOCUMENT_DOCUMENT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/priority.h"
#include "base/ret.h"
#include "base/time.h"

namespace citronferry::document {

/// A service and the availability that it may lose at any moment.
struct Service {
  ServiceName name;
  PoolName pool;
  int max_unavailable = 1;      ///< Instances of its pool that may be out, planned or not.
  int reserve = 1;              ///< Part of max_unavailable kept back for unplanned failures.
  double min_availability = 0;  ///< Share of instance time over the window; 0 sets no bound.
  Duration window = 24h * 28;   ///< Time over which min_availability is measured.
};

struct Pool {
  PoolName name;
  bool spare = false;  ///< Lends instances to pools with sustained demand.
  std::vector<InstanceId> instances;
  int min_instances = 1;         ///< Moves never take the pool below this.
  double urgent_reserve = 0.25;  ///< Share of slots kept free for urgent work.
  double target_utilisation = 0.7;
  int processors = 0;  ///< Processors of each instance; 0 when not declared.
  int64_t memory = 0;  ///< Bytes of memory of each instance; 0 when not declared.
};

struct Queue {
  QueueName name;
  ServiceName service;
  Priority priority = Priority::kInteractive;
  bool idempotent = false;
  bool durable = false;  ///< Work is accepted as jobs that survive the loss of every entry.
  Duration deadline = 30s;
  Duration wait_limit = 30s;
  Duration declared_run_time = 1s;
  int max_queued = 1000;
  int max_attempts = 3;
  int processors = 0;           ///< Processors that one request needs; 0 when not declared.
  int64_t memory = 0;           ///< Bytes of memory that one request needs; 0 when not declared.
  double mean_load = 0;         ///< Instances kept busy on average; 0 when not declared.
  double surge_factor = 5;      ///< Load during a surge relative to the mean.
  Duration surge_length = 10s;  ///< Length of one surge.
};

struct Team {
  TeamName name;
  double weight = 1.0;
  int max_in_flight = 1000;       ///< Requests of the team that run at the same time.
  std::vector<QueueName> queues;  ///< Queues that the team may use; empty allows every queue.
  std::string token_sha256;       ///< Lower-case hexadecimal digest of the team's bearer token.
};

/// Order in which a wave takes instances out.
enum class WaveOrder { kRackByRack, kSpread, kLongestSinceMaintenance };

struct Wave {
  std::string name;
  std::vector<PoolName> pools;
  WaveOrder order = WaveOrder::kRackByRack;
  Duration instance_timeout = 15min;  ///< After this, a missing instance counts as failed.
  Duration maintenance_time{};  ///< Usual time of one instance; instance_timeout if not declared.
  Duration start{};             ///< Start of the daily window, after midnight UTC.
  Duration end = 24h;           ///< End of the daily window; before start it is on the next day.
  Duration every = 24h * 28;    ///< Period in which each instance is maintained once.
  int generation = 1;           ///< Raising it starts the wave again.
};

/// Everything that operators declare for one environment.
struct Document {
  std::string environment;
  /// Environment to which the same text may be promoted; empty allows no promotion.
  std::string promote_to;
  std::vector<Service> services;
  std::vector<Pool> pools;
  std::vector<Queue> queues;
  std::vector<Team> teams;
  std::vector<Wave> waves;
};

/// One fault in a document.
struct Problem {
  int line = 0;  ///< Counts from 1; 0 when the fault has no place of its own.
  std::string key;
  std::string message;  ///< What is wrong and what is allowed.
};

struct ParseResult {
  Document document;  ///< Meaningful only without problems.
  std::vector<Problem> problems;
};

/// Parses and checks a document. Reports every fault at once.
ParseResult ParseDocument(std::string_view text);

/// @return whether a document may be in force in an environment.
bool AllowsEnvironment(const Document& document, std::string_view environment);

}  // namespace citronferry::document

#endif  // CITRONFERRY_DOCUMENT_DOCUMENT_H_
