#ifndef CITRONFERRY_DOCUMENT_INTERNAL_SECTIONS_H_
#define CITRONFERRY_DOCUMENT_INTERNAL_SECTIONS_H_

#include <algorithm>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "document/internal/fields.h"

namespace citronferry::document {

/// A fault that a rule found in one item of a section.
struct Fault {
  std::string key;  ///< Key within the item.
  std::string message;
};

/// A rule checks one item against the whole document.
template <typename T>
using Rule = std::vector<Fault> (*)(const Document& document, const T& item);

/// Declaration of an array of tables: its keys, where its items are kept, and its rules.
template <typename T>
struct Section {
  std::string_view name;
  std::string_view purpose;
  std::vector<T> Document::*items;
  std::span<const Field<T>> fields;
  std::span<const Rule<T>> rules;
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

/// @return the item with a name, or null.
template <typename T, typename Name>
const T* FindByName(const std::vector<T>& items, const Name& name) {
  const auto found =
      std::find_if(items.begin(), items.end(), [&](const T& item) { return item.name == name; });
  return found == items.end() ? nullptr : &*found;
}

/// @return the names of items, for messages.
template <typename T>
std::string ListNames(const std::vector<T>& items) {
  std::string names;
  for (const T& item : items) {
    names += (names.empty() ? "" : ", ") + std::string(ViewOf(item.name));
  }
  return names.empty() ? "none" : names;
}

/// Rule: the name of an item is not that of an earlier one.
template <typename T, std::vector<T> Document::*kItems>
std::vector<Fault> RequireUniqueName(const Document& document, const T& item) {
  const T* first = FindByName(document.*kItems, item.name);
  if (first == &item) return {};
  return {{"name", "\"" + std::string(ViewOf(item.name)) +
                       "\" is used by an earlier table; names must be unique"}};
}

}  // namespace citronferry::document

#endif  // CITRONFERRY_DOCUMENT_INTERNAL_SECTIONS_H_
