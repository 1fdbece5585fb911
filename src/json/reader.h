#ifndef CITRONFERRY_JSON_READER_H_
#define CITRONFERRY_JSON_READER_H_

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ret.h"
#include "base/time.h"

namespace citronferry::json {

namespace bj = boost::json;

/// Parses a JSON document.
/// @return kInvalidArgument with the parser's message when the text is not valid JSON.
RetVal<bj::value> Parse(std::string_view text);

/// Limits of a whole number, both inclusive.
struct IntegerRange {
  int64_t min = 0;
  int64_t max = 0;
};

/// Limits of numbers that count things. Sums and products of several of them fit 64 bits.
inline constexpr IntegerRange kCountRange{.min = 0, .max = 1'000'000'000};
/// Limits of times in milliseconds, of the wall clock or of the steady clock of another process;
/// the upper one is in the year 5138.
inline constexpr IntegerRange kClockRange{.min = 0, .max = 100'000'000'000'000};
/// Longest duration that another process may name.
inline constexpr Duration kMaxInterval = 365 * 24h;

/// Reads the members of a JSON object by name and type. Absent and null members yield the fallback.
/// The first member of another type is kept as the error.
class ObjectReader {
 public:
  /// @param value if it is not an object, the reader holds an error and every member is absent. It
  ///   must outlive the reader.
  explicit ObjectReader(const bj::value& value);

  bool Has(std::string_view name) const { return Find(name) != nullptr; }
  int64_t Integer(std::string_view name, int64_t fallback = 0);
  /// Reads a whole number and fails if it is outside a range.
  int64_t Integer(std::string_view name, IntegerRange range, int64_t fallback = 0);
  /// Reads a whole number within kCountRange.
  int Count(std::string_view name, int fallback = 0);
  /// Reads a list of whole numbers within kCountRange. An absent member is an empty list.
  std::vector<int> Counts(std::string_view name);
  /// Reads a number of units of time, from zero to kMaxInterval. An absent member is zero.
  Duration Interval(std::string_view name, Duration unit = 1ms);
  double Number(std::string_view name, double fallback = 0);
  bool Boolean(std::string_view name, bool fallback = false);
  std::string Text(std::string_view name, std::string_view fallback = {});
  /// @return the array, or nullptr when it is absent or of another type.
  const bj::array* Array(std::string_view name);
  /// @return the member of any type, or nullptr when it is absent or null.
  const bj::value* Find(std::string_view name) const;
  /// Sets the error when a member is absent, unless an error is set already.
  void Require(std::string_view name);

  bool ok() const { return m_error.empty(); }
  /// @return success, or kInvalidArgument with the first error.
  Ret ret() const;

 private:
  void Fail(std::string_view name, std::string_view expected);

  const bj::object* m_object;
  std::string m_error;
};

/// @return the number if it is an integer that fits 64 bits with sign, also when written with a
/// zero
///   fraction, or nothing.
std::optional<int64_t> AsInteger(const bj::value& value);
/// @return the number if it is an integer within kCountRange, otherwise 0.
int AsCount(const bj::value& value);
/// @return the number with its fraction, or nothing if it is not finite or the value is of another
///   type.
std::optional<double> AsNumber(const bj::value& value);
/// @return the string, or an empty one if the value is of another type.
std::string_view AsText(const bj::value& value);

}  // namespace citronferry::json

#endif  // CITRONFERRY_JSON_READER_H_
