#ifndef WALNUTWING_STANDIN_LOAD_REPORT_H_
#define WALNUTWING_STANDIN_LOAD_REPORT_H_

// What became of the requests of a load: by second and outcome, and how long
// answers took by kind. As a table, as JSON and as a plot.

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
  // aAt: when the request was due, since the start. aFirstByteLatency: until
  // its first byte, if any came. aTotalLatency: until its end.
  void Add(Duration aAt,
           LoadKind aKind,
           Outcome aOutcome,
           std::optional<Duration> aFirstByteLatency,
           Duration aTotalLatency);

  std::uint64_t Count(Outcome aOutcome) const;
  std::uint64_t Requests() const;

  // Lines of at most 84 columns: one a second, then one a kind.
  std::string Text() const;
  std::string Json() const;
  std::string Svg(const std::string& aTitle) const;

private:
  struct Kind
  {
    std::uint64_t m_requests = 0;
    LatencyHistogram m_firstByteLatency;
    LatencyHistogram m_completeLatency; // of whole answers
  };
  using Counts = std::map<Outcome, std::uint64_t>;

  std::vector<Counts> m_seconds;
  std::map<LoadKind, Kind> m_kinds;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_LOAD_REPORT_H_
