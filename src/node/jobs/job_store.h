#ifndef CITRONFERRY_NODE_JOBS_JOB_STORE_H_
#define CITRONFERRY_NODE_JOBS_JOB_STORE_H_

#include <qcoro/qcorotask.h>

#include "decisions/jobs/types.h"
#include "node/node_context.h"

namespace citronferry::node {

/// Rows that changed and where the next read continues.
struct JobChanges {
  std::vector<jobs::JobRow> rows;
  uint64_t last_sequence = 0;
};

/// Reads and writes the rows of durable jobs.
class JobStore {
 public:
  JobStore(provider::TableService& tables, provider::ObjectStore& objects)
      : m_tables(tables), m_objects(objects) {}

  /// @return the identifier of a job, the same for each repetition of its request.
  static JobId MakeId(const TeamName& team, std::string_view request_key);

  /// Writes a new job, with a large body in the object store. A lost answer is resolved by reading
  /// the row back.
  /// @return the new row, or the row of an earlier request with the same identifier;
  ///   kUnavailable when certainly nothing was written; kUnknownOutcome when that is not known.
  QCoro::Task<RetVal<jobs::JobRow>> Accept(JobId id, jobs::Job job);
  QCoro::Task<RetVal<jobs::JobRow>> Read(JobId id);
  /// Replaces a row if it still has the version of row.
  /// @return the new row; kConflict when somebody else has changed it; kUnavailable when certainly
  ///   nothing was written; kUnknownOutcome when that is not known.
  QCoro::Task<RetVal<jobs::JobRow>> Replace(jobs::JobRow row, jobs::Job job);
  QCoro::Task<RetVal<JobChanges>> ReadChanges(uint64_t after);

  QCoro::Task<RetVal<std::string>> LoadJobBody(jobs::Job job);
  /// Moves a large body of an answer to the object store.
  QCoro::Task<RetVal<requests::Answer>> StoreAnswer(requests::Answer answer);
  /// Fetches the body of an answer from the object store.
  QCoro::Task<RetVal<requests::Answer>> LoadAnswer(requests::Answer answer);

 private:
  provider::TableService& m_tables;
  provider::ObjectStore& m_objects;
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_JOBS_JOB_STORE_H_
