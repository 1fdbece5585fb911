#ifndef CITRONFERRY_DOCUMENT_INTERNAL_FIELDS_H_
#define CITRONFERRY_DOCUMENT_INTERNAL_FIELDS_H_

#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "document/internal/toml_reader.h"
#include "document/settings.h"

namespace citronferry::document {

// Schema of the document. Each section is declared once, as a table of fields that refer to members
// by pointer. The parser, the reference page and the description of changes all use these tables.

template <typename T>
struct BoolType {
  bool T::*member;
};
template <typename T>
struct IntegerType {
  int T::*member;
  int min;
  int max;
};
template <typename T>
struct NumberType {
  double T::*member;
  double min;
  double max;
};
template <typename T>
struct DurationType {
  Duration T::*member;
  Duration min;
  Duration max;
  std::string_view computed_default = "";  ///< Description of the default if it is computed.
};
/// A time of day in UTC, stored as the duration since midnight.
template <typename T>
struct TimeOfDayType {
  Duration T::*member;
};
/// A size in bytes.
template <typename T>
struct SizeType {
  int64_t T::*member;
};
template <typename T>
struct EndpointType {
  Endpoint T::*member;
};
enum class Presence { kRequired, kOptional };
/// A string with a syntax of its own.
template <typename T>
struct TextType {
  Parsed<void> (*check)(std::string_view);
  std::string_view allowed_values;  ///< Description of the syntax, for the reference.
  std::string_view (*get)(const T&);
  void (*assign)(T&, std::string_view);
  Presence presence = Presence::kOptional;
};
/// An array of names.
template <typename T>
struct TextListType {
  std::string_view allowed_values;
  std::vector<std::string> (*get)(const T&);
  void (*append)(T&, std::string_view);
};
/// One of a fixed set of names, accessed by its index in `names`.
template <typename T>
struct ChoiceType {
  std::span<const std::string_view> names;
  size_t (*get)(const T&);
  void (*assign)(T&, size_t);
};

/// Type of a field: where its value is stored and which values are allowed.
template <typename T>
using FieldType =
    std::variant<BoolType<T>, IntegerType<T>, NumberType<T>, DurationType<T>, TimeOfDayType<T>,
                 SizeType<T>, EndpointType<T>, TextType<T>, TextListType<T>, ChoiceType<T>>;

/// Declaration of one key of a section.
template <typename T>
struct Field {
  std::string_view key;
  FieldType<T> type;
  std::string_view unit;    ///< Unit of a number; empty if the value includes it.
  std::string_view effect;  ///< Description for the reference.
};

/// Class and value type of a pointer to a data member.
template <typename Member>
struct MemberTraits;
template <typename C, typename V>
struct MemberTraits<V C::*> {
  using Class = C;
  using Value = V;
};
template <auto kMember>
using ClassOf = typename MemberTraits<decltype(kMember)>::Class;
template <auto kMember>
using ValueOf = typename MemberTraits<decltype(kMember)>::Value;

inline std::string_view ViewOf(const std::string& text) { return text; }
template <typename Tag>
std::string_view ViewOf(const StrongId<Tag>& id) {
  return id.view();
}

/// Declares a string that is stored in a std::string or a StrongId.
template <auto kMember>
constexpr TextType<ClassOf<kMember>> TextOf(Parsed<void> (*check)(std::string_view),
                                            std::string_view allowed_values,
                                            Presence presence = Presence::kOptional) {
  using T = ClassOf<kMember>;
  return {
      .check = check,
      .allowed_values = allowed_values,
      .get = [](const T& object) { return ViewOf(object.*kMember); },
      .assign = [](T& object, std::string_view text) { object.*kMember = ValueOf<kMember>(text); },
      .presence = presence};
}
constexpr std::string_view kNameSyntax = "name: 1 to 64 of letters, digits, `-`, `_`, `.`";
template <auto kMember>
constexpr TextType<ClassOf<kMember>> RequiredName() {
  return TextOf<kMember>(&CheckName, kNameSyntax, Presence::kRequired);
}

/// Declares an array of names that is stored in a vector of StrongId.
template <auto kMember>
constexpr TextListType<ClassOf<kMember>> NamesOf() {
  using T = ClassOf<kMember>;
  return {.allowed_values = "array of names",
          .get =
              [](const T& object) {
                std::vector<std::string> names;
                for (const auto& name : object.*kMember) names.emplace_back(ViewOf(name));
                return names;
              },
          .append = [](T& object, std::string_view text) { (object.*kMember).emplace_back(text); }};
}

/// Declares a choice that is stored in an enumeration.
/// @param names the names of the enumerators, in the order of the enumeration.
template <auto kMember>
constexpr ChoiceType<ClassOf<kMember>> ChoiceOf(std::span<const std::string_view> names) {
  using T = ClassOf<kMember>;
  return {.names = names,
          .get = [](const T& object) { return static_cast<size_t>(object.*kMember); },
          .assign = [](T& object,
                       size_t index) { object.*kMember = static_cast<ValueOf<kMember>>(index); }};
}

// Reading. A member keeps its default if its value is absent or invalid.

template <typename T>
void ReadField(TomlReader& reader, std::string_view key, const BoolType<T>& type, T& object) {
  object.*type.member = reader.Bool(key).value_or(object.*type.member);
}
template <typename T>
void ReadField(TomlReader& reader, std::string_view key, const IntegerType<T>& type, T& object) {
  object.*type.member = reader.Int(key, type.min, type.max).value_or(object.*type.member);
}
template <typename T>
void ReadField(TomlReader& reader, std::string_view key, const NumberType<T>& type, T& object) {
  object.*type.member = reader.Number(key, type.min, type.max).value_or(object.*type.member);
}
template <typename T>
void ReadField(TomlReader& reader, std::string_view key, const DurationType<T>& type, T& object) {
  const auto value = reader.Value(key, &ParseDuration);
  if (!value) return;
  if (*value < type.min || *value > type.max) {
    reader.Report(key,
                  "must be from " + FormatDuration(type.min) + " to " + FormatDuration(type.max));
    return;
  }
  object.*type.member = *value;
}
template <typename T>
void ReadField(TomlReader& reader, std::string_view key, const TimeOfDayType<T>& type, T& object) {
  object.*type.member = reader.Value(key, &ParseTimeOfDay).value_or(object.*type.member);
}
template <typename T>
void ReadField(TomlReader& reader, std::string_view key, const SizeType<T>& type, T& object) {
  object.*type.member = reader.Value(key, &ParseSize).value_or(object.*type.member);
}
template <typename T>
void ReadField(TomlReader& reader, std::string_view key, const EndpointType<T>& type, T& object) {
  if (!reader.Contains(key)) {
    reader.Report(key, "is missing; an IP address and a port are required");
  }
  object.*type.member = reader.Value(key, &ParseAddressAndPort).value_or(Endpoint{});
}
template <typename T>
void ReadField(TomlReader& reader, std::string_view key, const TextType<T>& type, T& object) {
  const auto value = reader.Text(key, type.check);
  if (value) type.assign(object, *value);
  if (type.presence == Presence::kRequired && !reader.Contains(key)) {
    reader.Report(key, "is missing; a string is required");
  }
}
template <typename T>
void ReadField(TomlReader& reader, std::string_view key, const TextListType<T>& type, T& object) {
  for (const std::string& name : reader.Texts(key, &CheckName)) type.append(object, name);
}
template <typename T>
void ReadField(TomlReader& reader, std::string_view key, const ChoiceType<T>& type, T& object) {
  if (const auto index = reader.Choice(key, type.names)) type.assign(object, *index);
}

/// Reads all fields of one TOML table.
template <typename T>
T ReadFields(TomlReader& reader, std::span<const Field<T>> fields) {
  T object;
  for (const Field<T>& field : fields) {
    std::visit([&](const auto& type) { ReadField(reader, field.key, type, object); }, field.type);
  }
  return object;
}

// Rendering of a value in the syntax of the document.

inline std::string Quote(std::string_view text) { return '"' + std::string(text) + '"'; }

template <typename T>
std::string RenderField(const BoolType<T>& type, const T& object) {
  return object.*type.member ? "true" : "false";
}
template <typename T>
std::string RenderField(const IntegerType<T>& type, const T& object) {
  return std::to_string(object.*type.member);
}
template <typename T>
std::string RenderField(const NumberType<T>& type, const T& object) {
  return FormatNumber(object.*type.member);
}
template <typename T>
std::string RenderField(const DurationType<T>& type, const T& object) {
  return Quote(FormatDuration(object.*type.member));
}
template <typename T>
std::string RenderField(const TimeOfDayType<T>& type, const T& object) {
  return Quote(FormatTimeOfDay(object.*type.member));
}
template <typename T>
std::string RenderField(const SizeType<T>& type, const T& object) {
  return Quote(FormatSize(object.*type.member));
}
template <typename T>
std::string RenderField(const EndpointType<T>& type, const T& object) {
  const Endpoint& endpoint = object.*type.member;
  return Quote(endpoint.address + ":" + std::to_string(endpoint.port));
}
template <typename T>
std::string RenderField(const TextType<T>& type, const T& object) {
  return Quote(type.get(object));
}
template <typename T>
std::string RenderField(const TextListType<T>& type, const T& object) {
  std::string text;
  for (const std::string& name : type.get(object)) {
    text += (text.empty() ? "" : ", ") + Quote(name);
  }
  return "[" + text + "]";
}
template <typename T>
std::string RenderField(const ChoiceType<T>& type, const T& object) {
  return Quote(type.names[type.get(object)]);
}
template <typename T>
std::string RenderField(const Field<T>& field, const T& object) {
  return std::visit([&](const auto& type) { return RenderField(type, object); }, field.type);
}

}  // namespace citronferry::document

#endif  // CITRONFERRY_DOCUMENT_INTERNAL_FIELDS_H_
