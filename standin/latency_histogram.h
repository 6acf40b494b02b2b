#ifndef WALNUTWING_STANDIN_LATENCY_HISTOGRAM_H_
#define WALNUTWING_STANDIN_LATENCY_HISTOGRAM_H_

// Latencies in a histogram with logarithmic bins, each 1% wide, from 1 us to
// 1000 s.

#include <chrono>
#include <cstdint>

#include <boost/histogram.hpp>

namespace walnutwing::standin {

class LatencyHistogram
{
public:
  LatencyHistogram();

  void Add(std::chrono::microseconds aLatency);
  std::uint64_t Count() const { return m_count; }

  // The upper edge of the bin in which the fraction aQuantile (0 to 1) of the
  // latencies is reached, in ms; 0 without latencies.
  double QuantileMs(double aQuantile) const;

private:
  using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

  boost::histogram::histogram<std::tuple<Axis>> m_histogram;
  std::uint64_t m_count = 0;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_LATENCY_HISTOGRAM_H_
