#ifndef CITRONFERRY_CLI_INTERNAL_FILES_H_
#define CITRONFERRY_CLI_INTERNAL_FILES_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "document/document.h"

namespace citronferry::cli {

/// Reads a file. Prints an error if that fails.
/// @return the content, or nothing after an error.
std::optional<std::string> ReadFile(const std::string& path);

/// Reads a bearer token from the first line of a file. Prints an error if that fails.
/// @return the token, or nothing after an error.
std::optional<std::string> ReadTokenFile(const std::string& path);

/// Prints each problem as "file:line: key message" on standard error.
void PrintProblems(std::string_view file, std::span<const document::Problem> problems);

/// Parses and validates a document. Prints its problems.
/// @param name name of the document in messages.
/// @return the document, or nothing if it has problems.
std::optional<document::Document> ParseAndReport(std::string_view name, std::string_view text);

}  // namespace citronferry::cli

#endif  // CITRONFERRY_CLI_INTERNAL_FILES_H_
