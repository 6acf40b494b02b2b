#ifndef WALNUTWING_CONFIG_TEXT_VALUE_H_
#define WALNUTWING_CONFIG_TEXT_VALUE_H_

// Conversion of names, numbers and bytes in INI values.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace walnutwing {

// Whether aText consists of 1 to 64 characters of A-Z a-z 0-9 . _ -
bool
IsName(std::string_view aText);

// The decimal number aText, or nullopt unless it is from aMin to aMax.
std::optional<std::uint64_t>
ParseNumberBetween(std::string_view aText,
                   std::uint64_t aMin,
                   std::uint64_t aMax);

// "MIN to MAX".
std::string
RangeText(std::uint64_t aMin, std::uint64_t aMax);

// The bytes that aHex encodes, or nullopt if it is not hexadecimal.
std::optional<std::string>
FromHex(std::string_view aHex);

std::string
ToHex(std::string_view aBytes);

} // namespace walnutwing

#endif // WALNUTWING_CONFIG_TEXT_VALUE_H_
