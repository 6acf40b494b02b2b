#include "standin/load_report.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "standin/bar_chart.h"

namespace walnutwing::standin {
namespace {

LoadReport
MakeReport()
{
  LoadReport report;
  report.Add(Duration(100),
             LoadKind::Chat,
             Outcome::Complete,
             Duration(20),
             Duration(300));
  report.Add(Duration(1500),
             LoadKind::Chat,
             Outcome::Refused,
             std::nullopt,
             Duration(2));
  report.Add(Duration(2999),
             LoadKind::Order,
             Outcome::Complete,
             Duration(5),
             Duration(5));
  return report;
}

TEST(LoadReport, CountsBySecondKindAndOutcome)
{
  const LoadReport report = MakeReport();
  EXPECT_EQ(3U, report.Requests());
  EXPECT_EQ(2U, report.Count(Outcome::Complete));
  EXPECT_EQ(0U, report.Count(Outcome::Wrong));
  const auto json = nlohmann::json::parse(report.Json());
  EXPECT_EQ(3U, json["seconds"].size());
  EXPECT_EQ(1, json["seconds"][1]["refused"]);
  EXPECT_EQ(2, json["kinds"]["chat"]["requests"]);
  EXPECT_NEAR(300, json["kinds"]["chat"]["whole_p99_ms"].get<double>(), 5);
  EXPECT_EQ(2, json["outcomes"]["whole"]);
}

TEST(LoadReport, TextFitsATerminalAndHasALinePerSecond)
{
  const std::string text = MakeReport().Text();
  std::istringstream lines(text);
  int count = 0;
  for (std::string line; std::getline(lines, line); ++count) {
    EXPECT_LE(line.size(), 84U) << line;
  }
  EXPECT_EQ(1 + 3 + 1 + 1 + 2, count) << text;
}

TEST(LoadReport, ChartHasABarForEachSecondWithRequests)
{
  const std::string svg = MakeReport().Svg("a & b");
  EXPECT_EQ(0U, svg.find("<svg "));
  EXPECT_NE(std::string::npos, svg.find("a &amp; b"));
  std::size_t rectangles = 0;
  for (std::size_t at = svg.find("<rect "); at != std::string::npos;
       at = svg.find("<rect ", at + 1)) {
    ++rectangles;
  }
  EXPECT_EQ(3U + 7U, rectangles); // bars and the legend
}

TEST(BarChart, EmptyChartIsAnSvg)
{
  EXPECT_NE(std::string::npos, ToSvg({}).find("</svg>"));
}

} // namespace
} // namespace walnutwing::standin
