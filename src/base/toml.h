#ifndef CITRONFERRY_BASE_TOML_H_
#define CITRONFERRY_BASE_TOML_H_

// The only file that includes toml++. All translation units must use the same options: otherwise
// the one-definition rule is violated and the linker mixes parsers with different result layouts.

// Debian's shared library is built with exceptions; parse errors are values here.
#define TOML_HEADER_ONLY 1
#define TOML_EXCEPTIONS 0
// toml++ 3.3 asserts that a table header begins with a key character ("[=]" does not), although it
// reports the error a few lines later. The text comes from operators, so invalid text must not
// abort the process.
#define TOML_ASSERT(expression) static_assert(true)
#include <toml++/toml.h>

#endif  // CITRONFERRY_BASE_TOML_H_
