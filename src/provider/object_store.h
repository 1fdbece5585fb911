#ifndef CITRONFERRY_PROVIDER_OBJECT_STORE_H_
#define CITRONFERRY_PROVIDER_OBJECT_STORE_H_

#include <qcoro/qcorotask.h>

#include <string>

#include "base/ret.h"

namespace citronferry::provider {

/// The platform's content-addressed object store. The key of an object is the digest of its
/// content, so objects never change.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  /// Writes an object. The call is idempotent.
  /// @param key digest of the content.
  virtual QCoro::Task<Ret> Put(std::string key, std::string content) = 0;
  /// @return the content; kNotFound when the object does not exist.
  virtual QCoro::Task<RetVal<std::string>> Get(std::string key) = 0;
};

}  // namespace citronferry::provider

#endif  // CITRONFERRY_PROVIDER_OBJECT_STORE_H_
