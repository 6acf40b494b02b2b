#include "walnutwing/base/metrics.h"

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

TEST(Metrics, PrometheusText)
{
  Metrics metrics;
  metrics.Counter("requests_total", "code=\"0\"") += 2;
  ++metrics.Counter("requests_total", "code=\"2004\"");
  metrics.Gauge("streams") = 1.5;
  EXPECT_EQ("# TYPE walnutwing_requests_total counter\n"
            "walnutwing_requests_total{code=\"0\"} 2\n"
            "walnutwing_requests_total{code=\"2004\"} 1\n"
            "# TYPE walnutwing_streams gauge\n"
            "walnutwing_streams 1.5\n",
            metrics.PrometheusText());
}

TEST(LatencyHistogram, BucketsAreCumulativeAndCountEveryValue)
{
  LatencyHistogram histogram;
  for (const double seconds : { 0.0, 0.00005, 0.01, 1.0, 50.0, 1000.0 }) {
    histogram.RecordSeconds(seconds);
  }
  std::string text;
  histogram.AppendPrometheusText("x", "kind=\"order\"", text);
  EXPECT_NE(std::string::npos,
            text.find("walnutwing_x_bucket{kind=\"order\",le=\"+Inf\"} 6\n"))
    << text;
  EXPECT_NE(std::string::npos,
            text.find("walnutwing_x_bucket{kind=\"order\",le=\"100\"} 5\n"))
    << text;
  EXPECT_NE(std::string::npos,
            text.find("walnutwing_x_count{kind=\"order\"} 6\n"))
    << text;
}

} // namespace
} // namespace walnutwing
