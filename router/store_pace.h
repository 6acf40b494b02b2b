#ifndef WALNUTWING_ROUTER_STORE_PACE_H_
#define WALNUTWING_ROUTER_STORE_PACE_H_

// How often the platform's store is read, and how long a daemon relies on the
// reads of its zone's hub. The times are percentages of the bound within which
// a change must be known, so that it also holds when the hub has just lost the
// store: state that the hub read up to m_maxAge ago is relied on for
// m_relyDuration more, and then the daemon reads the store itself.

#include <algorithm>

#include "router/router_settings.h"
#include "walnutwing/base/clock.h"

namespace walnutwing::router {

// Timing of the reads of one topic.
struct TopicTiming
{
  Duration m_wait{};         // how long a read waits for a record
  Duration m_interval{};     // between two reads
  Duration m_maxAge{};       // of the store's last response to the hub
  Duration m_relyDuration{}; // on a hub's message, before reading the store
};

inline Duration
PercentOf(Duration aBound, int aPercent)
{
  return aBound * aPercent / 100;
}

// Operators write seldom, so reads use long polling without an interval. The
// wait is short enough to detect a connection that no longer delivers anything.
inline TopicTiming
OperatorTopicTiming(const RouterSettings& aSettings)
{
  const Duration bound = aSettings.m_configLimit;
  return { PercentOf(bound, 45),
           Duration::zero(),
           PercentOf(bound, 60),
           PercentOf(bound, 25) };
}

// Upstreams renew their registrations all the time, so reads are spaced by an
// interval to fetch records in batches.
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
