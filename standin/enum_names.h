#ifndef WALNUTWING_STANDIN_ENUM_NAMES_H_
#define WALNUTWING_STANDIN_ENUM_NAMES_H_

// Tables that give the values of an enumeration their names on the wire.

#include <optional>
#include <span>
#include <stdexcept>
#include <string_view>

namespace walnutwing::standin {

template<typename Enum>
struct EnumName
{
  Enum m_value;
  std::string_view m_name;
};

// The name of a value. A value outside the table throws std::out_of_range.
template<typename Enum>
std::string_view
NameIn(std::span<const EnumName<Enum>> aTable, Enum aValue)
{
  for (const EnumName<Enum>& row : aTable) {
    if (row.m_value == aValue) {
      return row.m_name;
    }
  }
  throw std::out_of_range("value without a name");
}

// The value of a name, or nothing when the table has no such name.
template<typename Enum>
std::optional<Enum>
ValueIn(std::span<const EnumName<Enum>> aTable, std::string_view aName)
{
  for (const EnumName<Enum>& row : aTable) {
    if (row.m_name == aName) {
      return row.m_value;
    }
  }
  return std::nullopt;
}

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_ENUM_NAMES_H_
