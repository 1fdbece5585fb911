#ifndef CITRONFERRY_PROVIDER_OBJECT_STORE_H_
#define CITRONFERRY_PROVIDER_OBJECT_STORE_H_

#include <qcoro/qcorotask.h>

#include <string>

#include "base/ret.h"

namespace citronferry::provider {

/// The platform's object store. Objects are addressed by their digest and never change.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  /// Writes an object; writing the same object again is harmless.
  virtual QCoro::Task<Ret> Put(std::string key, std::string content) = 0;
  /// @return the content; kNotFound when there is no such object.
  virtual QCoro::Task<RetVal<std::string>> Get(std::string key) = 0;
};

}  // namespace citronferry::provider

#endif  // CITRONFERRY_PROVIDER_OBJECT_STORE_H_
