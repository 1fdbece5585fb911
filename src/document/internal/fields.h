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

// Each section is declared once, as a table of fields that point to members. Reading, the reference
// page and the description of changes all work from these tables.

template <typename T>
struct FlagRule {
  bool T::*member;
};
template <typename T>
struct IntegerRule {
  int T::*member;
  int min;
  int max;
};
template <typename T>
struct NumberRule {
  double T::*member;
  double min;
  double max;
};
template <typename T>
struct DurationRule {
  Duration T::*member;
  Duration min;
  Duration max;
  std::string_view fallback = "";  ///< Says which value applies when the default is computed.
};
template <typename T>
struct TimeOfDayRule {
  Duration T::*member;
};
template <typename T>
struct SizeRule {
  int64_t T::*member;
};
template <typename T>
struct EndpointRule {
  Endpoint T::*member;
};
enum class Presence { kRequired, kOptional };
template <typename T>
struct TextRule {
  Parsed<void> (*check)(std::string_view);
  std::string_view allowed;
  std::string_view (*get)(const T&);
  void (*assign)(T&, std::string_view);
  Presence presence = Presence::kOptional;
};
template <typename T>
struct TextListRule {
  std::string_view allowed;
  std::vector<std::string> (*get)(const T&);
  void (*append)(T&, std::string_view);
};
template <typename T>
struct ChoiceRule {
  std::span<const std::string_view> names;
  size_t (*get)(const T&);
  void (*assign)(T&, size_t);
};

template <typename T>
using FieldRule =
    std::variant<FlagRule<T>, IntegerRule<T>, NumberRule<T>, DurationRule<T>, TimeOfDayRule<T>,
                 SizeRule<T>, EndpointRule<T>, TextRule<T>, TextListRule<T>, ChoiceRule<T>>;

template <typename T>
struct Field {
  std::string_view key;
  FieldRule<T> rule;
  std::string_view unit;  ///< Unit of a plain number.
  std::string_view effect;
};

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

/// A text that is read into a string or an identifier.
template <auto kMember>
constexpr TextRule<ClassOf<kMember>> TextOf(Parsed<void> (*check)(std::string_view),
                                            std::string_view allowed,
                                            Presence presence = Presence::kOptional) {
  using T = ClassOf<kMember>;
  return {
      .check = check,
      .allowed = allowed,
      .get = [](const T& object) { return ViewOf(object.*kMember); },
      .assign = [](T& object, std::string_view text) { object.*kMember = ValueOf<kMember>(text); },
      .presence = presence};
}
constexpr std::string_view kNameSyntax = "name: 1 to 64 of letters, digits, `-`, `_`, `.`";
template <auto kMember>
constexpr TextRule<ClassOf<kMember>> RequiredName() {
  return TextOf<kMember>(&CheckName, kNameSyntax, Presence::kRequired);
}

/// A list of names that is read into a vector of identifiers.
template <auto kMember>
constexpr TextListRule<ClassOf<kMember>> NamesOf() {
  using T = ClassOf<kMember>;
  return {.allowed = "array of names",
          .get =
              [](const T& object) {
                std::vector<std::string> names;
                for (const auto& name : object.*kMember) names.emplace_back(ViewOf(name));
                return names;
              },
          .append = [](T& object, std::string_view text) { (object.*kMember).emplace_back(text); }};
}

/// A name that is read into an enumeration with the same order.
template <auto kMember>
constexpr ChoiceRule<ClassOf<kMember>> ChoiceOf(std::span<const std::string_view> names) {
  using T = ClassOf<kMember>;
  return {.names = names,
          .get = [](const T& object) { return static_cast<size_t>(object.*kMember); },
          .assign = [](T& object,
                       size_t index) { object.*kMember = static_cast<ValueOf<kMember>>(index); }};
}

// Reading. An absent or faulty value leaves the default of the member in place.

