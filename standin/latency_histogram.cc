// A quantile is found by summing up the bins, from the lowest on.

#include "standin/latency_histogram.h"

namespace walnutwing::standin {

namespace {

constexpr unsigned kBinCount = 2083; // 9 decades in steps of 1%
constexpr double kMinLatencyMs = 0.001;
constexpr double kMaxLatencyMs = 1'000'000;

} // namespace

LatencyHistogram::LatencyHistogram()
  : m_histogram(boost::histogram::make_histogram(
      Axis(kBinCount, kMinLatencyMs, kMaxLatencyMs, "ms")))
{
}

void
LatencyHistogram::Add(std::chrono::microseconds aLatency)
{
  m_histogram(static_cast<double>(aLatency.count()) / 1000.0);
  ++m_count;
}

double
LatencyHistogram::QuantileMs(double aQuantile) const
{
  const double targetCount = aQuantile * static_cast<double>(m_count);
  double cumulativeCount = 0;
  for (const auto& bin : boost::histogram::indexed(
         m_histogram, boost::histogram::coverage::all)) {
    cumulativeCount += static_cast<double>(*bin);
    if (*bin > 0 && cumulativeCount >= targetCount) {
      return bin.bin().upper();
    }
  }
  return 0;
}

} // namespace walnutwing::standin
