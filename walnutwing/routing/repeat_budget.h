#ifndef WALNUTWING_ROUTING_REPEAT_BUDGET_H_
#define WALNUTWING_ROUTING_REPEAT_BUDGET_H_

// Limits the repeats (retries and stream resumptions) that this daemon sends
// for one service, so that the sum over the fleet stays within
// ratio x requests + allowance in every window. Daemons need no messages for
// this: each one earns the ratio from its own requests and takes an equal share
// of the allowance. A part of both is not used, and repeats are counted in a
// longer window than requests, because the limit applies to the times at which
// requests arrive at upstreams, which this daemon does not know exactly.

#include <cstdint>

#include "walnutwing/base/clock.h"
#include "walnutwing/routing/sliding_window_counter.h"

namespace walnutwing {

struct RepeatBudgetOptions
{
  double m_ratio = 0.2;    // repeats per request
  double m_allowance = 50; // repeats per window, for the whole fleet
  Duration m_window = std::chrono::seconds(10); // a sliding window
  double m_usedFraction = 0.9; // part of the limit that is used
  // Maximum time from sending a request until it arrives at its upstream.
  Duration m_jitter = std::chrono::milliseconds(300);
};

class RepeatBudget
{
public:
  explicit RepeatBudget(RepeatBudgetOptions aOptions)
    : m_options(aOptions)
    , m_requests(aOptions.m_window - aOptions.m_jitter)
    , m_repeats(aOptions.m_window + aOptions.m_jitter)
  {
  }

  // Changes the limits; the window stays.
  void SetBounds(double aRatio, double aAllowance)
  {
    m_options.m_ratio = aRatio;
    m_options.m_allowance = aAllowance;
  }

  // A request of a caller for the service has arrived.
  void OnRequest(Time aNow)
  {
    m_requests.Add(aNow);
    m_requests.Count(aNow); // drops expired entries
  }

  // Repeats that may be sent now; negative if the limit is exceeded. aDaemons:
  // daemons that share the allowance, at least 1.
  double Remaining(std::uint32_t aDaemons, Time aNow)
  {
    const double earned =
      m_options.m_ratio * static_cast<double>(m_requests.Count(aNow));
    const double limit =
      m_options.m_usedFraction * (earned + m_options.m_allowance / aDaemons);
    return limit - static_cast<double>(m_repeats.Count(aNow));
  }

  // Takes one repeat from the budget. Returns false if none remains.
  bool TryRepeat(std::uint32_t aDaemons, Time aNow)
  {
    if (Remaining(aDaemons, aNow) < 1) {
      return false;
    }
    m_repeats.Add(aNow);
    return true;
  }

private:
  RepeatBudgetOptions m_options;
  SlidingWindowCounter m_requests;
  SlidingWindowCounter m_repeats;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_REPEAT_BUDGET_H_
