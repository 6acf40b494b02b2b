#ifndef WALNUTWING_BASE_METRICS_H_
#define WALNUTWING_BASE_METRICS_H_

// Counters, gauges and histograms of one daemon, and their Prometheus text form
// for /metrics. Histograms are Boost.Histogram's.

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <boost/histogram.hpp>

#include "walnutwing/base/clock.h"

namespace walnutwing {

// Durations in seconds, by logarithmic bins from 0.1 ms to 100 s.
class LatencyHistogram
{
public:
  LatencyHistogram();

  void Record(Duration aDuration);
  void RecordSeconds(double aSeconds);

  std::uint64_t Count() const { return m_count; }

  // Appends NAME_bucket, NAME_sum and NAME_count lines, with these labels.
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

class Metrics
{
public:
  // A counter by name and label text, as in ("requests_total",
  // "code=\"2004\""). The reference stays valid; names are given without
  // "walnutwing_".
  std::uint64_t& Counter(const std::string& aName,
                         const std::string& aLabels = "");
  double& Gauge(const std::string& aName, const std::string& aLabels = "");
  LatencyHistogram& Latency(const std::string& aName,
                            const std::string& aLabels = "");

  // All of them in the Prometheus text exposition format, version 0.0.4.
  std::string PrometheusText() const;

private:
  using Key = std::pair<std::string, std::string>; // name, labels
  std::map<Key, std::uint64_t> m_counters;
  std::map<Key, double> m_gauges;
  std::map<Key, LatencyHistogram> m_latencies;
};

} // namespace walnutwing

#endif // WALNUTWING_BASE_METRICS_H_
