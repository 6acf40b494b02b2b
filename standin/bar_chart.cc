// Bars are drawn upwards from the horizontal axis, scaled so that the highest
// one fills the space between the margins. Labels are thinned out to a fixed
// number.

#include "standin/bar_chart.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace walnutwing::standin {
namespace {

// In pixels.
constexpr double kWidth = 900;
constexpr double kHeight = 360;
constexpr double kMargin = 50;
constexpr double kLegendStep = 110;
constexpr std::size_t kMaxLabels = 15;

// A palette that can be distinguished with red-green colour blindness.
constexpr std::array<const char*, 7> kColours{ "#0072b2", "#56b4e9", "#e69f00",
                                               "#d55e00", "#cc79a7", "#f0e442",
                                               "#000000" };

std::string
EscapeXml(const std::string& aText)
{
  std::string escaped;
  for (const char letter : aText) {
    switch (letter) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += letter;
    }
  }
  return escaped;
}

std::string
MakeText(double aX, double aY, const std::string& aText)
{
  char start[80];
  std::snprintf(start, sizeof(start), R"(<text x="%.1f" y="%.1f">)", aX, aY);
  return start + EscapeXml(aText) + "</text>\n";
}

std::string
MakeRectangle(double aX,
              double aY,
              double aWidth,
              double aHeight,
              std::size_t aSeries)
{
  char text[160];
  std::snprintf(
    text,
    sizeof(text),
    R"(<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>)"
    "\n",
    aX,
    aY,
    aWidth,
    aHeight,
    kColours[aSeries % kColours.size()]);
  return text;
}

double
MaxBarHeight(const BarChart& aChart)
{
  double highest = 1;
  for (const std::vector<double>& bar : aChart.m_bars) {
    double sum = 0;
    for (const double part : bar) {
      sum += part;
    }
    highest = std::max(highest, sum);
  }
  return highest;
}

std::string
MakeBars(const BarChart& aChart, double aHighest)
{
  std::string svg;
  const double floor = kHeight - kMargin;
  const double scale = (kHeight - 2 * kMargin) / aHighest;
  const double step =
    (kWidth - 2 * kMargin) /
    static_cast<double>(std::max<std::size_t>(1, aChart.m_bars.size()));
  const std::size_t labelStep = aChart.m_bars.size() / kMaxLabels + 1;
  for (std::size_t i = 0; i < aChart.m_bars.size(); ++i) {
    const double x = kMargin + step * static_cast<double>(i);
    double y = floor;
    for (std::size_t part = 0; part < aChart.m_bars[i].size(); ++part) {
      const double height = scale * aChart.m_bars[i][part];
      y -= height;
      if (height > 0) {
        svg += MakeRectangle(x, y, step * 0.9, height, part);
      }
    }
    if (i % labelStep == 0 && i < aChart.m_labels.size()) {
      svg += MakeText(x, floor + 15, aChart.m_labels[i]);
    }
  }
  return svg;
}

} // namespace

std::string
ToSvg(const BarChart& aChart)
{
  char head[160];
  std::snprintf(head,
                sizeof(head),
                R"(<svg xmlns="http://www.w3.org/2000/svg" width="%.0f" )"
                R"(height="%.0f" font-family="sans-serif" font-size="11">)"
                "\n",
                kWidth,
                kHeight);
  std::string svg = head;
  const double highest = MaxBarHeight(aChart);
  char top[32];
  std::snprintf(top, sizeof(top), "%.4g", highest);
  svg += MakeText(kMargin, 18, aChart.m_title);
  svg += MakeText(5, kMargin, top);
  svg += MakeText(5, kMargin - 14, aChart.m_yLabel);
  svg += MakeText(kWidth / 2, kHeight - 12, aChart.m_xLabel);
  svg += MakeBars(aChart, highest);
  for (std::size_t i = 0; i < aChart.m_series.size(); ++i) {
    const double x = kMargin + kLegendStep * static_cast<double>(i);
    svg += MakeRectangle(x, 26, 9, 9, i);
    svg += MakeText(x + 13, 35, aChart.m_series[i]);
  }
  return svg + "</svg>\n";
}

} // namespace walnutwing::standin
