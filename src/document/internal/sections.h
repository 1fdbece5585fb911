#ifndef CITRONFERRY_DOCUMENT_INTERNAL_SECTIONS_H_
#define CITRONFERRY_DOCUMENT_INTERNAL_SECTIONS_H_

#include <algorithm>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "document/internal/fields.h"

namespace citronferry::document {

/// An error that a validation rule found in one item of a section.
struct ValidationError {
  std::string key;  ///< Key relative to the item.
  std::string message;
};

/// Validates one item in the context of the whole document.
template <typename T>
using ValidationRule = std::vector<ValidationError> (*)(const Document& document, const T& item);

/// Declaration of an array of tables: its keys, the member that stores its items, and its rules.
template <typename T>
struct Section {
  std::string_view name;
  std::string_view purpose;  ///< Description for the reference.
  std::vector<T> Document::*items;
  std::span<const Field<T>> fields;
  std::span<const ValidationRule<T>> rules;
};

Section<Service> ServiceSection();
Section<Pool> PoolSection();
Section<Queue> QueueSection();
Section<Team> TeamSection();
Section<Wave> WaveSection();

std::span<const Field<Document>> DocumentFields();
std::span<const Field<Settings>> SettingsFields();

/// Applies an operation to each section, in the order of the document.
template <typename Operation>
void ForEachSection(Operation operation) {
  operation(ServiceSection());
  operation(PoolSection());
  operation(QueueSection());
  operation(TeamSection());
  operation(WaveSection());
}

/// @return the first item with a name, or null.
template <typename T, typename Name>
const T* FindByName(const std::vector<T>& items, const Name& name) {
  const auto found =
      std::find_if(items.begin(), items.end(), [&](const T& item) { return item.name == name; });
  return found == items.end() ? nullptr : &*found;
}

/// @return the names of the items, separated by commas, or "none".
template <typename T>
std::string ListNames(const std::vector<T>& items) {
  std::string names;
  for (const T& item : items) {
    names += (names.empty() ? "" : ", ") + std::string(ViewOf(item.name));
  }
  return names.empty() ? "none" : names;
}

/// Rule: names are unique within a section.
template <typename T, std::vector<T> Document::*kItems>
std::vector<ValidationError> RequireUniqueName(const Document& document, const T& item) {
  const T* first = FindByName(document.*kItems, item.name);
  if (first == &item) return {};
  return {{"name", "\"" + std::string(ViewOf(item.name)) +
                       "\" is used by an earlier table; names must be unique"}};
}

}  // namespace citronferry::document

#endif  // CITRONFERRY_DOCUMENT_INTERNAL_SECTIONS_H_
