#include "document/reference.h"

#include "document/internal/sections.h"

namespace citronferry::document {
namespace {

std::string InlineCode(std::string_view text) { return "`" + std::string(text) + "`"; }

std::string DescribeRange(std::string_view type, const std::string& min, const std::string& max) {
  return std::string(type) + ", " + min + " to " + max;
}

template <typename T>
std::string DescribeType(const BoolType<T>&) {
  return "`true` or `false`";
}
template <typename T>
std::string DescribeType(const IntegerType<T>& type) {
  return DescribeRange("integer", std::to_string(type.min), std::to_string(type.max));
}
template <typename T>
std::string DescribeType(const NumberType<T>& type) {
  return DescribeRange("number", FormatNumber(type.min), FormatNumber(type.max));
}
template <typename T>
std::string DescribeType(const DurationType<T>& type) {
  return DescribeRange("duration", InlineCode(FormatDuration(type.min)),
                       InlineCode(FormatDuration(type.max)));
}
template <typename T>
std::string DescribeType(const TimeOfDayType<T>&) {
  return "time of day, `00:00` to `24:00`";
}
template <typename T>
std::string DescribeType(const SizeType<T>&) {
  return "size";
}
template <typename T>
std::string DescribeType(const EndpointType<T>&) {
  return "IP address and port";
}
template <typename T>
std::string DescribeType(const TextType<T>& type) {
  return std::string(type.allowed_values);
}
template <typename T>
std::string DescribeType(const TextListType<T>& type) {
  return std::string(type.allowed_values);
}
template <typename T>
std::string DescribeType(const ChoiceType<T>& type) {
  std::string names;
  for (std::string_view name : type.names) names += (names.empty() ? "" : ", ") + InlineCode(name);
  return "one of " + names;
}

template <typename T>
std::string DescribeDefault(const Field<T>& field) {
  if (std::holds_alternative<EndpointType<T>>(field.type)) return "required";
  if (const auto* text = std::get_if<TextType<T>>(&field.type)) {
    return text->presence == Presence::kRequired ? "required" : "none";
  }
  if (const auto* duration = std::get_if<DurationType<T>>(&field.type)) {
    if (!duration->computed_default.empty()) return std::string(duration->computed_default);
  }
  return InlineCode(RenderField(field, T()));
}

template <typename T>
std::string RenderFields(std::span<const Field<T>> fields) {
  std::string text =
      "| key | type and range | unit | default | effect |\n| --- | --- | --- | --- | --- |\n";
  for (const Field<T>& field : fields) {
    text += "| " + InlineCode(field.key) + " | " +
            std::visit([](const auto& type) { return DescribeType(type); }, field.type) + " | " +
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
