#ifndef WALNUTWING_ROUTING_REPEAT_BUDGET_H_
#define WALNUTWING_ROUTING_REPEAT_BUDGET_H_

// Bounds how often this daemon sends requests of one service again, so that the
// sum over the fleet stays within ratio x requests + allowance in every window,
// also when daemons do not hear of each other: each daemon earns the ratio from
// its own requests and takes an equal share of the allowance. A part of both is
// kept back, and repeats are counted for a little longer than requests, since
// what is counted is when requests arrive at upstreams.

#include <cstdint>

#include "walnutwing/base/clock.h"
#include "walnutwing/routing/sliding_window_counter.h"

namespace walnutwing {

struct RepeatBudgetOptions
{
  double m_ratio = 0.2;                         // repeats for each request
  double m_allowance = 50;                      // repeats in a window, fleet
  Duration m_window = std::chrono::seconds(10); // slides
  double m_usedFraction = 0.9; // part of the bound that is used
  // Requests take up to so long on their way to upstreams.
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

  // Other bounds, in the same window.
  void SetBounds(double aRatio, double aAllowance)
  {
    m_options.m_ratio = aRatio;
    m_options.m_allowance = aAllowance;
  }

  // A caller's request for the service has arrived.
  void OnRequest(Time aNow)
  {
    m_requests.Add(aNow);
    m_requests.Count(aNow);
  }

  // Repeats that may be sent now. aDaemons shares the allowance, at least 1.
  double Remaining(std::uint32_t aDaemons, Time aNow)
  {
    const double earned =
      m_options.m_ratio * static_cast<double>(m_requests.Count(aNow));
    const double limit =
      m_options.m_usedFraction * (earned + m_options.m_allowance / aDaemons);
    return limit - static_cast<double>(m_repeats.Count(aNow));
  }

  // Takes one repeat; false when the budget is spent.
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
