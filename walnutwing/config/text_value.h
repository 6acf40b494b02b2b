#ifndef WALNUTWING_CONFIG_TEXT_VALUE_H_
#define WALNUTWING_CONFIG_TEXT_VALUE_H_

// Names, numbers and bytes as INI values spell them.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace walnutwing {

// Whether aText is 1 to 64 of A-Z a-z 0-9 . _ -
bool
IsName(std::string_view aText);

// The decimal number aText if it lies between aMin and aMax, or nothing.
std::optional<std::uint64_t>
ParseNumberBetween(std::string_view aText,
                   std::uint64_t aMin,
                   std::uint64_t aMax);

// "LEAST to MOST".
std::string
RangeText(std::uint64_t aMin, std::uint64_t aMax);

// The bytes that aHex spells, or nothing if it is not hexadecimal.
std::optional<std::string>
FromHex(std::string_view aHex);

std::string
ToHex(std::string_view aBytes);

} // namespace walnutwing

#endif // WALNUTWING_CONFIG_TEXT_VALUE_H_
