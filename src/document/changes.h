#ifndef CITRONFERRY_DOCUMENT_CHANGES_H_
#define CITRONFERRY_DOCUMENT_CHANGES_H_

#include <string>
#include <vector>

#include "document/document.h"

namespace citronferry::document {

/// Compares two valid documents and describes the differences for an operator: added and removed
/// items, changed values, instances that change pools, and the effect on maintenance waves (how
/// many instances a wave takes out of service at a time, and how long it takes).
/// @param base the document to compare with, usually the active one.
/// @param next the document that replaces it.
/// @return one line for each difference; empty if the documents are equivalent.
std::vector<std::string> DescribeChanges(const Document& base, const Document& next);

}  // namespace citronferry::document

#endif  // CITRONFERRY_DOCUMENT_CHANGES_H_
