#ifndef CITRONFERRY_NODE_JOBS_JOB_STORE_H_
#define CITRONFERRY_NODE_JOBS_JOB_STORE_H_

#include <qcoro/qcorotask.h>

#include "decisions/jobs/types.h"
#include "node/node_context.h"

namespace citronferry::node {

/// Rows that changed, and the position in the change feed from which the next read continues.
struct JobChanges {
  std::vector<jobs::JobRow> rows;
  uint64_t last_sequence = 0;
};

/// Reads and writes the table rows of durable jobs. Large bodies are kept in the object store.
class JobStore {
 public:
  JobStore(provider::TableService& tables, provider::ObjectStore& objects)
      : m_tables(tables), m_objects(objects) {}

  /// @return the identifier of a job, which is the same for each repetition of its submission.
  static JobId MakeId(const TeamName& team, std::string_view request_key);

  /// Writes a new job, with a large body in the object store. If the response to the write is lost,
  /// the row is read back.
  /// @return the new row, or the row of an earlier submission with the same identifier;
  ///   kUnavailable when certainly nothing was written; kUnknownOutcome when that is not known.
  QCoro::Task<RetVal<jobs::JobRow>> Accept(JobId id, jobs::Job job);
  /// @return the row; kNotFound when there is none; kInternal when it is invalid.
  QCoro::Task<RetVal<jobs::JobRow>> Read(JobId id);
  /// Replaces a row if its version is still that of row.
  /// @return the new row; kConflict when another writer has changed it; kUnavailable when certainly
  ///   nothing was written; kUnknownOutcome when that is not known.
  QCoro::Task<RetVal<jobs::JobRow>> Replace(jobs::JobRow row, jobs::Job job);
  /// @param after sequence number after which the change feed is read.
  /// @return the rows that changed; invalid rows are left out.
  QCoro::Task<RetVal<JobChanges>> ReadChanges(uint64_t after);

  /// @return the body of a job, fetched from the object store if it is kept there.
  QCoro::Task<RetVal<std::string>> LoadJobBody(jobs::Job job);
  /// Moves the body of an answer to the object store if it is large.
  /// @return the answer with its body or the key of the body.
  QCoro::Task<RetVal<requests::Answer>> StoreAnswer(requests::Answer answer);
  /// @return the answer with its body, fetched from the object store if it is kept there.
  QCoro::Task<RetVal<requests::Answer>> LoadAnswer(requests::Answer answer);

 private:
  provider::TableService& m_tables;
  provider::ObjectStore& m_objects;
};

}  // namespace citronferry::node

#endif  // CITRONFERRY_NODE_JOBS_JOB_STORE_H_
