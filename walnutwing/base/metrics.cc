// Prometheus buckets are cumulative and Boost.Histogram bins are not, so
// AppendPrometheusText adds the bins up.

#include "walnutwing/base/metrics.h"

#include <algorithm>
#include <cstdio>

namespace walnutwing {
namespace {

constexpr int kBinCount = 24;
constexpr double kMinSeconds = 0.0001;
constexpr double kMaxSeconds = 100.0;
constexpr const char* kNamePrefix = "walnutwing_";

std::string
FormatNumber(double aValue)
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
  aText += kNamePrefix + aName;
  if (!aLabels.empty()) {
    aText += "{" + aLabels + "}";
  }
  aText += " " + aValue + "\n";
}

// Appends the TYPE line of a metric, once for all its label sets. aLastName is
// the name of the previous metric and is updated.
void
AppendType(const std::string& aName,
           const char* aType,
           std::string& aLastName,
           std::string& aText)
{
  if (aName == aLastName) {
    return;
  }
  aLastName = aName;
  aText += std::string("# TYPE ") + kNamePrefix + aName + " " + aType + "\n";
}

} // namespace

LatencyHistogram::LatencyHistogram()
  : m_histogram(boost::histogram::make_histogram(
      Axis(kBinCount, kMinSeconds, kMaxSeconds)))
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
  m_histogram(std::max(aSeconds, kMinSeconds));
  m_sum += aSeconds;
  ++m_count;
}

void
LatencyHistogram::AppendPrometheusText(const std::string& aName,
                                       const std::string& aLabels,
                                       std::string& aText) const
{
  const std::string labelPrefix = aLabels.empty() ? "" : aLabels + ",";
  double cumulative = 0;
  for (int bin = 0; bin < kBinCount; ++bin) {
    cumulative += m_histogram.at(bin);
    const double upper = m_histogram.axis().bin(bin).upper();
    AppendLine(aName + "_bucket",
               labelPrefix + "le=\"" + FormatNumber(upper) + "\"",
               FormatNumber(cumulative),
               aText);
  }
  AppendLine(aName + "_bucket",
             labelPrefix + "le=\"+Inf\"",
             std::to_string(m_count),
             aText);
  AppendLine(aName + "_sum", aLabels, FormatNumber(m_sum), aText);
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
  std::string lastName;
  for (const auto& [key, value] : m_counters) {
    AppendType(key.first, "counter", lastName, text);
    AppendLine(key.first, key.second, std::to_string(value), text);
  }
  for (const auto& [key, value] : m_gauges) {
    AppendType(key.first, "gauge", lastName, text);
    AppendLine(key.first, key.second, FormatNumber(value), text);
  }
  for (const auto& [key, histogram] : m_latencies) {
    AppendType(key.first, "histogram", lastName, text);
    histogram.AppendPrometheusText(key.first, key.second, text);
  }
  return text;
}

} // namespace walnutwing
