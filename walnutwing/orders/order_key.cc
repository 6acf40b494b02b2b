// Parses the fixed-width time by hand: the standard parsers accept signs,
// blanks and short fields, so the same time could be spelled in several ways,
// each of them a different key.

#include "walnutwing/orders/order_key.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <stdexcept>
#include <string>

namespace walnutwing {
namespace {

constexpr std::size_t kTimeLength = 16; // including the Z
constexpr std::size_t kMaxIdLength = 64;
constexpr int kMaxHour = 23;
constexpr int kMaxMinute = 59;
constexpr int kMaxSecond = 59;

bool
IsDigit(char aChar)
{
  return aChar >= '0' && aChar <= '9';
}

bool
IsIdChar(char aChar)
{
  return IsDigit(aChar) || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= 'a' && aChar <= 'z') || aChar == '_' || aChar == '-';
}

bool
IsId(std::string_view aId)
{
  return !aId.empty() && aId.size() <= kMaxIdLength &&
         std::all_of(aId.begin(), aId.end(), IsIdChar);
}

// Returns the number in the aLength digits at aPosition, or -1 if one of these
// characters is not a digit.
int
ParseDigits(std::string_view aText, std::size_t aPosition, std::size_t aLength)
{
  constexpr int kBase = 10;
  int number = 0;
  for (const char digit : aText.substr(aPosition, aLength)) {
    if (!IsDigit(digit)) {
      return -1;
    }
    number = number * kBase + (digit - '0');
  }
  return number;
}

} // namespace

std::optional<WallTime>
IssueTimeOf(const OrderKey& aKey)
{
  using namespace std::chrono;
  const std::string_view text = aKey.Value();
  if (text.size() <= kTimeLength || text[8] != 'T' || text[15] != 'Z' ||
      text[kTimeLength] != '-' || !IsId(text.substr(kTimeLength + 1))) {
    return std::nullopt;
  }
  const int yearNumber = ParseDigits(text, 0, 4);
  const int monthNumber = ParseDigits(text, 4, 2);
  const int dayNumber = ParseDigits(text, 6, 2);
  const int hour = ParseDigits(text, 9, 2);
  const int minute = ParseDigits(text, 11, 2);
  const int second = ParseDigits(text, 13, 2);
  if (yearNumber < 0 || monthNumber < 0 || dayNumber < 0 || hour < 0 ||
      minute < 0 || second < 0) {
    return std::nullopt;
  }
  const year_month_day date(year(yearNumber),
                            month(static_cast<unsigned>(monthNumber)),
                            day(static_cast<unsigned>(dayNumber)));
  if (!date.ok() || hour > kMaxHour || minute > kMaxMinute ||
      second > kMaxSecond) {
    return std::nullopt;
  }
  return WallTime(sys_days(date)) + hours(hour) + minutes(minute) +
         seconds(second);
}

ResultCode
CheckOrderKey(const OrderKey& aKey,
              WallTime aNow,
              const OrderKeyLimits& aLimits)
{
  const std::optional<WallTime> issued = IssueTimeOf(aKey);
  if (!issued || *issued > aNow + aLimits.m_maxSkew) {
    return ResultCode::OrderKeyMalformed;
  }
  return aNow > *issued + aLimits.m_lifetime ? ResultCode::OrderKeyExpired
                                             : ResultCode::Ok;
}

OrderKey
MakeOrderKey(WallTime aIssued, std::string_view aId)
{
  using namespace std::chrono;
  if (!IsId(aId)) {
    throw std::invalid_argument(
      "order id is not 1 to 64 characters of [A-Za-z0-9_-]: " +
      std::string(aId));
  }
  const sys_days midnight = floor<days>(aIssued);
  const year_month_day date(midnight);
  const hh_mm_ss time(floor<seconds>(aIssued - midnight));
  std::array<char, 32> text{};
  const int length = std::snprintf(text.data(),
                                   text.size(),
                                   "%04d%02u%02uT%02d%02d%02dZ-",
                                   static_cast<int>(date.year()),
                                   static_cast<unsigned>(date.month()),
                                   static_cast<unsigned>(date.day()),
                                   static_cast<int>(time.hours().count()),
                                   static_cast<int>(time.minutes().count()),
                                   static_cast<int>(time.seconds().count()));
  return OrderKey(
    std::string(text.data(), static_cast<std::size_t>(length)).append(aId));
}

} // namespace walnutwing
