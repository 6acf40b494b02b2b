#ifndef WALNUTWING_ROUTER_STORE_PACE_H_
#define WALNUTWING_ROUTER_STORE_PACE_H_

// How often the platform's store is read, and for how long others' word of it
// holds, so that a change is known within its bound also when the hub of the
// zone has just lost the store: a hub's word that is m_maxAge old holds for
// m_relyDuration more, then the daemon reads by itself.

#include <algorithm>

#include "router/router_settings.h"
#include "walnutwing/base/clock.h"

namespace walnutwing::router {

// The pace of one topic.
struct TopicTiming
{
  Duration m_wait{};     // how long one read waits for a record
  Duration m_interval{}; // between two reads
  Duration m_maxAge{};   // since the store answered the hub
  Duration m_relyDuration{};
};

inline Duration
PercentOf(Duration aBound, int aPercent)
{
  return aBound * aPercent / 100;
}

// Operators write seldom: a read waits, and ends often enough to notice a
// connection that has fallen silent.
inline TopicTiming
OperatorTopicTiming(const RouterSettings& aSettings)
{
  const Duration bound = aSettings.m_configLimit;
  return { PercentOf(bound, 45),
           Duration::zero(),
           PercentOf(bound, 60),
           PercentOf(bound, 25) };
}

// Upstreams register again all the time: records are fetched in batches.
inline TopicTiming
UpstreamTopicTiming(const RouterSettings& aSettings)
{
  const Duration bound = aSettings.m_drainLimit;
  return { PercentOf(bound, 20),
           PercentOf(bound, 22),
           PercentOf(bound, 50),
           PercentOf(bound, 25) };
}

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_STORE_PACE_H_
