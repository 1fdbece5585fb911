#ifndef CITRONFERRY_BASE_RET_H_
#define CITRONFERRY_BASE_RET_H_

#include <cassert>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace citronferry {

/// Kinds of failure that callers handle differently.
enum class ErrorCode {
  kOk,
  kInvalidArgument,
  kUnauthenticated,
  kPermissionDenied,
  kNotFound,
  kConflict,  ///< A conditional write failed because another writer came first.
  kResourceExhausted,
  kCancelled,
  kDeadlineExceeded,  ///< The deadline passed before the operation was started.
  kUnavailable,       ///< The operation was not started; retrying is safe.
  kUnknownOutcome,    ///< The operation may or may not have taken effect.
  kInternal,
};

/// @return the stable snake_case name of a code, as used in logs and responses.
std::string_view ErrorCodeName(ErrorCode code);

/// Result of an operation that returns no value: success, or an error code with a message.
class [[nodiscard]] Ret {
 public:
  Ret() = default;
  Ret(ErrorCode code, std::string message) : m_code(code), m_message(std::move(message)) {}

  bool ok() const { return m_code == ErrorCode::kOk; }
  explicit operator bool() const { return ok(); }
  ErrorCode code() const { return m_code; }
  std::string_view message() const { return m_message; }

 private:
  ErrorCode m_code = ErrorCode::kOk;
  std::string m_message;
};

/// @return a successful result.
inline Ret MakeOk() { return Ret(); }

/// Result of an operation that returns a value on success and a Ret on failure.
template <typename T>
class [[nodiscard]] RetVal {
 public:
  // Implicit, so that functions can return a value or an error directly.
  RetVal(T value) : m_value(std::move(value)) {}  // NOLINT(google-explicit-constructor)
  RetVal(Ret ret) : m_ret(std::move(ret)) {       // NOLINT(google-explicit-constructor)
    assert(!m_ret.ok());
  }

  bool ok() const { return m_value.has_value(); }
  explicit operator bool() const { return ok(); }
  const Ret& ret() const { return m_ret; }
  ErrorCode code() const { return m_ret.code(); }

  const T& value() const& { return *m_value; }
  T& value() & { return *m_value; }
  T&& value() && { return std::move(*m_value); }
  const T* operator->() const { return &*m_value; }
  T* operator->() { return &*m_value; }

 private:
  std::optional<T> m_value;
  Ret m_ret;
};

}  // namespace citronferry

#endif  // CITRONFERRY_BASE_RET_H_
