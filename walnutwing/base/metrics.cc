// Prometheus's buckets are cumulative; Boost.Histogram's are not, so Print
// sums.

#include "walnutwing/base/metrics.h"

#include <algorithm>
#include <cstdio>

namespace walnutwing {
namespace {

constexpr int kBins = 24;
constexpr double kShortestSeconds = 0.0001;
constexpr double kLongestSeconds = 100.0;
constexpr const char* kPrefix = "walnutwing_";

std::string
Number(double aValue)
{
  char text[32];
  std::snprintf(text, sizeof(text), "%.9g", aValue);
  return text;
}

void
AppendLine(const std::string& aName,
           const std::string& aLabels,
           const std::string& aValue,
           std::string& aText)
{
  aText += kPrefix + aName;
  if (!aLabels.empty()) {
    aText += "{" + aLabels + "}";
  }
  aText += " " + aValue + "\n";
}

void
AppendType(const std::string& aName,
           const char* aType,
           std::string& aLast,
           std::string& aText)
{
  if (aName == aLast) {
    return;
  }
  aLast = aName;
  aText += std::string("# TYPE ") + kPrefix + aName + " " + aType + "\n";
}

} // namespace

LatencyHistogram::LatencyHistogram()
  : m_histogram(boost::histogram::make_histogram(
      Axis(kBins, kShortestSeconds, kLongestSeconds)))
{
}

void
LatencyHistogram::Record(Duration aDuration)
{
  RecordSeconds(std::chrono::duration<double>(aDuration).count());
}

void
LatencyHistogram::RecordSeconds(double aSeconds)
{
  m_histogram(std::max(aSeconds, kShortestSeconds));
  m_sum += aSeconds;
  ++m_count;
}

void
LatencyHistogram::Print(const std::string& aName,
                        const std::string& aLabels,
                        std::string& aText) const
{
  const std::string more = aLabels.empty() ? "" : aLabels + ",";
  double cumulative = 0;
  for (int bin = 0; bin < kBins; ++bin) {
    cumulative += m_histogram.at(bin);
    const double upper = m_histogram.axis().bin(bin).upper();
    AppendLine(aName + "_bucket",
               more + "le=\"" + Number(upper) + "\"",
               Number(cumulative),
               aText);
  }
  AppendLine(
    aName + "_bucket", more + "le=\"+Inf\"", std::to_string(m_count), aText);
  AppendLine(aName + "_sum", aLabels, Number(m_sum), aText);
  AppendLine(aName + "_count", aLabels, std::to_string(m_count), aText);
}

std::uint64_t&
Metrics::Counter(const std::string& aName, const std::string& aLabels)
{
  return m_counters[{ aName, aLabels }];
}

double&
Metrics::Gauge(const std::string& aName, const std::string& aLabels)
{
  return m_gauges[{ aName, aLabels }];
}

LatencyHistogram&
Metrics::Latency(const std::string& aName, const std::string& aLabels)
{
  return m_latencies[{ aName, aLabels }];
}

std::string
Metrics::PrometheusText() const
{
  std::string text;
  std::string last;
  for (const auto& [key, value] : m_counters) {
    AppendType(key.first, "counter", last, text);
    AppendLine(key.first, key.second, std::to_string(value), text);
  }
  for (const auto& [key, value] : m_gauges) {
    AppendType(key.first, "gauge", last, text);
    AppendLine(key.first, key.second, Number(value), text);
  }
  for (const auto& [key, histogram] : m_latencies) {
    AppendType(key.first, "histogram", last, text);
    histogram.Print(key.first, key.second, text);
  }
  return text;
}

} // namespace walnutwing
