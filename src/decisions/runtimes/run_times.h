#ifndef CITRONFERRY_DECISIONS_RUNTIMES_RUN_TIMES_H_
#define CITRONFERRY_DECISIONS_RUNTIMES_RUN_TIMES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "base/time.h"
#include "decisions/runtimes/distribution.h"
#include "decisions/runtimes/executor_speeds.h"
#include "decisions/runtimes/prediction.h"

namespace citronferry::runtimes {

/// What is known of a task before it runs.
struct TaskKind {
  std::string_view queue;
  std::string_view image;
  int64_t cpu_millicores = 0;
  Duration declared{};
};

/// A run that succeeded.
struct FinishedRun {
  TaskKind kind;
  Duration took{};
  std::string_view executor;
  std::string_view rack;
  std::string_view job;
};

/// Learns the run times of tasks from finished runs: distributions by queue and image, by queue and
/// size, and by queue of the ratio to the declared time.
class RunTimes {
 public:
  /// Limit of the number of distributions; the least recently used ones are dropped. A pool serves
  /// a few queues with some images each, and 128 keys take 90 KB.
  static constexpr size_t kMaxKeys = 128;
  /// Limit of the length of a queue's or an image's name; others are not learned by name.
  static constexpr size_t kMaxNameLength = 200;

  /// Distributions of one kind of task, to store them and to restore them.
  struct Record {
    std::string queue;
    std::string image;    ///< Empty for the distributions by size and by queue.
    int size = -1;        ///< Size class; -1 for the distributions by image and by queue.
    Distribution times;   ///< In seconds.
    Distribution ratios;  ///< To the declared time.
  };
  /// Everything that is learned, most recently used first.
  struct State {
    std::vector<Record> records;
    std::vector<ExecutorSpeeds::Record> executors;
  };

  /// Learns from a run. If its executor is slow, the factor is taken out of the time, so that the
  /// distributions are those of an ordinary executor.
  void Learn(const FinishedRun& run, TimePoint now);
  /// Predicts the run time of a task on an ordinary executor. Does not allocate.
  /// @return the distribution of the most specific kind with enough runs, scaled towards the
  ///   declared time: the more so, the fewer the runs and the more accurate the declared times of
  ///   the queue have been.
  Prediction Predict(const TaskKind& kind) const;

  ExecutorSpeeds& executors() { return m_executors; }
  const ExecutorSpeeds& executors() const { return m_executors; }
  size_t size() const { return m_entries.size(); }
  /// @return a number that increases with each finished run.
  int64_t learned_runs() const { return m_learned_runs; }

  State state() const;
  /// Adds what a previous owner has learned.
  void Merge(const State& state, TimePoint now);

 private:
  struct KeyView {
    std::string_view queue;
    std::string_view image;
    int size = -1;
  };
  struct Key {
    std::string queue;
    std::string image;
    int size = -1;
  };
  struct Less {
    using is_transparent = void;  // NOLINT(readability-identifier-naming)
    template <typename Left, typename Right>
    bool operator()(const Left& left, const Right& right) const {
      return std::tuple<std::string_view, std::string_view, int>(left.queue, left.image,
                                                                 left.size) <
             std::tuple<std::string_view, std::string_view, int>(right.queue, right.image,
                                                                 right.size);
    }
  };
  struct Entry {
    Distribution times;
    Distribution ratios;
    int64_t used = 0;  // Value of m_learned_runs at the last use.
  };

  Entry& EntryOf(const KeyView& key);
  const Entry* Find(const KeyView& key) const;

  std::map<Key, Entry, Less> m_entries;
  ExecutorSpeeds m_executors;
  int64_t m_learned_runs = 0;
};

}  // namespace citronferry::runtimes

#endif  // CITRONFERRY_DECISIONS_RUNTIMES_RUN_TIMES_H_
