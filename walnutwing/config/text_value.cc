// Strict conversions: the whole text must be the value, without a sign, white
// space or a unit.

#include "walnutwing/config/text_value.h"

#include <algorithm>
#include <charconv>

namespace walnutwing {
namespace {

constexpr std::size_t kMaxNameBytes = 64;

std::optional<std::uint64_t>
ParseNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, number);
  if (error != std::errc() || rest != end || aText.empty()) {
    return std::nullopt;
  }
  return number;
}

} // namespace

bool
IsName(std::string_view aText)
{
  const auto allowed = [](char aByte) {
    return (aByte >= 'a' && aByte <= 'z') || (aByte >= 'A' && aByte <= 'Z') ||
           (aByte >= '0' && aByte <= '9') || aByte == '.' || aByte == '_' ||
           aByte == '-';
  };
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         std::all_of(aText.begin(), aText.end(), allowed);
}

std::optional<std::uint64_t>
ParseNumberBetween(std::string_view aText,
                   std::uint64_t aMin,
                   std::uint64_t aMax)
{
  const std::optional<std::uint64_t> number = ParseNumber(aText);
  if (!number || *number < aMin || *number > aMax) {
    return std::nullopt;
  }
  return number;
}

std::string
RangeText(std::uint64_t aMin, std::uint64_t aMax)
{
  return std::to_string(aMin) + " to " + std::to_string(aMax);
}

std::optional<std::string>
FromHex(std::string_view aHex)
{
  if (aHex.size() % 2 != 0) {
    return std::nullopt;
  }
  std::string bytes;
  for (std::size_t i = 0; i < aHex.size(); i += 2) {
    unsigned value = 0;
    const char* begin = aHex.data() + i;
    const auto [rest, error] = std::from_chars(begin, begin + 2, value, 16);
    if (error != std::errc() || rest != begin + 2) {
      return std::nullopt;
    }
    bytes += static_cast<char>(value);
  }
  return bytes;
}

std::string
ToHex(std::string_view aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (const unsigned char byte : aBytes) {
    hex += kDigits[byte >> 4U];
    hex += kDigits[byte & 0xfU];
  }
  return hex;
}

} // namespace walnutwing
