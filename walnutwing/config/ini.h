#ifndef WALNUTWING_CONFIG_INI_H_
#define WALNUTWING_CONFIG_INI_H_

// INI text as sections and entries with their line numbers, parsed by libinih.
//
//   # comment
//   [section]
//   key = value      ; comment after a value
//   list = a, b,
//     c              an indented line continues the value

#include <string>
#include <string_view>
#include <vector>

#include "walnutwing/base/result_code.h"

namespace walnutwing {

// Longest line that is accepted, in bytes. A longer line is reported as a
// problem, never truncated.
constexpr std::size_t kMaxIniLineBytes = 190;

struct IniEntry
{
  std::string m_key;
  std::string m_value;
  int m_line = 0; // from 1
};

struct IniSection
{
  std::string m_name; // "" for entries before the first section
  int m_line = 0;
  std::vector<IniEntry> m_entries;
};

// An error in a file: its location, its description and the allowed values.
struct IniProblem
{
  ResultCode m_code = ResultCode::SettingsSyntax;
  std::string m_file{};
  int m_line = 0; // 0: the file as a whole
  std::string m_section{};
  std::string m_key{};
  std::string m_text{};
  std::string m_allowed{}; // "" if there is nothing to list

  // "FILE:LINE: [section] key: text; allowed: ... (5004 settings_bad_value)"
  std::string ToString() const;
};

struct IniFile
{
  std::string m_name;
  std::vector<IniSection> m_sections; // in the order of the text
  std::vector<IniProblem> m_problems; // lines that are not valid INI
};

// Parses aText; aName is used in messages only. Problems are returned along
// with the lines that could be parsed.
IniFile
ReadIni(std::string_view aText, std::string aName);

// The items of a value such as "a, b, c", trimmed and without empty ones.
std::vector<std::string>
SplitList(std::string_view aValue);

// aText without white space at its ends.
std::string_view
Trim(std::string_view aText);

} // namespace walnutwing

#endif // WALNUTWING_CONFIG_INI_H_
