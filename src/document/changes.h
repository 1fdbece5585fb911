#ifndef CITRONFERRY_DOCUMENT_CHANGES_H_
#define CITRONFERRY_DOCUMENT_CHANGES_H_

#include <string>
#include <vector>

#include "document/document.h"

namespace citronferry::document {

/// Describes in words what changes from one checked document to another: what is added, removed or
/// set to another value, which instances move, what waves may take out, and how long they take.
/// @return one line for each change; empty when the documents mean the same.
std::vector<std::string> DescribeChanges(const Document& base, const Document& next);

}  // namespace citronferry::document

#endif  // CITRONFERRY_DOCUMENT_CHANGES_H_
