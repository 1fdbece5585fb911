#include "document/reference.h"

#include "document/internal/sections.h"

namespace citronferry::document {
namespace {

std::string Code(std::string_view text) { return "`" + std::string(text) + "`"; }

std::string Range(std::string_view type, const std::string& min, const std::string& max) {
  return std::string(type) + ", " + min + " to " + max;
}

template <typename T>
std::string DescribeRule(const FlagRule<T>&) {
  return "`true` or `false`";
}
template <typename T>
std::string DescribeRule(const IntegerRule<T>& rule) {
  return Range("integer", std::to_string(rule.min), std::to_string(rule.max));
}
template <typename T>
std::string DescribeRule(const NumberRule<T>& rule) {
  return Range("number", FormatNumber(rule.min), FormatNumber(rule.max));
}
template <typename T>
std::string DescribeRule(const DurationRule<T>& rule) {
  return Range("duration", Code(FormatDuration(rule.min)), Code(FormatDuration(rule.max)));
}
template <typename T>
std::string DescribeRule(const TimeOfDayRule<T>&) {
  return "time of day, `00:00` to `24:00`";
}
template <typename T>
std::string DescribeRule(const SizeRule<T>&) {
  return "size";
}
template <typename T>
std::string DescribeRule(const EndpointRule<T>&) {
  return "IP address and port";
}
template <typename T>
std::string DescribeRule(const TextRule<T>& rule) {
  return std::string(rule.allowed);
}
template <typename T>
std::string DescribeRule(const TextListRule<T>& rule) {
  return std::string(rule.allowed);
}
template <typename T>
std::string DescribeRule(const ChoiceRule<T>& rule) {
  std::string names;
  for (std::string_view name : rule.names) names += (names.empty() ? "" : ", ") + Code(name);
  return "one of " + names;
}

template <typename T>
std::string DescribeDefault(const Field<T>& field) {
  if (std::holds_alternative<EndpointRule<T>>(field.rule)) return "required";
  if (const auto* text = std::get_if<TextRule<T>>(&field.rule)) {
    return text->presence == Presence::kRequired ? "required" : "none";
  }
  if (const auto* duration = std::get_if<DurationRule<T>>(&field.rule)) {
    if (!duration->fallback.empty()) return std::string(duration->fallback);
  }
  return Code(RenderField(field, T()));
}

template <typename T>
std::string RenderFields(std::span<const Field<T>> fields) {
  std::string text =
      "| key | type and range | unit | default | effect |\n| --- | --- | --- | --- | --- |\n";
  for (const Field<T>& field : fields) {
    text += "| " + Code(field.key) + " | " +
            std::visit([](const auto& rule) { return DescribeRule(rule); }, field.rule) + " | " +
            std::string(field.unit) + " | " + DescribeDefault(field) + " | " +
            std::string(field.effect) + " |\n";
  }
  return text;
}

}  // namespace

std::string RenderReference() {
  std::string text = "## Environment document\n\n### Top level\n\n";
  text += RenderFields(DocumentFields());
  ForEachSection([&](const auto& section) {
    text += "\n### `[[" + std::string(section.name) + "]]`\n\n" + std::string(section.purpose) +
            "\n\n" + RenderFields(section.fields);
  });
  text += "\n## Process settings\n\n";
  return text + RenderFields(SettingsFields());
}

}  // namespace citronferry::document
