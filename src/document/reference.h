#ifndef CITRONFERRY_DOCUMENT_REFERENCE_H_
#define CITRONFERRY_DOCUMENT_REFERENCE_H_

#include <string>

namespace citronferry::document {

/// Renders the reference of all keys of the document and of the process settings, generated from
/// the field tables that the parser uses. docs/settings.md contains it verbatim, which a test
/// checks.
/// @return the reference in Markdown.
std::string RenderReference();

}  // namespace citronferry::document

#endif  // CITRONFERRY_DOCUMENT_REFERENCE_H_
