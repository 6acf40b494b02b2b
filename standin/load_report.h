#ifndef WALNUTWING_STANDIN_LOAD_REPORT_H_
#define WALNUTWING_STANDIN_LOAD_REPORT_H_

// Results of a load run: requests by second and outcome, and latencies by kind,
// as a text table, as JSON and as an SVG chart.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "standin/caller_request.h"
#include "standin/latency_histogram.h"
#include "standin/load_plan.h"

namespace walnutwing::standin {

class LoadReport
{
public:
  // Records a request that was due at aAt since the start of the run.
  // aFirstByteLatency is empty if no byte of a body arrived; aTotalLatency ends
  // with the call.
  void Add(Duration aAt,
           LoadKind aKind,
           Outcome aOutcome,
           std::optional<Duration> aFirstByteLatency,
           Duration aTotalLatency);

  std::uint64_t Count(Outcome aOutcome) const;
  std::uint64_t Requests() const;

  // Lines of at most 84 columns: one per second, then one per kind.
  std::string Text() const;
  std::string Json() const;
  std::string Svg(const std::string& aTitle) const;

private:
  struct Kind
  {
    std::uint64_t m_requests = 0;
    LatencyHistogram m_firstByteLatency;
    LatencyHistogram m_completeLatency; // of complete answers
  };
  using Counts = std::map<Outcome, std::uint64_t>;

  std::vector<Counts> m_seconds;
  std::map<LoadKind, Kind> m_kinds;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_LOAD_REPORT_H_
