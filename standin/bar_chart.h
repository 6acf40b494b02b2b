#ifndef WALNUTWING_STANDIN_BAR_CHART_H_
#define WALNUTWING_STANDIN_BAR_CHART_H_

// A chart of stacked bars as SVG, for reports.

#include <string>
#include <vector>

namespace walnutwing::standin {

struct BarChart
{
  std::string m_title;
  std::string m_xLabel;                    // what the bars stand for
  std::string m_yLabel;                    // what their height counts
  std::vector<std::string> m_series;       // parts of a bar, the lowest first
  std::vector<std::string> m_labels;       // one a bar; few are printed
  std::vector<std::vector<double>> m_bars; // by bar and series, not negative
};

// A whole SVG document. Texts are escaped.
std::string
ToSvg(const BarChart& aChart);

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_BAR_CHART_H_
