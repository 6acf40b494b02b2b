#ifndef WALNUTWING_STANDIN_BAR_CHART_H_
#define WALNUTWING_STANDIN_BAR_CHART_H_

// Renders a chart of stacked bars as SVG, for reports.

#include <string>
#include <vector>

namespace walnutwing::standin {

struct BarChart
{
  std::string m_title;
  std::string m_xLabel;              // title of the horizontal axis
  std::string m_yLabel;              // title of the vertical axis
  std::vector<std::string> m_series; // names of a bar's parts, lowest first
  std::vector<std::string> m_labels; // one per bar; at most 15 are drawn
  std::vector<std::vector<double>> m_bars; // by bar and series, not negative
};

// Returns a complete SVG document. Texts are escaped.
std::string
ToSvg(const BarChart& aChart);

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_BAR_CHART_H_
