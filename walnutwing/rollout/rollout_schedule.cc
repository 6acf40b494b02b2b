#include "walnutwing/rollout/rollout_schedule.h"

#include <algorithm>
#include <cmath>

namespace walnutwing {
namespace {

// The reserve at the end lasts a request's longest time and this, within
// fractions of the duration.
constexpr Duration kReserveSlack = std::chrono::milliseconds(2500);
constexpr double kMinReserve = 0.15;
constexpr double kMaxReserve = 0.4;
constexpr double kSwitchFraction = 0.15;
constexpr double kSurgeFraction = 0.1;
constexpr Duration kMaxStageTime = std::chrono::seconds(6);
constexpr double kEvidenceFraction = 0.6;
constexpr double kMinStageFraction = 0.5;

// Half of the exposure that is allowed, so that the rest is left for the surge.
constexpr double kTrialFraction = 0.5;
constexpr double kTrialAllowance = 0.25;
constexpr double kMaxTrialShare = 0.35;
// What Trial has left of the exposure suffices for about this share in Surge.
constexpr double kSurgeFactor = 2;
constexpr double kSwitchStartShare = 0.2;
constexpr double kLateCapacity = 0.5; // of the old version's slots

Duration
PartOf(Duration aDuration, double aFraction)
{
  return std::chrono::duration_cast<Duration>(aDuration * aFraction);
}

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

RolloutTimes
PlanRollout(Duration aDuration, Duration aLongest)
{
  const Duration reserve = std::clamp(aLongest + kReserveSlack,
                                      PartOf(aDuration, kMinReserve),
                                      PartOf(aDuration, kMaxReserve));
  RolloutTimes times;
  times.m_drain = aDuration - reserve;
  times.m_switch =
    times.m_drain - std::min(PartOf(aDuration, kSwitchFraction), kMaxStageTime);
  times.m_surge =
    times.m_switch - std::min(PartOf(aDuration, kSurgeFraction), kMaxStageTime);
  times.m_evidence =
    std::max(PartOf(aDuration, kEvidenceFraction), times.m_switch);
  return times;
}

Duration
MinTimeIn(RolloutStage aStage, const RolloutTimes& aTimes)
{
  switch (aStage) {
    case RolloutStage::Trial:
      return PartOf(aTimes.m_surge, kMinStageFraction);
    case RolloutStage::Surge:
      return PartOf(aTimes.m_switch - aTimes.m_surge, kMinStageFraction);
    case RolloutStage::Switch:
      return PartOf(aTimes.m_drain - aTimes.m_switch, kMinStageFraction);
    default:
      return Duration(0);
  }
}

double
TrialShare(double aPerSecond,
           const RolloutTimes& aTimes,
           const RolloutOptions& aOptions)
{
  const double share = std::min(1.0, kTrialFraction * aOptions.m_exposureShare);
  const double requests = aPerSecond * Seconds(aTimes.m_surge);
  if (requests <= 0) {
    return share;
  }
  const double extra = kTrialAllowance * aOptions.m_exposureAllowance;
  return std::min(share + extra / requests, std::max(share, kMaxTrialShare));
}

double
SurgeShare(const RolloutOptions& aOptions)
{
  return std::min(1.0, kSurgeFactor * aOptions.m_exposureShare);
}

double
SwitchShare(Duration aTime, const RolloutTimes& aTimes)
{
  const double length = Seconds(aTimes.m_drain - aTimes.m_switch);
  const double done = length <= 0 ? 1 : Seconds(aTime) / length;
  return std::min(1.0, kSwitchStartShare + (1 - kSwitchStartShare) * done);
}

double
CapacityShare(const RolloutFleetView& aView, bool aLate)
{
  const auto slots = static_cast<double>(aView.m_newWarmSlots);
  const auto needed = static_cast<double>(aView.m_oldSlots);
  if (slots >= needed || (aLate && slots >= kLateCapacity * needed)) {
    return 1;
  }
  return slots / needed;
}

std::size_t
FocusOf(const RolloutFleetView& aView, double aShare, std::size_t aMin)
{
  if (aView.m_newUpstreams == 0 || aView.m_newWarmSlots == 0 || aShare >= 1) {
    return 0;
  }
  const double slotsEach = static_cast<double>(aView.m_newWarmSlots) /
                           static_cast<double>(aView.m_newUpstreams);
  const double slots = aView.m_oldSlots * aShare / (1 - aShare);
  const auto wanted = static_cast<std::size_t>(std::ceil(slots / slotsEach));
  const std::size_t focus = std::max(wanted, aMin);
  return focus >= aView.m_newUpstreams ? 0 : focus;
}

} // namespace walnutwing
