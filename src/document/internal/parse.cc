#include <array>

#include "document/document.h"
#include "document/internal/sections.h"

namespace citronferry::document {
namespace {

constexpr std::array<Field<Document>, 2> kFields{{
    {"environment", TextOf<&Document::environment>(&CheckName, kNameSyntax, Presence::kRequired),
     "", "Environment that the document is for. `apply` accepts \"trial\" only."},
    {"promote_to", TextOf<&Document::promote_to>(&CheckName, kNameSyntax), "",
     "Environment to which `promote` may copy the same text. Absent, it can not be promoted."},
}};

using PathSet = std::set<std::string, std::less<>>;

template <typename T>
void ReadSection(const Section<T>& section, TomlReader& root, Document& document) {
  for (TomlReader& reader : root.Tables(section.name)) {
    (document.*section.items).push_back(ReadFields(reader, section.fields));
    reader.RejectUnknownKeys();
  }
}

template <typename T>
void CheckSection(const Section<T>& section, const Document& document, const PathSet& reported,
                  ProblemCollector& problems) {
  const std::vector<T>& items = document.*section.items;
  for (size_t i = 0; i < items.size(); ++i) {
    const std::string path = std::string(section.name) + "[" + std::to_string(i) + "].";
    for (const ValidationRule<T>& rule : section.rules) {
      for (const ValidationError& error : rule(document, items[i])) {
        // A value that could not be read was replaced by its default, so a second error about it
        // would be misleading.
        if (!reported.contains(path + error.key)) problems.Report(path + error.key, error.message);
      }
    }
  }
}

void ApplyComputedDefaults(Document& document) {
  for (Wave& wave : document.waves) {
    if (wave.maintenance_time == Duration::zero()) wave.maintenance_time = wave.instance_timeout;
  }
}

}  // namespace

std::span<const Field<Document>> DocumentFields() { return kFields; }

bool AllowsEnvironment(const Document& document, std::string_view environment) {
  return !environment.empty() &&
         (document.environment == environment || document.promote_to == environment);
}

ParseResult ParseDocument(std::string_view text) {
  ParseResult result;
  ProblemCollector problems;
  if (const auto table = ParseToml(text, problems)) {
    Document& document = result.document;
    TomlReader root(*table, "", problems);
    document = ReadFields(root, DocumentFields());
    ForEachSection([&](const auto& section) { ReadSection(section, root, document); });
    root.RejectUnknownKeys();
    ApplyComputedDefaults(document);
    if (!document.promote_to.empty() && document.promote_to == document.environment) {
      problems.Report("promote_to", "must differ from environment");
    }
    const PathSet reported = problems.ReportedPaths();
    ForEachSection(
        [&](const auto& section) { CheckSection(section, document, reported, problems); });
  }
  result.problems = problems.TakeSorted();
  return result;
}

}  // namespace citronferry::document
