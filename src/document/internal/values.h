#ifndef CITRONFERRY_DOCUMENT_INTERNAL_VALUES_H_
#define CITRONFERRY_DOCUMENT_INTERNAL_VALUES_H_

#include <boost/leaf.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/time.h"
#include "document/settings.h"

namespace citronferry::document {

/// Error object of boost::leaf with a message that states which values are allowed. The parser of a
/// value raises it, and TomlReader, which knows the key and the line, handles it.
struct ValueError {
  std::string message;
};

template <typename T>
using Parsed = boost::leaf::result<T>;

/// Parses a duration with a unit: "250ms", "30s", "15min", "8h", "28d".
Parsed<Duration> ParseDuration(std::string_view text);
/// Parses a size with a unit: "512MB", "64GB", "16GiB".
/// @return the size in bytes.
Parsed<int64_t> ParseSize(std::string_view text);
/// Parses a time of day "HH:MM" from "00:00" to "24:00".
/// @return the duration since midnight.
Parsed<Duration> ParseTimeOfDay(std::string_view text);
/// Parses "IP:port" or "[IP]:port".
Parsed<Endpoint> ParseAddressAndPort(std::string_view text);

// Syntax checks of strings. Each fails with a ValueError.

/// Accepts a non-empty string without NUL.
Parsed<void> CheckText(std::string_view text);
/// Accepts 1 to 64 letters, digits, '-', '_' and '.'.
Parsed<void> CheckName(std::string_view text);
/// Accepts a SHA-256 digest: 64 lower-case hexadecimal digits.
Parsed<void> CheckDigest(std::string_view text);
/// Accepts "http" or "https", an IP address and a port, without a path.
Parsed<void> CheckUrl(std::string_view text);

/// @return the duration in the syntax of a document, in the largest unit that divides it: "90min".
std::string FormatDuration(Duration duration);
/// @return the duration for display: "1h 30min". Truncated to seconds, or in ms below one second.
std::string DescribeDuration(Duration duration);
/// @return the size in the syntax of a document, in the largest unit that divides it: "64GB".
std::string FormatSize(int64_t bytes);
/// @param after_midnight duration since midnight, truncated to minutes.
/// @return the time of day as "HH:MM".
std::string FormatTimeOfDay(Duration after_midnight);
std::string FormatNumber(double value);

}  // namespace citronferry::document

#endif  // CITRONFERRY_DOCUMENT_INTERNAL_VALUES_H_
