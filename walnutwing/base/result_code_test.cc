#include "walnutwing/base/result_code.h"

#include <fstream>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

// Formats one row like the table in docs/ERRORS.md.
std::string
MarkdownRow(const ResultCodeRow& aRow)
{
  std::ostringstream line;
  line << "| " << static_cast<int>(aRow.m_code) << " | " << aRow.m_name
       << " | ";
  if (aRow.m_httpStatus != 0) {
    line << aRow.m_httpStatus;
  } else {
    line << "-";
  }
  line << " | " << NameOf(aRow.m_ran) << " | " << NameOf(aRow.m_repeat) << " | "
       << aRow.m_text << " |";
  return line.str();
}

TEST(ResultCode, TableIsSortedAndNamesAreUnique)
{
  std::set<std::string_view> names;
  int previous = -1;
  for (const ResultCodeRow& row : ResultCodeTable()) {
    EXPECT_LT(previous, static_cast<int>(row.m_code));
    previous = static_cast<int>(row.m_code);
    EXPECT_TRUE(names.insert(row.m_name).second) << row.m_name;
    EXPECT_EQ(&row, &RowOf(row.m_code));
  }
}

TEST(ResultCode, RefusalsDidNotRunAndFailuresMayHave)
{
  for (const ResultCodeRow& row : ResultCodeTable()) {
    const int family = static_cast<int>(row.m_code) / 1000;
    if (family == 1 || family == 2) {
      EXPECT_EQ(Ran::NotRun, row.m_ran) << row.m_name;
    }
    if (family == 3) {
      EXPECT_NE(Ran::NotRun, row.m_ran) << row.m_name;
    }
  }
}

TEST(ResultCode, RowOfUnknownCodeThrows)
{
  EXPECT_THROW(RowOf(static_cast<ResultCode>(9999)), std::out_of_range);
}

TEST(ResultCode, ExitStatusTellsUsageErrorsAndUnknownOutcomesApart)
{
  const struct
  {
    ResultCode m_code;
    int m_status;
  } cases[] = {
    { ResultCode::Ok, 0 },
    { ResultCode::CommandLine, 2 },
    { ResultCode::SettingsBadValue, 2 },
    { ResultCode::SettingsFileMissing, 2 },
    { ResultCode::AddressInUse, 1 },
    { ResultCode::ConfigOutcomeUnknown, 3 },
    { ResultCode::ConfigBaseStale, 1 },
  };
  for (const auto& test : cases) {
    EXPECT_EQ(test.m_status, ExitStatusOf(test.m_code))
      << RowOf(test.m_code).m_name;
  }
}

TEST(ResultCode, DocumentationHasTheSameTable)
{
  std::ifstream file(std::string(WALNUTWING_DOCS_DIR) + "/ERRORS.md");
  ASSERT_TRUE(file.good());
  std::string documented;
  for (std::string line; std::getline(file, line);) {
    if (line.size() > 2 && line[0] == '|' &&
        std::isdigit(static_cast<unsigned char>(line[2]))) {
      documented += line + "\n";
    }
  }
  std::string expected;
  for (const ResultCodeRow& row : ResultCodeTable()) {
    expected += MarkdownRow(row) + "\n";
  }
  EXPECT_EQ(expected, documented);
}

} // namespace
} // namespace walnutwing
