#ifndef CITRONFERRY_DOCUMENT_INTERNAL_VALUES_H_
#define CITRONFERRY_DOCUMENT_INTERNAL_VALUES_H_

#include <boost/leaf.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/time.h"
#include "document/settings.h"

namespace citronferry::document {

/// Error object that says what a value must be. It travels from the innermost parser of a nested
/// value to the reader, which knows the key and the line.
struct ValueFault {
  std::string message;
};

template <typename T>
using Parsed = boost::leaf::result<T>;

/// Parses a duration with a unit: "250ms", "30s", "15min", "8h", "28d".
Parsed<Duration> ParseDuration(std::string_view text);
/// Parses a size with a unit, in bytes: "512MB", "64GB", "16GiB".
Parsed<int64_t> ParseSize(std::string_view text);
/// Parses a time of day "HH:MM" from "00:00" to "24:00", as the time after midnight.
Parsed<Duration> ParseTimeOfDay(std::string_view text);
/// Parses "IP:port" or "[IP]:port".
Parsed<Endpoint> ParseAddressAndPort(std::string_view text);

/// Checks of text values.
Parsed<void> CheckText(std::string_view text);
Parsed<void> CheckName(std::string_view text);
Parsed<void> CheckDigest(std::string_view text);
Parsed<void> CheckUrl(std::string_view text);

/// @return the duration as it is written in a document: "90min".
std::string FormatDuration(Duration duration);
/// @return the duration for people, to the second: "1h 30min".
std::string DescribeDuration(Duration duration);
std::string FormatSize(int64_t bytes);
std::string FormatTimeOfDay(Duration after_midnight);
std::string FormatNumber(double value);

}  // namespace citronferry::document

#endif  // CITRONFERRY_DOCUMENT_INTERNAL_VALUES_H_
