#ifndef WALNUTWING_STANDIN_LATENCY_HISTOGRAM_H_
#define WALNUTWING_STANDIN_LATENCY_HISTOGRAM_H_

// A histogram of latencies from 1 us to 1000 s, with logarithmic bins that are
// each 1% wide.

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

  // Returns the upper edge, in ms, of the bin that contains the quantile
  // aQuantile (0 to 1); 0 without latencies.
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
