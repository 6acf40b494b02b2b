#ifndef WALNUTWING_ROUTING_UPSTREAM_PACE_H_
#define WALNUTWING_ROUTING_UPSTREAM_PACE_H_

// How long work takes at an upstream at this moment, as a multiple of the
// usual: 1 is as usual, 2 takes twice as long.
//
// Upstreams share their machines with others, so their pace changes many times
// a second. Some state it in their answers. A stated pace decays towards the
// usual with its age, because it says less and less about the present, and it
// is taken to be within a factor of the usual, so that no figure alone decides
// where all requests go. The pace of an upstream that states none is 1: the
// times of its answers depend on their sizes and on the queue, and are known
// only after the pace has changed again.

#include <cstdint>
#include <optional>

#include "walnutwing/base/clock.h"

namespace walnutwing {

class UpstreamPace
{
public:
  // A pace within [1 / kMaxFactor, kMaxFactor] is used as stated.
  static constexpr double kMaxFactor = 4;
  // After this time a stated pace differs half as much from the usual.
  static constexpr Duration kHalfLife = std::chrono::milliseconds(100);
  // An upstream that has stated none for this long counts as one that does not
  // state its pace.
  static constexpr Duration kLifetime = std::chrono::seconds(10);

  // The upstream stated its pace; it must be above 0.
  void OnStated(double aPace, Time aNow);

  // Whether the upstream states its pace.
  bool IsStated(Time aNow) const;

  // The estimate for now.
  double Value(Time aNow) const;

private:
  double m_stated = 1;
  std::optional<Time> m_statedAt;
};

// What a pace adds to the time until a request would end there, in requests
// that wait for an upstream with aSlots. A part of the request's own work is
// expected to be done at that pace; the rest, like those that wait before it,
// once the pace is as usual again.
double
PacePenalty(double aPace, std::uint32_t aSlots);

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_UPSTREAM_PACE_H_
