// Good and bad versions in a whole fleet: each kind of bad version is rolled
// back within the exposure that is allowed, and good ones are completed in
// time.

#include <gtest/gtest.h>

#include "walnutwing/rollout/fake_rollout_fleet.h"

namespace walnutwing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kRollbackTime = seconds(5);

FakeRolloutFleet
MakeFleet(Duration aDuration,
          FakeRolloutFleet::Faults aFaults,
          std::uint32_t aSeed = 1,
          double aPerSecond = 400)
{
  FakeRolloutFleet::Options options;
  options.m_faults = std::move(aFaults);
  options.m_duration = aDuration;
  options.m_seed = aSeed;
  options.m_perSecond = aPerSecond;
  return FakeRolloutFleet(options);
}

void
ExpectRolledBack(const FakeRolloutFleet::Faults& aFaults,
                 const std::vector<Duration>& aDurations = { seconds(10),
                                                             seconds(20),
                                                             seconds(60) })
{
  for (const Duration duration : aDurations) {
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
      SCOPED_TRACE(std::to_string(duration.count()) + " ms, seed " +
                   std::to_string(seed));
      FakeRolloutFleet fleet = MakeFleet(duration, aFaults, seed);
      fleet.Run(seconds(4));
      fleet.Order(MakeOrder(duration));
      EXPECT_EQ(fleet.RunToEnd(), RolloutState::RolledBack);
      EXPECT_LE(fleet.m_endedAfter, duration);
      fleet.Run(std::max(duration - fleet.m_endedAfter, Duration(seconds(6))));
      EXPECT_LE(fleet.m_sentToNew, 0.1 * fleet.m_requests + 50);
      if (fleet.m_fiftiethBadAt) {
        EXPECT_LE(fleet.m_lastSentToNew,
                  *fleet.m_fiftiethBadAt + kRollbackTime);
      }
    }
  }
}

// Part of the new version's answers where aWhen applies fail, or are slower.
template<typename Condition>
FakeRolloutFleet::Faults
Bad(double aFailed, double aSlow, Condition aWhen)
{
  return [=](const FakeRequest& aRequest, double aRandom) {
    FakeFault fault;
    if (aRequest.m_version == kNew && aWhen(aRequest)) {
      fault.m_failed = aRandom < aFailed;
      fault.m_slower = aRandom >= aFailed && aRandom < aFailed + aSlow ? 5 : 1;
    }
    return fault;
  };
}

const auto kAlways = [](const FakeRequest&) { return true; };

TEST(RolloutVersions, FailsFromTheStart)
{
  ExpectRolledBack(Bad(0.3, 0, kAlways));
  ExpectRolledBack(Bad(1, 0, kAlways));
}

TEST(RolloutVersions, IsSlowFromTheStart)
{
  ExpectRolledBack(Bad(0, 0.5, kAlways));
}

// From half of the duration on, so that its first answers show nothing.
TEST(RolloutVersions, FailsOnlyLater)
{
  for (const Duration duration : { seconds(10), seconds(20), seconds(60) }) {
    const auto late = [duration](const FakeRequest& aRequest) {
      return aRequest.m_sinceOrder >= duration / 2;
    };
    ExpectRolledBack(Bad(0.3, 0, late), { duration });
  }
}

// Bad only at upstreams that have about the load of an old one.
TEST(RolloutVersions, FailsOnlyUnderLoad)
{
  ExpectRolledBack(Bad(0.6, 0, [](const FakeRequest& aRequest) {
    return aRequest.m_atUpstream >= 4;
  }));
}

TEST(RolloutVersions, FailsOnOneRouteOnly)
{
  ExpectRolledBack(Bad(0.5, 0, [](const FakeRequest& aRequest) {
    return aRequest.m_route == "pay";
  }));
}

void
ExpectCompleted(const FakeRolloutFleet::Faults& aFaults,
                double aPerSecond = 400)
{
  for (const Duration duration : { seconds(10), seconds(20), seconds(60) }) {
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
      SCOPED_TRACE(std::to_string(duration.count()) + " ms, seed " +
                   std::to_string(seed));
      FakeRolloutFleet fleet = MakeFleet(duration, aFaults, seed, aPerSecond);
      fleet.Run(seconds(4));
      fleet.Order(MakeOrder(duration));
      EXPECT_EQ(fleet.RunToEnd(), RolloutState::Completed);
      EXPECT_LE(fleet.m_endedAfter, duration);
      EXPECT_EQ(fleet.m_oldRequestsAtCompleted, 0U);
    }
  }
}

// Its upstreams have read no prompts yet, which must not look slow.
TEST(RolloutVersions, GoodVersionIsCompletedInTime)
{
  ExpectCompleted(nullptr);
}

// Most of both versions' answers fail, before and during the roll-out.
TEST(RolloutVersions, FailingServiceDoesNotCondemnTheVersion)
{
  ExpectCompleted([](const FakeRequest&, double aRandom) {
    return FakeFault{ aRandom < 0.3, 1 };
  });
}

// The whole service fails and is slow for some seconds in the trial, as in an
// outage of something behind it.
TEST(RolloutVersions, OutageOfTheServiceDoesNotCondemnTheVersion)
{
  ExpectCompleted([](const FakeRequest& aRequest, double aRandom) {
    const bool outage =
      aRequest.m_sinceOrder >= seconds(2) && aRequest.m_sinceOrder < seconds(3);
    return FakeFault{ outage && aRandom < 0.8, outage ? 4.0 : 1.0 };
  });
}

// One of the new upstreams has a fault of its own, until the selector drops it.
TEST(RolloutVersions, ABadUpstreamDoesNotCondemnTheVersion)
{
  ExpectCompleted([](const FakeRequest& aRequest, double aRandom) {
    const bool faulty = aRequest.m_upstream == UpstreamId("n0") &&
                        aRequest.m_sinceOrder >= seconds(2) &&
                        aRequest.m_sinceOrder < milliseconds(2700);
    return FakeFault{ faulty && aRandom < 0.8, 1 };
  });
}

// Two requests a second show little; the version is then taken for good.
TEST(RolloutVersions, TooLittleTrafficCompletes)
{
  ExpectCompleted(nullptr, 2);
}

} // namespace
} // namespace walnutwing
