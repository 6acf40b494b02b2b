#ifndef WALNUTWING_ROLLOUT_ROLLOUT_SCHEDULE_H_
#define WALNUTWING_ROLLOUT_ROLLOUT_SCHEDULE_H_

// The times of a roll-out's stages within its duration, and the share of the
// requests that the new version is to get in each.
//
// The old version keeps most requests for as long as the duration allows,
// because a version that turns bad does little harm until the switch. The end
// of the duration is reserved for the requests in flight at the old version and
// for a store that is slow.

#include <cstddef>

#include "walnutwing/base/clock.h"
#include "walnutwing/rollout/rollout_types.h"

namespace walnutwing {

struct RolloutTimes
{
  Duration m_surge{};  // from then on: a larger share
  Duration m_switch{}; // from then on, if judged good: a growing share
  Duration m_drain{};  // from then on: all
  // Without enough evidence, and without any that it is bad, the version is
  // taken for good.
  Duration m_evidence{};
};

// aLongest: the longest request at the old version that this router saw in
// Trial.
RolloutTimes
PlanRollout(Duration aDuration, Duration aLongest);

// The time that a router spends in a stage at least, whatever other machines'
// clocks say.
Duration
MinTimeIn(RolloutStage aStage, const RolloutTimes& aTimes);

// The new version's share of the requests in Trial. aPerSecond: requests of the
// service at all routers; 0: not known. Few requests are given a larger share,
// which the allowance covers.
double
TrialShare(double aPerSecond,
           const RolloutTimes& aTimes,
           const RolloutOptions& aOptions);

double
SurgeShare(const RolloutOptions& aOptions);

// In Switch, aTime after it began.
double
SwitchShare(Duration aTime, const RolloutTimes& aTimes);

// The largest share that the new version's warm upstreams can bear. aLate: the
// time for switching is over, so that half of the old version's slots suffice.
double
CapacityShare(const RolloutFleetView& aView, bool aLate);

// How many of the new version's upstreams are to share its requests so that
// each has the load of an old one; at least aMin, if there are so many.
std::size_t
FocusOf(const RolloutFleetView& aView, double aShare, std::size_t aMin);

} // namespace walnutwing

#endif // WALNUTWING_ROLLOUT_ROLLOUT_SCHEDULE_H_
