// Compares the router's policy with naive ones on simulated engines, by load
// pattern and fault. Bounds are the product's targets, in percent of all
// requests.

#include "bench/routing_sim.h"

#include "bench/routing_policies.h"

#include <gtest/gtest.h>

namespace walnutwing::bench {
namespace {

using standin::LoadPattern;

// Steady load leaves the engines spare capacity; a burst exceeds it.
constexpr double kLoadShare = 0.4;
// The share in target of a single seed varies by one or two percentage points.
constexpr std::uint64_t kSeeds = 3;

struct Percentages
{
  double m_inTarget = 0;
  double m_served = 0;
  double m_promptTokensRead = 0; // of the prompt tokens of all requests
};

// Means over kSeeds runs.
template<RoutingPolicy Policy>
Percentages
MeanPercentages(LoadPattern aPattern, FleetFault aFault)
{
  Percentages mean;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const RoutingSimOptions options =
      MakeUtilityLoad(aPattern, aFault, kLoadShare, seed);
    Policy policy(options);
    const RoutingSimResult result = RunRoutingSim(options, policy);
    const double share =
      100.0 / kSeeds / static_cast<double>(result.m_requests);
    mean.m_inTarget += share * static_cast<double>(result.m_inTarget);
    mean.m_served += share * static_cast<double>(result.m_served);
    mean.m_promptTokensRead += 100 * result.m_readShare / kSeeds;
  }
  return mean;
}

TEST(RoutingSim, SameSeedGivesTheSameResult)
{
  const auto one =
    MeanPercentages<RouterPolicy>(LoadPattern::Burst, FleetFault::ZoneLost);
  const auto same =
    MeanPercentages<RouterPolicy>(LoadPattern::Burst, FleetFault::ZoneLost);
  EXPECT_EQ(one.m_inTarget, same.m_inTarget);
  EXPECT_EQ(one.m_served, same.m_served);
}

TEST(RoutingSim, SteadyLoadMeetsTargets)
{
  const Percentages router =
    MeanPercentages<RouterPolicy>(LoadPattern::Steady, FleetFault::None);
  EXPECT_GE(router.m_inTarget, 98);
  EXPECT_GE(router.m_served, 99.9);
}

// Engines read a third fewer prompt tokens than with a policy without affinity,
// and at most 3% more than with pure hashing.
TEST(RoutingSim, AffinityReducesPromptTokensRead)
{
  const auto pattern = LoadPattern::Steady;
  const auto fault = FleetFault::None;
  const double read =
    MeanPercentages<RouterPolicy>(pattern, fault).m_promptTokensRead;
  EXPECT_LT(
    read,
    0.67 *
      MeanPercentages<LeastLoadedPolicy>(pattern, fault).m_promptTokensRead);
  EXPECT_LT(
    read,
    1.03 * MeanPercentages<HashingPolicy>(pattern, fault).m_promptTokensRead);
}

struct Case
{
  LoadPattern m_pattern;
  FleetFault m_fault;
};

class RoutingPattern : public testing::TestWithParam<Case>
{};

// The router is at most two percentage points behind any naive policy.
TEST_P(RoutingPattern, RouterIsAtMostTwoPointsBehindNaivePolicies)
{
  const auto [pattern, fault] = GetParam();
  const double router =
    MeanPercentages<RouterPolicy>(pattern, fault).m_inTarget;
  const double leastLoaded =
    MeanPercentages<LeastLoadedPolicy>(pattern, fault).m_inTarget;
  const double powerOfTwo =
    MeanPercentages<PowerOfTwoPolicy>(pattern, fault).m_inTarget;
  const double hashing =
    MeanPercentages<HashingPolicy>(pattern, fault).m_inTarget;
  EXPECT_GE(router, leastLoaded - 2);
  EXPECT_GE(router, powerOfTwo - 2);
  EXPECT_GE(router, hashing - 2);
}

INSTANTIATE_TEST_SUITE_P(
  Patterns,
  RoutingPattern,
  testing::Values(Case{ LoadPattern::Steady, FleetFault::None },
                  Case{ LoadPattern::Burst, FleetFault::None },
                  Case{ LoadPattern::HotKey, FleetFault::None },
                  Case{ LoadPattern::HotCustomer, FleetFault::None },
                  Case{ LoadPattern::Steady, FleetFault::SlowEngine },
                  Case{ LoadPattern::Burst, FleetFault::SlowEngine },
                  Case{ LoadPattern::Steady, FleetFault::ZoneLost },
                  Case{ LoadPattern::Burst, FleetFault::ZoneLost },
                  Case{ LoadPattern::Burst, FleetFault::RetryAbuse }),
  [](const auto& aInfo) {
    return std::string(NameOf(aInfo.param.m_pattern)) + "_" +
           std::string(NameOf(aInfo.param.m_fault));
  });

// A burst while a zone is lost: without refusals, requests that could be in
// time wait behind requests that will miss their target anyway.
TEST(RoutingSim, AdmissionControlRaisesRequestsInTarget)
{
  const auto pattern = LoadPattern::Burst;
  const auto fault = FleetFault::ZoneLost;
  EXPECT_GE(MeanPercentages<RouterPolicy>(pattern, fault).m_inTarget,
            MeanPercentages<AdmitAllPolicy>(pattern, fault).m_inTarget + 3);
}

} // namespace
} // namespace walnutwing::bench
