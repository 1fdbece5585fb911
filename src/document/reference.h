#ifndef CITRONFERRY_DOCUMENT_REFERENCE_H_
#define CITRONFERRY_DOCUMENT_REFERENCE_H_

#include <string>

namespace citronferry::document {

/// @return a Markdown reference of every key of the document and of the process settings, made from
///   the tables that the parser uses. docs/settings.md contains it word for word.
std::string RenderReference();

}  // namespace citronferry::document

#endif  // CITRONFERRY_DOCUMENT_REFERENCE_H_
