#ifndef WALNUTWING_ROLLOUT_EXPOSURE_BUDGET_H_
#define WALNUTWING_ROLLOUT_EXPOSURE_BUDGET_H_

// Limits how many requests this router sends to a version that is not judged
// yet. Each router stays within a part of the fleet's limit that depends on
// its own requests only, so the sum over the fleet holds whatever other
// routers know, and while they restart or are cut off.

#include <algorithm>
#include <cstdint>

#include "walnutwing/base/clock.h"
#include "walnutwing/rollout/rollout_types.h"
#include "walnutwing/routing/sliding_window_counter.h"

namespace walnutwing {

class ExposureBudget
{
public:
  explicit ExposureBudget(RolloutOptions aOptions)
    : m_options(aOptions)
  {
  }

  // A request for the service has arrived.
  void OnRequest() { ++m_requests; }

  // A request may go to the new version; OnSent follows if it does.
  void OnOffered(Time aNow)
  {
    m_offered.Add(aNow);
    ++m_unsent;
  }

  // A request, or an attempt of one, is sent to the new version.
  void OnSent()
  {
    ++m_sent;
    m_unsent -= std::min<std::uint64_t>(m_unsent, 1);
  }

  // Whether one more request may be offered to the new version. aDaemons: in
  // the fleet; the most that were ever known count, as a router that has just
  // started, or is cut off, knows too few.
  bool MayOffer(std::uint32_t aDaemons, Time aNow)
  {
    m_daemons = std::max(m_daemons, aDaemons);
    m_unsent = std::min<std::uint64_t>(m_unsent, m_offered.Count(aNow));
    // Rounded by the phase, so that the limit of the fleet is used though each
    // router's part is less than one request.
    return static_cast<double>(m_sent + m_unsent) + 1 - m_options.m_phase <=
           Limit();
  }

  std::uint64_t Requests() const { return m_requests; }
  std::uint64_t Sent() const { return m_sent; }

private:
  // The rest of the share is for repeats and resumed streams, the rest of the
  // allowance for routers that restart and get theirs again.
  static constexpr double kUsedShare = 0.8;
  static constexpr double kUsedAllowance = 0.5;
  // An offered request that was not sent by then went elsewhere.
  static constexpr Duration kOfferLifetime = std::chrono::seconds(1);

  double Limit() const
  {
    return kUsedShare * m_options.m_exposureShare *
             static_cast<double>(m_requests) +
           kUsedAllowance * m_options.m_exposureAllowance / m_daemons;
  }

  RolloutOptions m_options;
  std::uint32_t m_daemons = 1;
  std::uint64_t m_requests = 0;
  std::uint64_t m_sent = 0;
  std::uint64_t m_unsent = 0; // offered and not sent yet
  SlidingWindowCounter m_offered{ kOfferLifetime };
};

} // namespace walnutwing

#endif // WALNUTWING_ROLLOUT_EXPOSURE_BUDGET_H_
