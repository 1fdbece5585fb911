#include "fleet/progress_rows.h"

#include <boost/json.hpp>
#include <iterator>
#include <utility>

#include "fleet/tables.h"
#include "telemetry/log.h"

namespace citronferry::fleet {
namespace {

using scheduling::JobProgress;

// For what is in a row besides lists: the state, the team, the number of rows.
constexpr size_t kRowHeaderBytes = 300;

size_t Digits(int64_t number) { return std::to_string(number).size(); }

// Sizes of the elements of a progress in JSON, with the separator.
size_t SizeOf(const JobProgress::Occurrence& occurrence) {
  constexpr size_t kSyntax = 18;
  size_t bytes = kSyntax + Digits(occurrence.number);
  for (const std::string& marks : occurrence.steps) bytes += marks.size() + 3;
  return bytes;
}
size_t SizeOf(const JobProgress::FailedRun& failed) {
  constexpr size_t kSyntax = 6;
  return kSyntax + Digits(failed.occurrence) + Digits(failed.step) + Digits(failed.index) +
         Digits(failed.run);
}
size_t SizeOf(const JobProgress::Checkpoint& saved) {
  constexpr size_t kSyntax = 6;
  return kSyntax + Digits(saved.occurrence) + Digits(saved.step) + Digits(saved.index) +
         boost::json::serialize(boost::json::string(saved.value)).size();
}

// Distributes the parts of a progress over rows, in the order in which they are added.
class RowFiller {
 public:
  explicit RowFiller(const JobProgress& progress) {
    m_rows.push_back({.state = progress.state,
                      .team = progress.team,
                      .finished_occurrences = progress.finished_occurrences});
  }

  // Adds one element to a list of the progress.
  template <typename Element>
  void Add(std::vector<Element> JobProgress::*list, const Element& element) {
    const size_t bytes = SizeOf(element);
    const bool starts_row = bytes > m_left;
    if (bytes > kRowBytes || (starts_row && m_rows.size() == kMaxProgressRows)) {
      ++m_omitted;
      return;
    }
    if (starts_row) {
      m_rows.push_back({.state = m_rows.front().state});
      m_left = kRowBytes;
    }
    m_left -= bytes;
    (m_rows.back().*list).push_back(element);
  }

  ProgressRows Encode() const {
    ProgressRows encoded{.omitted = m_omitted};
    for (const JobProgress& row : m_rows) {
      const bool first = &row == &m_rows.front();
      encoded.values.push_back(EncodeProgress(row, first ? m_rows.size() - 1 : 0));
    }
    return encoded;
  }

 private:
  static constexpr size_t kRowBytes = kMaxRowBytes - kRowHeaderBytes;

  std::vector<JobProgress> m_rows;
  size_t m_left = kRowBytes;
  size_t m_omitted = 0;
};

void Append(JobProgress part, JobProgress& whole) {
  const auto move_to = [](auto& from, auto& to) {
    std::move(from.begin(), from.end(), std::back_inserter(to));
  };
  move_to(part.occurrences, whole.occurrences);
  move_to(part.checkpoints, whole.checkpoints);
  move_to(part.failed_runs, whole.failed_runs);
}

// Completes the progress of the jobs that have further rows.
// @param versions of the first rows; a further row of another version is left from earlier.
QCoro::Task<Ret> ReadParts(RowStore& rows, PoolName pool, const std::map<JobId, int64_t>& versions,
                           StoredProgress& stored) {
  const auto range = co_await ReadPartition(rows, kProgressPartsTable, pool.str());
  if (!range.ok()) co_return range.ret();
  std::map<std::string, const Row*> parts;
  for (const Row& row : range->rows) parts.emplace(row.key.key, &row);
  for (const auto& [job, count] : stored.further_rows) {
    for (size_t part = 1; part <= count; ++part) {
      const auto found = parts.find(ProgressPartKey(pool, job, part).key);
      const bool present = found != parts.end() && found->second->version == versions.at(job);
      auto decoded = present ? DecodeProgress(found->second->value)
                             : RetVal<JobProgress>(Ret(ErrorCode::kNotFound, "a row is missing"));
      if (decoded.ok()) {
        Append(std::move(decoded).value(), stored.jobs.at(job));
        continue;
      }
      Log(LogLevel::kError, "progress_unreadable",
          {{"request", job.view()}, {"part", part}, {"error", decoded.ret().message()}});
      stored.unreadable.insert(job);
    }
  }
  co_return MakeOk();
}

}  // namespace

RowKey ProgressPartKey(const PoolName& pool, const JobId& job, size_t part) {
  return {.table = kProgressPartsTable,
          .partition = pool.str(),
          .key = job.str() + '.' + std::to_string(part)};
}

ProgressRows EncodeProgressRows(const JobProgress& progress) {
  std::string whole = EncodeProgress(progress);
  if (whole.size() <= kMaxRowBytes) return {.values = {std::move(whole)}};
  RowFiller filler(progress);
  for (const auto& occurrence : progress.occurrences) {
    filler.Add(&JobProgress::occurrences, occurrence);
  }
  for (const auto& failed : progress.failed_runs) filler.Add(&JobProgress::failed_runs, failed);
  for (const auto& saved : progress.checkpoints) filler.Add(&JobProgress::checkpoints, saved);
  return filler.Encode();
}

QCoro::Task<RetVal<StoredProgress>> ReadProgress(RowStore& rows, PoolName pool) {
  const auto range = co_await ReadPartition(rows, kProgressTable, pool.str());
  if (!range.ok()) co_return range.ret();
  StoredProgress stored;
  std::map<JobId, int64_t> versions;
  for (const Row& row : range->rows) {
    const JobId job(row.key.key);
    size_t further_rows = 0;
    auto progress = DecodeProgress(row.value, &further_rows);
    if (!progress.ok()) {
      Log(LogLevel::kError, "progress_unreadable",
          {{"request", row.key.key}, {"error", progress.ret().message()}});
      stored.unreadable.insert(job);
      continue;
    }
    stored.jobs.emplace(job, std::move(progress).value());
    if (further_rows == 0) continue;
    stored.further_rows.emplace(job, further_rows);
    versions.emplace(job, row.version);
  }
  if (!stored.further_rows.empty()) {
    const Ret read = co_await ReadParts(rows, pool, versions, stored);
    if (!read.ok()) co_return read;
  }
  for (const JobId& job : stored.unreadable) stored.jobs.erase(job);
  co_return stored;
}

}  // namespace citronferry::fleet