template <typename T>
void ReadField(TomlReader& reader, std::string_view key, const FlagRule<T>& rule, T& object) {
  object.*rule.member = reader.Bool(key).value_or(object.*rule.member);
}
template <typename T>
void ReadField(TomlReader& reader, std::string_view key, const IntegerRule<T>& rule, T& object) {
  object.*rule.member = reader.Int(key, rule.min, rule.max).value_or(object.*rule.member);
}
template <typename T>
void ReadField(TomlReader& reader, std::string_view key, const NumberRule<T>& rule, T& object) {
  object.*rule.member = reader.Number(key, rule.min, rule.max).value_or(object.*rule.member);
}
template <typename T>
void ReadField(TomlReader& reader, std::string_view key, const DurationRule<T>& rule, T& object) {
  const auto value = reader.Value(key, &ParseDuration);
  if (!value) return;
  if (*value < rule.min || *value > rule.max) {
    reader.Report(key,
                  "must be from " + FormatDuration(rule.min) + " to " + FormatDuration(rule.max));
    return;
  }
  object.*rule.member = *value;
}
template <typename T>
void ReadField(TomlReader& reader, std::string_view key, const TimeOfDayRule<T>& rule, T& object) {
  object.*rule.member = reader.Value(key, &ParseTimeOfDay).value_or(object.*rule.member);
}
template <typename T>
void ReadField(TomlReader& reader, std::string_view key, const SizeRule<T>& rule, T& object) {
  object.*rule.member = reader.Value(key, &ParseSize).value_or(object.*rule.member);
}
template <typename T>
void ReadField(TomlReader& reader, std::string_view key, const EndpointRule<T>& rule, T& object) {
  if (!reader.Contains(key)) {
    reader.Report(key, "is missing; an IP address and a port are required");
  }
  object.*rule.member = reader.Value(key, &ParseAddressAndPort).value_or(Endpoint{});
}
template <typename T>
void ReadField(TomlReader& reader, std::string_view key, const TextRule<T>& rule, T& object) {
  const auto value = reader.Text(key, rule.check);
  if (value) rule.assign(object, *value);
  if (rule.presence == Presence::kRequired && !reader.Contains(key)) {
    reader.Report(key, "is missing; a string is required");
  }
}
template <typename T>
void ReadField(TomlReader& reader, std::string_view key, const TextListRule<T>& rule, T& object) {
  for (const std::string& name : reader.Texts(key, &CheckName)) rule.append(object, name);
}
template <typename T>
void ReadField(TomlReader& reader, std::string_view key, const ChoiceRule<T>& rule, T& object) {
  if (const auto index = reader.Choice(key, rule.names)) rule.assign(object, *index);
}

/// Reads the fields of one table.
template <typename T>
T ReadFields(TomlReader& reader, std::span<const Field<T>> fields) {
  T object;
  for (const Field<T>& field : fields) {
    std::visit([&](const auto& rule) { ReadField(reader, field.key, rule, object); }, field.rule);
  }
  return object;
}

// Rendering of a value, as it is written in the document.

inline std::string Quote(std::string_view text) { return '"' + std::string(text) + '"'; }

template <typename T>
std::string RenderField(const FlagRule<T>& rule, const T& object) {
  return object.*rule.member ? "true" : "false";
}
template <typename T>
std::string RenderField(const IntegerRule<T>& rule, const T& object) {
  return std::to_string(object.*rule.member);
}
template <typename T>
std::string RenderField(const NumberRule<T>& rule, const T& object) {
  return FormatNumber(object.*rule.member);
}
template <typename T>
std::string RenderField(const DurationRule<T>& rule, const T& object) {
  return Quote(FormatDuration(object.*rule.member));
}
template <typename T>
std::string RenderField(const TimeOfDayRule<T>& rule, const T& object) {
  return Quote(FormatTimeOfDay(object.*rule.member));
}
template <typename T>
std::string RenderField(const SizeRule<T>& rule, const T& object) {
  return Quote(FormatSize(object.*rule.member));
}
template <typename T>
std::string RenderField(const EndpointRule<T>& rule, const T& object) {
  const Endpoint& endpoint = object.*rule.member;
  return Quote(endpoint.address + ":" + std::to_string(endpoint.port));
}
template <typename T>
std::string RenderField(const TextRule<T>& rule, const T& object) {
  return Quote(rule.get(object));
}
template <typename T>
std::string RenderField(const TextListRule<T>& rule, const T& object) {
  std::string text;
  for (const std::string& name : rule.get(object)) {
    text += (text.empty() ? "" : ", ") + Quote(name);
  }
  return "[" + text + "]";
}
template <typename T>
std::string RenderField(const ChoiceRule<T>& rule, const T& object) {
  return Quote(rule.names[rule.get(object)]);
}
template <typename T>
std::string RenderField(const Field<T>& field, const T& object) {
  return std::visit([&](const auto& rule) { return RenderField(rule, object); }, field.rule);
}

}  // namespace citronferry::document

#endif  // CITRONFERRY_DOCUMENT_INTERNAL_FIELDS_H_
