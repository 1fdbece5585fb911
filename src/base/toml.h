#ifndef CITRONFERRY_BASE_TOML_H_
#define CITRONFERRY_BASE_TOML_H_

// The one place that includes toml++: all of a program has to use it with the same options, or the
// linker mixes parsers that lay out their results differently.

// Debian's shared library is built with exceptions; parse errors are values here.
#define TOML_HEADER_ONLY 1
#define TOML_EXCEPTIONS 0
// toml++ 3.3 asserts that a table header begins with a key character ("[=]" does not) although it
// reports the error a few lines later. The text comes from operators and must not end the process.
#define TOML_ASSERT(expression) static_assert(true)
#include <toml++/toml.h>

#endif  // CITRONFERRY_BASE_TOML_H_
