#ifndef WALNUTWING_CONFIG_SETTING_TABLE_H_
#define WALNUTWING_CONFIG_SETTING_TABLE_H_

// Rows of the tables that declare the keys of a settings file. A row has a
// key's section, unit, range and default, and stores its value in a member of
// Settings. Parsing, error messages and the documentation use the same table.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "walnutwing/config/settings.h"
#include "walnutwing/config/text_value.h"

namespace walnutwing {

template<typename Settings>
struct SettingRow
{
  // Stores aValue, the text of the key aKey. Returns false if it is not
  // allowed.
  using Store = std::function<bool(Settings& aSettings,
                                   const std::string& aKey,
                                   std::string_view aValue)>;

  SettingDescription m_description;
  Store m_store;
};

template<typename Id, typename Settings>
SettingRow<Settings>
NameRow(const char* aSection,
        const char* aKey,
        Id Settings::*aMember,
        const char* aDoc)
{
  return {
    { aSection, aKey, "", "1 to 64 of A-Z a-z 0-9 . _ -", std::nullopt, aDoc },
    [aMember](
      Settings& aSettings, const std::string&, std::string_view aValue) {
      aSettings.*aMember = Id(std::string(aValue));
      return IsName(aValue);
    }
  };
}

template<typename Settings>
SettingRow<Settings>
AddressRow(const char* aSection,
           const char* aKey,
           std::string Settings::*aMember,
           const char* aDoc)
{
  return { { aSection,
             aKey,
             "IP:port",
             "IP:port, port 1 to 65535",
             std::nullopt,
             aDoc },
           [aMember](
             Settings& aSettings, const std::string&, std::string_view aValue) {
             aSettings.*aMember = std::string(aValue);
             return IsAddress(aValue);
           } };
}

template<typename Settings>
SettingRow<Settings>
NumberRow(const char* aSection,
          const char* aKey,
          const char* aUnit,
          std::uint64_t aMin,
          std::uint64_t aMax,
          std::uint64_t aDefault,
          std::uint64_t Settings::*aMember,
          const char* aDoc)
{
  return { { aSection,
             aKey,
             aUnit,
             RangeText(aMin, aMax),
             std::to_string(aDefault),
             aDoc },
           [=](
             Settings& aSettings, const std::string&, std::string_view aValue) {
             const auto number = ParseNumberBetween(aValue, aMin, aMax);
             aSettings.*aMember = number.value_or(0);
             return number.has_value();
           } };
}

template<typename Settings>
std::vector<SettingDescription>
DescribeRows(const std::vector<SettingRow<Settings>>& aTable)
{
  std::vector<SettingDescription> descriptions;
  descriptions.reserve(aTable.size());
  for (const SettingRow<Settings>& row : aTable) {
    descriptions.push_back(row.m_description);
  }
  return descriptions;
}

} // namespace walnutwing

#endif // WALNUTWING_CONFIG_SETTING_TABLE_H_
