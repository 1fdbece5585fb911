#include "json/reader.h"

#include <cmath>
#include <limits>

namespace citronferry::json {

RetVal<bj::value> Parse(std::string_view text) {
  boost::system::error_code error;
  bj::value value = bj::parse({text.data(), text.size()}, error);
  if (error) return Ret(ErrorCode::kInvalidArgument, "not JSON: " + error.message());
  return value;
}

std::optional<int64_t> AsInteger(const bj::value& value) {
  if (const int64_t* number = value.if_int64()) return *number;
  if (const uint64_t* number = value.if_uint64()) {
    if (*number > static_cast<uint64_t>(std::numeric_limits<int64_t>::max())) return std::nullopt;
    return static_cast<int64_t>(*number);
  }
  // Some encoders write integers with a zero fraction. A double holds every integer below 2^53,
  // about 9.007e15.
  constexpr double kMaxExactDouble = 9e15;
  if (const double* number = value.if_double();
      number && std::floor(*number) == *number && std::abs(*number) < kMaxExactDouble) {
    return static_cast<int64_t>(*number);
  }
  return std::nullopt;
}

int AsCount(const bj::value& value) {
  const int64_t number = AsInteger(value).value_or(0);
  return number >= kCountRange.min && number <= kCountRange.max ? static_cast<int>(number) : 0;
}

std::optional<double> AsNumber(const bj::value& value) {
  if (const double* number = value.if_double()) {
    return std::isfinite(*number) ? std::optional(*number) : std::nullopt;
  }
  if (const uint64_t* number = value.if_uint64()) return static_cast<double>(*number);
  if (const int64_t* number = value.if_int64()) return static_cast<double>(*number);
  return std::nullopt;
}

std::string_view AsText(const bj::value& value) {
  const bj::string* text = value.if_string();
  return text ? std::string_view(text->data(), text->size()) : std::string_view();
}

ObjectReader::ObjectReader(const bj::value& value) : m_object(value.if_object()) {
  if (!m_object) m_error = "not an object";
}

const bj::value* ObjectReader::Find(std::string_view name) const {
  if (!m_object) return nullptr;
  const bj::value* found = m_object->if_contains({name.data(), name.size()});
  return found && !found->is_null() ? found : nullptr;
}

void ObjectReader::Fail(std::string_view name, std::string_view expected) {
  if (m_error.empty()) m_error = std::string(name) + " is not " + std::string(expected);
}

void ObjectReader::Require(std::string_view name) {
  if (!Has(name) && m_error.empty()) m_error = std::string(name) + " is missing";
}

int64_t ObjectReader::Integer(std::string_view name, int64_t fallback) {
  const bj::value* value = Find(name);
  if (!value) return fallback;
  if (const auto number = AsInteger(*value)) return *number;
  Fail(name, "a whole number");
  return fallback;
}

int64_t ObjectReader::Integer(std::string_view name, IntegerRange range, int64_t fallback) {
  const int64_t number = Integer(name, fallback);
  if (number >= range.min && number <= range.max) return number;
  Fail(name, "between " + std::to_string(range.min) + " and " + std::to_string(range.max));
  return fallback;
}

int ObjectReader::Count(std::string_view name, int fallback) {
  return static_cast<int>(Integer(name, kCountRange, fallback));
}

std::vector<int> ObjectReader::Counts(std::string_view name) {
  std::vector<int> counts;
  const bj::array* values = Array(name);
  if (!values) return counts;
  for (const bj::value& value : *values) {
    const auto number = AsInteger(value);
    if (!number || *number < kCountRange.min || *number > kCountRange.max) {
      Fail(name, "a list of counts");
      return {};
    }
    counts.push_back(static_cast<int>(*number));
  }
  return counts;
}

Duration ObjectReader::Interval(std::string_view name, Duration unit) {
  const double units = Number(name);
  const double seconds = units * ToSeconds(unit);
  if (seconds >= 0 && seconds <= ToSeconds(kMaxInterval)) return FromSeconds(seconds);
  Fail(name, "a duration between zero and a year");
  return {};
}

double ObjectReader::Number(std::string_view name, double fallback) {
  const bj::value* value = Find(name);
  if (!value) return fallback;
  if (const auto number = AsNumber(*value)) return *number;
  Fail(name, "a number");
  return fallback;
}

bool ObjectReader::Boolean(std::string_view name, bool fallback) {
  const bj::value* value = Find(name);
  if (!value) return fallback;
  if (const bool* flag = value->if_bool()) return *flag;
  Fail(name, "true or false");
  return fallback;
}

std::string ObjectReader::Text(std::string_view name, std::string_view fallback) {
  const bj::value* value = Find(name);
  if (!value) return std::string(fallback);
  if (value->is_string()) return std::string(AsText(*value));
  Fail(name, "a text");
  return std::string(fallback);
}

const bj::array* ObjectReader::Array(std::string_view name) {
  const bj::value* value = Find(name);
  if (!value) return nullptr;
  if (const bj::array* array = value->if_array()) return array;
  Fail(name, "a list");
  return nullptr;
}

Ret ObjectReader::ret() const {
  return ok() ? MakeOk() : Ret(ErrorCode::kInvalidArgument, m_error);
}

}  // namespace citronferry::json
