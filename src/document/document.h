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

/// A service and its availability budget.
struct Service {
  ServiceName name;
  PoolName pool;
  /// Instances of its pool that may be unavailable at any moment, planned or not.
  int max_unavailable = 1;
  int reserve = 1;              ///< Part of max_unavailable kept for unplanned failures.
  double min_availability = 0;  ///< Fraction of instance time over the window; 0 sets no bound.
  Duration window = 24h * 28;   ///< Time over which min_availability is measured.
};

/// A pool of instances of the same size.
struct Pool {
  PoolName name;
  bool spare = false;  ///< Lends instances to pools with sustained demand.
  std::vector<InstanceId> instances;
  int min_instances = 1;            ///< Moves to other pools leave at least this many instances.
  double urgent_reserve = 0.25;     ///< Fraction of slots kept free for urgent work.
  double target_utilisation = 0.7;  ///< Fraction of capacity in use that the planner aims for.
  int processors = 0;               ///< Processors of each instance; 0 when not declared.
  int64_t memory = 0;               ///< Bytes of memory of each instance; 0 when not declared.
};

/// A queue of requests to a service, and the limits that apply to them.
struct Queue {
  QueueName name;
  ServiceName service;
  Priority priority = Priority::kInteractive;
  bool idempotent = false;  ///< A request may run more than once; otherwise at most once.
  bool durable = false;     ///< Requests are accepted as jobs that survive the loss of every entry.
  Duration deadline = 30s;  ///< Deadline of a request that specifies none.
  Duration wait_limit = 30s;        ///< Longest time in the queue, whatever the deadline.
  Duration declared_run_time = 1s;  ///< Estimated run time until run times have been observed.
  int max_queued = 1000;            ///< Requests that may wait at each entry.
  int max_attempts = 3;             ///< Attempts of one request, on different executors.
  int processors = 0;               ///< Processors that one request needs; 0 when not declared.
  int64_t memory = 0;           ///< Bytes of memory that one request needs; 0 when not declared.
  double mean_load = 0;         ///< Average number of busy instances; 0 when not declared.
  double surge_factor = 5;      ///< Load during a surge relative to the mean.
  Duration surge_length = 10s;  ///< Length of one surge.
};

/// A team of callers and its quota.
struct Team {
  TeamName name;
  double weight = 1.0;            ///< Share of a contended pool, relative to other teams.
  int max_in_flight = 1000;       ///< Requests of the team that may run at the same time.
  std::vector<QueueName> queues;  ///< Queues that the team may use; empty allows every queue.
  std::string token_sha256;       ///< Lower-case hexadecimal digest of the team's bearer token.
};

/// Order in which a maintenance wave takes instances out of service.
enum class WaveOrder { kRackByRack, kSpread, kLongestSinceMaintenance };

/// Recurring maintenance of the instances of some pools.
struct Wave {
  std::string name;
  std::vector<PoolName> pools;
  WaveOrder order = WaveOrder::kRackByRack;
  Duration instance_timeout = 15min;  ///< An instance out of service for longer counts as failed.
  Duration maintenance_time{};  ///< Typical time of one instance; instance_timeout by default.
  Duration start{};             ///< Start of the daily window, after midnight UTC.
  Duration end = 24h;           ///< End of the daily window; on the next day unless after start.
  Duration every = 24h * 28;    ///< Period in which each instance is maintained once.
  int generation = 1;           ///< Incrementing it restarts the wave.
};

/// Declarative configuration of one environment, as written by its operators.
struct Document {
  std::string environment;
  /// Environment to which the same text may be promoted; if empty, it cannot be promoted.
  std::string promote_to;
  std::vector<Service> services;
  std::vector<Pool> pools;
  std::vector<Queue> queues;
  std::vector<Team> teams;
  std::vector<Wave> waves;
};

/// An error in a document or in process settings.
struct Problem {
  int line = 0;         ///< Line number from 1; 0 when the error has no position.
  std::string key;      ///< Path of the key, such as "queue[0].name".
  std::string message;  ///< What is wrong and which values are allowed.
};

struct ParseResult {
  Document document;  ///< Valid only if there are no problems.
  std::vector<Problem> problems;
};

/// Parses and validates a document. Reports all errors at once, ordered by line.
/// @param text the document in TOML.
ParseResult ParseDocument(std::string_view text);

/// @return whether a document may be active in an environment: its own or the one it may be
///   promoted to.
bool AllowsEnvironment(const Document& document, std::string_view environment);

}  // namespace citronferry::document

#endif  // CITRONFERRY_DOCUMENT_DOCUMENT_H_
