#ifndef CITRONFERRY_JSON_READER_H_
#define CITRONFERRY_JSON_READER_H_

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/ret.h"

namespace citronferry::json {

namespace bj = boost::json;

/// Parses a document.
/// @return kInvalidArgument with the position's reason when the text is not JSON.
RetVal<bj::value> Parse(std::string_view text);

/// Reads the members of one object with their types. The first member that has another type is
/// kept as the error; absent members take the fallback.
class ObjectReader {
 public:
  /// @param value need not be an object; if it is not, every read sets the error.
  explicit ObjectReader(const bj::value& value);

  bool Has(std::string_view name) const { return Find(name) != nullptr; }
  int64_t Integer(std::string_view name, int64_t fallback = 0);
  double Number(std::string_view name, double fallback = 0);
  bool Boolean(std::string_view name, bool fallback = false);
  std::string Text(std::string_view name, std::string_view fallback = {});
  /// @return the array, or nullptr when it is absent.
  const bj::array* Array(std::string_view name);
  /// @return the member of any type, or nullptr when it is absent.
  const bj::value* Find(std::string_view name) const;
  /// Sets the error when a member is absent.
  void Require(std::string_view name);

  bool ok() const { return m_error.empty(); }
  /// @return success, or kInvalidArgument with the first error.
  Ret ret() const;

 private:
  void Fail(std::string_view name, std::string_view expected);

  const bj::object* m_object;
  std::string m_error;
};

/// @return the number as an integer if it has no fraction.
std::optional<int64_t> AsInteger(const bj::value& value);
/// @return the number with fraction.
std::optional<double> AsNumber(const bj::value& value);
/// @return the text, or empty if the value is of another type.
std::string_view AsText(const bj::value& value);

}  // namespace citronferry::json

#endif  // CITRONFERRY_JSON_READER_H_
