#ifndef CITRONFERRY_DOCUMENT_TESTS_TEST_DOCUMENTS_H_
#define CITRONFERRY_DOCUMENT_TESTS_TEST_DOCUMENTS_H_

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>
#include <string_view>

namespace citronferry::document {

/// @param path path relative to the root of the repository.
/// @return the content of the file.
inline std::string ReadRepositoryFile(std::string_view path) {
  std::ifstream file(CITRONFERRY_SOURCE_DIR "/" + std::string(path));
  EXPECT_TRUE(file.is_open()) << path;
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

/// @return a document without errors that uses every section.
inline std::string ValidDocument() {
  return ReadRepositoryFile("src/document/tests/data/valid.toml");
}

/// @return the text with the first occurrence of `from` replaced. Fails the test if there is none.
inline std::string Replace(std::string text, std::string_view from, std::string_view to) {
  const size_t position = text.find(from);
  EXPECT_NE(position, std::string::npos) << from;
  if (position != std::string::npos) text.replace(position, from.size(), to);
  return text;
}

}  // namespace citronferry::document

#endif  // CITRONFERRY_DOCUMENT_TESTS_TEST_DOCUMENTS_H_
