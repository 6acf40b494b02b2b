#ifndef WALNUTWING_BASE_METRICS_H_
#define WALNUTWING_BASE_METRICS_H_

// Counters, gauges and latency histograms of one daemon, and their Prometheus
// text format for /metrics. Histograms are kept by Boost.Histogram.

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <boost/histogram.hpp>

#include "walnutwing/base/clock.h"

namespace walnutwing {

// A histogram of durations with 24 logarithmic bins from 0.1 ms to 100 s.
// Shorter durations fall into the first bin; longer ones are only in the +Inf
// bucket.
class LatencyHistogram
{
public:
  LatencyHistogram();

  void Record(Duration aDuration);
  void RecordSeconds(double aSeconds);

  std::uint64_t Count() const { return m_count; }

  // Appends the NAME_bucket, NAME_sum and NAME_count lines to aText, each with
  // aLabels.
  void AppendPrometheusText(const std::string& aName,
                            const std::string& aLabels,
                            std::string& aText) const;

private:
  using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> m_histogram;
  double m_sum = 0;
  std::uint64_t m_count = 0;
};

// Creates a metric at its first use and owns it from then on.
class Metrics
{
public:
  // These return the metric with a name and a label text, for example
  // ("requests_total", "code=\"2004\""). Names are given without the prefix
  // "walnutwing_". The references stay valid as long as this object.
  std::uint64_t& Counter(const std::string& aName,
                         const std::string& aLabels = "");
  double& Gauge(const std::string& aName, const std::string& aLabels = "");
  LatencyHistogram& Latency(const std::string& aName,
                            const std::string& aLabels = "");

  // All metrics in the Prometheus text exposition format, version 0.0.4.
  std::string PrometheusText() const;

private:
  using Key = std::pair<std::string, std::string>; // name, labels
  std::map<Key, std::uint64_t> m_counters;
  std::map<Key, double> m_gauges;
  std::map<Key, LatencyHistogram> m_latencies;
};

} // namespace walnutwing

#endif // WALNUTWING_BASE_METRICS_H_
