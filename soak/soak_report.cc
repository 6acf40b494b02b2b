#include "soak/soak_report.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "standin/bar_chart.h"

namespace walnutwing::soak {
namespace {

constexpr std::int64_t kBinMs = 250;
constexpr std::size_t kBins = 24; // the last one counts all longer times

std::vector<std::uint64_t>
RecoveryBins(const SoakResult& aResult)
{
  std::vector<std::uint64_t> bins(kBins);
  for (const Duration recovery : aResult.m_recoveries) {
    const auto bin = static_cast<std::size_t>(recovery.count() / kBinMs);
    ++bins[std::min(bin, kBins - 1)];
  }
  return bins;
}

Duration
LongestRecovery(const SoakResult& aResult)
{
  Duration longest(0);
  for (const Duration recovery : aResult.m_recoveries) {
    longest = std::max(longest, recovery);
  }
  return longest;
}

} // namespace

std::string
ToText(const SoakResult& aResult)
{
  std::string text =
    std::to_string(aResult.m_processCount) + " processes\nfaults:";
  for (const auto& [kind, count] : aResult.m_faults) {
    text += " " + std::string(NameOf(kind)) + " " + std::to_string(count);
  }
  text += "\nrequests:";
  for (const auto& [outcome, count] : aResult.m_outcomes) {
    text += std::string(" ") + NameOf(outcome) + " " + std::to_string(count);
  }
  text += "\nrecoveries: " + std::to_string(aResult.m_recoveries.size()) +
          ", longest " + std::to_string(LongestRecovery(aResult).count()) +
          " ms\n";
  for (const std::string& violation : aResult.m_violations) {
    text += "BROKEN " + violation + "\n";
  }
  return text;
}

std::string
ToJson(const SoakResult& aResult)
{
  nlohmann::json report;
  report["processes"] = aResult.m_processCount;
  report["violations"] = aResult.m_violations;
  report["faults"] = nlohmann::json::object();
  for (const auto& [kind, count] : aResult.m_faults) {
    report["faults"][std::string(NameOf(kind))] = count;
  }
  report["requests"] = nlohmann::json::object();
  for (const auto& [outcome, count] : aResult.m_outcomes) {
    report["requests"][NameOf(outcome)] = count;
  }
  report["recovery_bin_ms"] = kBinMs;
  report["recoveries"] = RecoveryBins(aResult);
  report["longest_recovery_ms"] = LongestRecovery(aResult).count();
  return report.dump(1) + "\n";
}

std::string
ToSvg(const SoakResult& aResult, const std::string& aTitle)
{
  standin::BarChart chart;
  chart.m_title = aTitle;
  chart.m_xLabel = "ms from a fault's end until callers are served again";
  chart.m_yLabel = "faults";
  chart.m_series = { "recoveries" };
  const std::vector<std::uint64_t> bins = RecoveryBins(aResult);
  for (std::size_t i = 0; i < bins.size(); ++i) {
    chart.m_labels.push_back(std::to_string(kBinMs * static_cast<int>(i)));
    chart.m_bars.push_back({ static_cast<double>(bins[i]) });
  }
  return standin::ToSvg(chart);
}

} // namespace walnutwing::soak
