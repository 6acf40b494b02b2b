#ifndef WALNUTWING_STANDIN_ENUM_NAMES_H_
#define WALNUTWING_STANDIN_ENUM_NAMES_H_

// Tables that map the values of an enumeration to their names on the wire and
// back.

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

// Returns the name of aValue. Throws std::out_of_range if the table lacks it.
template<typename Enum>
std::string_view
NameIn(std::span<const EnumName<Enum>> aTable, Enum aValue)
{
  for (const EnumName<Enum>& row : aTable) {
    if (row.m_value == aValue) {
      return row.m_name;
    }
  }
  throw std::out_of_range("enumeration value without a name in its table");
}

// Returns the value of that name, or nullopt if the table has no such name.
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
