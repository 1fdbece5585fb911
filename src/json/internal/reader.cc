#include "json/reader.h"

#include <cmath>

namespace citronferry::json {

RetVal<bj::value> Parse(std::string_view text) {
  boost::system::error_code error;
  bj::value value = bj::parse({text.data(), text.size()}, error);
  if (error) return Ret(ErrorCode::kInvalidArgument, "not JSON: " + error.message());
  return value;
}

std::optional<int64_t> AsInteger(const bj::value& value) {
  if (const int64_t* number = value.if_int64()) return *number;
  if (const uint64_t* number = value.if_uint64()) return static_cast<int64_t>(*number);
  // Some encoders write integers with a zero fraction. A double holds every integer below 2^53,
  // about 9.007e15.
  constexpr double kMaxExactDouble = 9e15;
  if (const double* number = value.if_double();
      number && std::floor(*number) == *number && std::abs(*number) < kMaxExactDouble) {
    return static_cast<int64_t>(*number);
  }
  return std::nullopt;
}

std::optional<double> AsNumber(const bj::value& value) {
  if (const double* number = value.if_double()) return *number;
  if (const auto number = AsInteger(value)) return static_cast<double>(*number);
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
