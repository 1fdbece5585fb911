#ifndef CITRONFERRY_CLI_INTERNAL_FILES_H_
#define CITRONFERRY_CLI_INTERNAL_FILES_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "document/document.h"

namespace citronferry::cli {

/// @return the content of a file, or nothing after printing why it can not be read.
std::optional<std::string> ReadFile(const std::string& path);

/// @return the bearer token in the first line of a file, or nothing after printing why there is
///   none.
std::optional<std::string> ReadTokenFile(const std::string& path);

/// Prints each problem as "file:line: key: message" on standard error.
void PrintProblems(std::string_view file, std::span<const document::Problem> problems);

/// @return the document in a checked text, or nothing after printing its problems.
std::optional<document::Document> ParseAndReport(std::string_view name, std::string_view text);

}  // namespace citronferry::cli

#endif  // CITRONFERRY_CLI_INTERNAL_FILES_H_
