#ifndef WALNUTWING_ROLLOUT_RECENT_SENDS_H_
#define WALNUTWING_ROLLOUT_RECENT_SENDS_H_

// Remembers which upstreams got which parts of prompts from this router a short
// time ago, and so have them in their caches.

#include <cstdint>
#include <unordered_map>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"
#include "walnutwing/placement/rendezvous.h"

namespace walnutwing {

class RecentSends
{
public:
  void OnSent(const UpstreamId& aUpstream, std::uint64_t aAffinity, Time aNow)
  {
    if (aAffinity == 0) {
      return;
    }
    if (m_series.size() >= kMaxSeries) {
      m_series.clear();
    }
    Series& series = m_series[KeyOf(aUpstream, aAffinity)];
    if (series.m_first == Time() || aNow - series.m_last > kLifetime) {
      series.m_first = aNow;
    }
    series.m_last = aNow;
  }

  // Whether the upstream had read the part when it got a request at aSentAt.
  bool HadRead(const UpstreamId& aUpstream,
               std::uint64_t aAffinity,
               Time aSentAt) const
  {
    if (aAffinity == 0) {
      return true;
    }
    const auto found = m_series.find(KeyOf(aUpstream, aAffinity));
    return found != m_series.end() &&
           found->second.m_first + kReadTime <= aSentAt;
  }

private:
  // After longer, the cache may have dropped the part.
  static constexpr Duration kLifetime = std::chrono::seconds(10);
  // Requests that follow sooner wait until the part is read.
  static constexpr Duration kReadTime = std::chrono::seconds(1);
  static constexpr std::size_t kMaxSeries = 16384;

  // Sends of a part to an upstream, none of them too long after the last.
  struct Series
  {
    Time m_first;
    Time m_last;
  };

  static std::uint64_t KeyOf(const UpstreamId& aUpstream,
                             std::uint64_t aAffinity)
  {
    return StableHash(aUpstream.Value()) * 31 ^ aAffinity;
  }

  std::unordered_map<std::uint64_t, Series> m_series;
};

} // namespace walnutwing

#endif // WALNUTWING_ROLLOUT_RECENT_SENDS_H_
