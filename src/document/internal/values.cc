#include "document/internal/values.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <limits>
#include <optional>
#include <span>

namespace citronferry::document {
namespace {

namespace leaf = boost::leaf;

constexpr size_t kMaxNameLength = 64;

struct Unit {
  std::string_view suffix;
  int64_t factor;
};

constexpr std::array<Unit, 5> kTimeUnits{{{"ms", Duration(1ms).count()},
                                          {"s", Duration(1s).count()},
                                          {"min", Duration(1min).count()},
                                          {"h", Duration(1h).count()},
                                          {"d", Duration(24h).count()}}};
constexpr std::array<Unit, 6> kSizeUnits{{{"MB", 1'000'000},
                                          {"MiB", int64_t{1} << 20},
                                          {"GB", 1'000'000'000},
                                          {"GiB", int64_t{1} << 30},
                                          {"TB", 1'000'000'000'000},
                                          {"TiB", int64_t{1} << 40}}};

auto Fail(std::string_view message) {
  return leaf::new_error(ValueError{.message = std::string(message)});
}

template <typename T>
std::optional<T> ParseInteger(std::string_view text) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::optional<int64_t> ParseWithUnit(std::string_view text, std::span<const Unit> units) {
  const size_t digits = std::min(text.find_first_not_of("0123456789"), text.size());
  const auto count = ParseInteger<int64_t>(text.substr(0, digits));
  const auto unit = std::find_if(units.begin(), units.end(), [&](const Unit& candidate) {
    return candidate.suffix == text.substr(digits);
  });
  if (!count || unit == units.end()) return std::nullopt;
  if (*count > std::numeric_limits<int64_t>::max() / unit->factor) return std::nullopt;
  return *count * unit->factor;
}

/// @param value value in the base unit of `units`: microseconds or bytes.
/// @return the value in the largest unit that divides it.
std::string FormatWithUnit(int64_t value, std::span<const Unit> units) {
  for (auto unit = units.rbegin(); unit != units.rend(); ++unit) {
    if (value >= unit->factor && value % unit->factor == 0) {
      return std::to_string(value / unit->factor) + std::string(unit->suffix);
    }
  }
  return std::to_string(value / units.front().factor) + std::string(units.front().suffix);
}

Parsed<std::string> ParseIpAddress(std::string_view text) {
  std::string address(text);
  std::array<unsigned char, sizeof(in6_addr)> buffer{};
  // inet_pton stops at an embedded NUL.
  if (address.find('\0') == std::string::npos &&
      (inet_pton(AF_INET, address.c_str(), buffer.data()) == 1 ||
       inet_pton(AF_INET6, address.c_str(), buffer.data()) == 1)) {
    return address;
  }
  return Fail("must contain an IP address; host names are not resolved");
}

Parsed<uint16_t> ParsePort(std::string_view text) {
  const auto port = ParseInteger<uint16_t>(text);
  if (!port) return Fail("must end in a port from 0 to 65535");
  return *port;
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '_' || c == '.';
}

}  // namespace

Parsed<Duration> ParseDuration(std::string_view text) {
  const auto value = ParseWithUnit(text, kTimeUnits);
  if (!value) return Fail("must be a duration with a unit (ms, s, min, h, d), such as \"30s\"");
  return Duration(*value);
}

Parsed<int64_t> ParseSize(std::string_view text) {
  const auto value = ParseWithUnit(text, kSizeUnits);
  if (!value) {
    return Fail("must be a size with a unit (MB, GB, TB, MiB, GiB, TiB), such as \"64GB\"");
  }
  return *value;
}

Parsed<Duration> ParseTimeOfDay(std::string_view text) {
  if (text.size() == 5 && text[2] == ':') {
    const auto hours = ParseInteger<unsigned>(text.substr(0, 2));
    const auto minutes = ParseInteger<unsigned>(text.substr(3));
    if (hours && minutes && *minutes < 60 && *hours * 60 + *minutes <= 24 * 60) {
      return Duration(std::chrono::minutes(*hours * 60 + *minutes));
    }
  }
  return Fail("must be a time of day in UTC from \"00:00\" to \"24:00\"");
}

Parsed<Endpoint> ParseAddressAndPort(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return Fail("must be an IP address and a port, such as \"127.0.0.1:7100\"");
  }
  std::string_view host = text.substr(0, colon);
  const bool bracketed = host.starts_with('[') && host.ends_with(']');
  if (bracketed) host = host.substr(1, host.size() - 2);
  if (bracketed != (host.find(':') != std::string_view::npos)) {
    return Fail("must put an IPv6 address, and nothing else, in brackets: \"[::1]:7100\"");
  }
  BOOST_LEAF_AUTO(address, ParseIpAddress(host));
  BOOST_LEAF_AUTO(port, ParsePort(text.substr(colon + 1)));
  return Endpoint{.address = std::move(address), .port = port};
}

Parsed<void> CheckText(std::string_view text) {
  if (text.empty() || text.find('\0') != std::string_view::npos) {
    return Fail("must be a non-empty string");
  }
  return {};
}

Parsed<void> CheckName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameLength ||
      !std::all_of(text.begin(), text.end(), IsNameCharacter)) {
    return Fail("must be 1 to 64 letters, digits, '-', '_' or '.'");
  }
  return {};
}

Parsed<void> CheckDigest(std::string_view text) {
  if (text.size() != 64 || text.find_first_not_of("0123456789abcdef") != std::string_view::npos) {
    return Fail("must be 64 lower-case hexadecimal digits, as printed by 'hash-token'");
  }
  return {};
}

Parsed<void> CheckUrl(std::string_view text) {
  const size_t scheme_end = text.find("://");
  const std::string_view scheme = text.substr(0, scheme_end);
  if (scheme_end == std::string_view::npos || (scheme != "http" && scheme != "https")) {
    return Fail("must start with \"http://\" or \"https://\"");
  }
  const std::string_view authority = text.substr(scheme_end + 3);
  if (authority.find_first_of("/?#@") != std::string_view::npos) {
    return Fail("must be a scheme, an IP address and a port only, such as \"http://127.0.0.1:80\"");
  }
  BOOST_LEAF_CHECK(ParseAddressAndPort(authority));
  return {};
}

std::string FormatDuration(Duration duration) {
  return FormatWithUnit(duration.count(), kTimeUnits);
}

std::string DescribeDuration(Duration duration) {
  std::string text;
  int64_t rest = duration.count();
  for (auto unit = kTimeUnits.rbegin(); unit != kTimeUnits.rend() && unit->suffix != "ms"; ++unit) {
    const int64_t count = rest / unit->factor;
    rest %= unit->factor;
    if (count == 0) continue;
    text += (text.empty() ? "" : " ") + std::to_string(count) + std::string(unit->suffix);
  }
  return text.empty() ? FormatDuration(duration) : text;
}

std::string FormatSize(int64_t bytes) { return FormatWithUnit(bytes, kSizeUnits); }

std::string FormatTimeOfDay(Duration after_midnight) {
  const auto minutes = std::chrono::duration_cast<std::chrono::minutes>(after_midnight).count();
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%02d:%02d", static_cast<int>(minutes / 60),
                static_cast<int>(minutes % 60));
  return text.data();
}

std::string FormatNumber(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%g", value);
  return text.data();
}

}  // namespace citronferry::document
