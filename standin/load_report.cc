// Outcomes are counted in the second in which a request was due, whenever it
// ended.

#include "standin/load_report.h"

#include <array>
#include <cstdio>

#include <nlohmann/json.hpp>

#include "standin/bar_chart.h"

namespace walnutwing::standin {
namespace {

constexpr std::array<Outcome, 7> kOutcomes{
  Outcome::Complete, Outcome::Refused,
  Outcome::Failed,   Outcome::ErrorWithoutCode,
  Outcome::Broken,   Outcome::Unreachable,
  Outcome::Wrong
};

std::uint64_t
CountIn(const std::map<Outcome, std::uint64_t>& aCounts, Outcome aOutcome)
{
  const auto found = aCounts.find(aOutcome);
  return found == aCounts.end() ? 0 : found->second;
}

} // namespace

void
LoadReport::Add(Duration aAt,
                LoadKind aKind,
                Outcome aOutcome,
                std::optional<Duration> aFirstByteLatency,
                Duration aTotalLatency)
{
  const auto second = static_cast<std::size_t>(aAt.count() / 1000);
  if (m_seconds.size() <= second) {
    m_seconds.resize(second + 1);
  }
  ++m_seconds[second][aOutcome];
  Kind& kind = m_kinds[aKind];
  ++kind.m_requests;
  if (aFirstByteLatency) {
    kind.m_firstByteLatency.Add(*aFirstByteLatency);
  }
  if (aOutcome == Outcome::Complete) {
    kind.m_completeLatency.Add(aTotalLatency);
  }
}

std::uint64_t
LoadReport::Count(Outcome aOutcome) const
{
  std::uint64_t sum = 0;
  for (const Counts& second : m_seconds) {
    sum += CountIn(second, aOutcome);
  }
  return sum;
}

std::uint64_t
LoadReport::Requests() const
{
  std::uint64_t sum = 0;
  for (const auto& [name, kind] : m_kinds) {
    sum += kind.m_requests;
  }
  return sum;
}

std::string
LoadReport::Text() const
{
  std::string text = "second";
  char cell[96];
  for (const Outcome outcome : kOutcomes) {
    std::snprintf(
      cell, sizeof(cell), " %10.10s", std::string(NameOf(outcome)).c_str());
    text += cell;
  }
  text += "\n";
  for (std::size_t i = 0; i < m_seconds.size(); ++i) {
    std::snprintf(cell, sizeof(cell), "%6zu", i);
    text += cell;
    for (const Outcome outcome : kOutcomes) {
      const auto count =
        static_cast<unsigned long long>(CountIn(m_seconds[i], outcome));
      std::snprintf(cell, sizeof(cell), " %10llu", count);
      text += cell;
    }
    text += "\n";
  }
  text +=
    "\nkind     requests  first ms: p50      p99   whole ms: p50      p99\n";
  for (const auto& [name, kind] : m_kinds) {
    std::snprintf(cell,
                  sizeof(cell),
                  "%-8s %8llu %14.1f %8.1f %15.1f %8.1f\n",
                  std::string(NameOf(name)).c_str(),
                  static_cast<unsigned long long>(kind.m_requests),
                  kind.m_firstByteLatency.QuantileMs(0.5),
                  kind.m_firstByteLatency.QuantileMs(0.99),
                  kind.m_completeLatency.QuantileMs(0.5),
                  kind.m_completeLatency.QuantileMs(0.99));
    text += cell;
  }
  return text;
}

std::string
LoadReport::Json() const
{
  nlohmann::json report;
  report["requests"] = Requests();
  for (const Outcome outcome : kOutcomes) {
    report["outcomes"][std::string(NameOf(outcome))] = Count(outcome);
  }
  report["seconds"] = nlohmann::json::array();
  for (const Counts& second : m_seconds) {
    nlohmann::json row = nlohmann::json::object();
    for (const auto& [outcome, count] : second) {
      row[std::string(NameOf(outcome))] = count;
    }
    report["seconds"].push_back(std::move(row));
  }
  for (const auto& [name, kind] : m_kinds) {
    report["kinds"][std::string(NameOf(name))] = {
      { "requests", kind.m_requests },
      { "first_p50_ms", kind.m_firstByteLatency.QuantileMs(0.5) },
      { "first_p99_ms", kind.m_firstByteLatency.QuantileMs(0.99) },
      { "whole_p50_ms", kind.m_completeLatency.QuantileMs(0.5) },
      { "whole_p99_ms", kind.m_completeLatency.QuantileMs(0.99) },
    };
  }
  return report.dump(1) + "\n";
}

std::string
LoadReport::Svg(const std::string& aTitle) const
{
  BarChart chart;
  chart.m_title = aTitle;
  chart.m_xLabel = "second of the run";
  chart.m_yLabel = "requests";
  for (const Outcome outcome : kOutcomes) {
    chart.m_series.emplace_back(NameOf(outcome));
  }
  for (std::size_t i = 0; i < m_seconds.size(); ++i) {
    chart.m_labels.push_back(std::to_string(i));
    std::vector<double>& bar = chart.m_bars.emplace_back();
    for (const Outcome outcome : kOutcomes) {
      bar.push_back(static_cast<double>(CountIn(m_seconds[i], outcome)));
    }
  }
  return ToSvg(chart);
}

} // namespace walnutwing::standin
