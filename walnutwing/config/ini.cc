// libinih passes section, key and value to a handler, but no line number. It
// reads lines through a callback, however, and calls the handler for a line
// before it reads the next one. The callback therefore counts the lines, and
// the handler's arguments belong to the line read last. The callback also
// stores the section's full name, which libinih truncates to 49 bytes, and
// rejects lines that do not fit into libinih's buffer.

#include "walnutwing/config/ini.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include <ini.h>

namespace walnutwing {
namespace {

constexpr std::string_view kWhiteSpace = " \t\r\n";

class Reader
{
public:
  Reader(std::string_view aText, IniFile& aFile)
    : m_remaining(aText)
    , m_file(aFile)
  {
  }

  // Has the signature of fgets, which libinih requires.
  static char* ReadLineCallback(char* aBuffer, int aSize, void* aReader)
  {
    return static_cast<Reader*>(aReader)->ReadLine(aBuffer, aSize);
  }

  static int AddEntryCallback(void* aReader,
                              const char* /*aSection*/,
                              const char* aKey,
                              const char* aValue)
  {
    static_cast<Reader*>(aReader)->AddEntry(aKey, aValue);
    return 1;
  }

  void AddProblem(int aLine, std::string aText)
  {
    m_file.m_problems.push_back(
      { .m_file = m_file.m_name, .m_line = aLine, .m_text = std::move(aText) });
  }

private:
  char* ReadLine(char* aBuffer, int aSize)
  {
    if (m_remaining.empty()) {
      return nullptr;
    }
    const std::size_t end =
      std::min(m_remaining.find('\n'), m_remaining.size());
    std::string_view line = m_remaining.substr(0, end);
    m_remaining.remove_prefix(std::min(end + 1, m_remaining.size()));
    ++m_line;
    m_indented = !line.empty() && kWhiteSpace.find(line[0]) < 2;
    if (line.size() > kMaxIniLineBytes ||
        line.size() + 2 > static_cast<std::size_t>(aSize)) {
      AddProblem(m_line,
                 "the line is longer than " + std::to_string(kMaxIniLineBytes) +
                   " bytes");
      line = "";
    }
    if (line.find('\0') != std::string_view::npos) {
      AddProblem(m_line, "the line contains a zero byte");
      line = "";
    }
    StartSection(line);
    std::memcpy(aBuffer, line.data(), line.size());
    aBuffer[line.size()] = '\n';
    aBuffer[line.size() + 1] = '\0';
    return aBuffer;
  }

  void StartSection(std::string_view aLine)
  {
    const std::string_view line = Trim(aLine);
    const std::size_t end = line.find(']');
    if (line.empty() || line[0] != '[' || end == std::string_view::npos) {
      return;
    }
    // An indented line continues the value above it, even if it starts with a
    // bracket.
    if (m_indented && !m_file.m_sections.empty() &&
        !m_file.m_sections.back().m_entries.empty()) {
      return;
    }
    m_file.m_sections.push_back(
      { std::string(Trim(line.substr(1, end - 1))), m_line, {} });
  }

  void AddEntry(const char* aKey, const char* aValue)
  {
    if (m_file.m_sections.empty()) {
      m_file.m_sections.emplace_back();
    }
    std::vector<IniEntry>& entries = m_file.m_sections.back().m_entries;
    if (m_indented && !entries.empty()) {
      entries.back().m_value += std::string(" ") + aValue;
      return;
    }
    entries.push_back({ aKey, aValue, m_line });
  }

  std::string_view m_remaining;
  IniFile& m_file;
  int m_line = 0;
  bool m_indented = false;
};

} // namespace

std::string
IniProblem::ToString() const
{
  std::string text = m_file;
  if (m_line > 0) {
    text += ":" + std::to_string(m_line);
  }
  text += ": ";
  if (!m_section.empty()) {
    text += "[" + m_section + "] ";
  }
  if (!m_key.empty()) {
    text += m_key + ": ";
  }
  text += m_text;
  if (!m_allowed.empty()) {
    text += "; allowed: " + m_allowed;
  }
  const ResultCodeRow& row = RowOf(m_code);
  text += " (" + std::to_string(static_cast<int>(row.m_code)) + " ";
  text += std::string(row.m_name) + ")";
  return text;
}

IniFile
ReadIni(std::string_view aText, std::string aName)
{
  IniFile file;
  file.m_name = std::move(aName);
  Reader reader(aText, file);
  const int badLine = ini_parse_stream(
    &Reader::ReadLineCallback, &reader, &Reader::AddEntryCallback, &reader);
  if (badLine > 0) {
    reader.AddProblem(badLine,
                      "the line is not a section, \"key = value\" or comment");
  }
  return file;
}

std::string_view
Trim(std::string_view aText)
{
  const std::size_t begin = aText.find_first_not_of(kWhiteSpace);
  if (begin == std::string_view::npos) {
    return {};
  }
  return aText.substr(begin, aText.find_last_not_of(kWhiteSpace) - begin + 1);
}

std::vector<std::string>
SplitList(std::string_view aValue)
{
  std::vector<std::string> items;
  while (!aValue.empty()) {
    const std::size_t end = std::min(aValue.find(','), aValue.size());
    const std::string_view item = Trim(aValue.substr(0, end));
    aValue.remove_prefix(std::min(end + 1, aValue.size()));
    if (item.empty()) {
      continue;
    }
    items.emplace_back(item);
  }
  return items;
}

} // namespace walnutwing
