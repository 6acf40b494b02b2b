// Compares the router's policy with naive ones on simulated engines, by load
// pattern and fault. Prints CSV lines "measure,variant,value,unit"; a variant
// is PATTERN/FAULT/POLICY.

#include <cstdio>
#include <string>

#include "bench/routing_policies.h"
#include "bench/routing_sim.h"

namespace walnutwing::bench {
namespace {

constexpr std::uint64_t kSeeds = 3;
// Mean share of the engines' slots in use under steady load.
constexpr double kLoadShare = 0.4;

void
Print(const char* aMeasure,
      const std::string& aVariant,
      double aValue,
      const char* aUnit)
{
  std::printf("%s,%s,%.4g,%s\n", aMeasure, aVariant.c_str(), aValue, aUnit);
}

template<RoutingPolicy Policy>
void
Compare(standin::LoadPattern aPattern, FleetFault aFault, const char* aPolicy)
{
  RoutingSimResult sum;
  double worst = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const RoutingSimOptions options =
      MakeUtilityLoad(aPattern, aFault, kLoadShare, seed);
    Policy policy(options);
    const RoutingSimResult one = RunRoutingSim(options, policy);
    sum.m_requests += one.m_requests;
    sum.m_inTarget += one.m_inTarget;
    sum.m_served += one.m_served;
    sum.m_refused += one.m_refused;
    sum.m_readShare += one.m_readShare / kSeeds;
    sum.m_firstP99Ms += one.m_firstP99Ms / kSeeds;
    sum.m_busiestToMeanRatio += one.m_busiestToMeanRatio / kSeeds;
    worst += static_cast<double>(one.m_worstSecondPercent) / kSeeds;
  }
  const std::string variant = std::string(NameOf(aPattern)) + "/" +
                              std::string(NameOf(aFault)) + "/" + aPolicy;
  const double share = 100.0 / static_cast<double>(sum.m_requests);
  Print("in_target", variant, share * static_cast<double>(sum.m_inTarget), "%");
  Print("served", variant, share * static_cast<double>(sum.m_served), "%");
  Print("refused", variant, share * static_cast<double>(sum.m_refused), "%");
  Print("worst_second", variant, worst, "%");
  Print("first_token_p99", variant, sum.m_firstP99Ms, "ms");
  Print("prompt_tokens_read", variant, 100 * sum.m_readShare, "%");
  Print("busiest_engine", variant, sum.m_busiestToMeanRatio, "means");
}

void
CompareAll(standin::LoadPattern aPattern, FleetFault aFault)
{
  Compare<RouterPolicy>(aPattern, aFault, "router");
  Compare<AdmitAllPolicy>(aPattern, aFault, "router_admit_all");
  Compare<LeastLoadedPolicy>(aPattern, aFault, "least_loaded");
  Compare<PowerOfTwoPolicy>(aPattern, aFault, "power_of_two");
  Compare<HashingPolicy>(aPattern, aFault, "hashing");
}

} // namespace
} // namespace walnutwing::bench

int
main()
{
  using walnutwing::bench::AllFleetFaults;
  using walnutwing::bench::FleetFault;
  using walnutwing::standin::AllLoadPatterns;
  using walnutwing::standin::LoadPattern;
  std::printf("measure,variant,value,unit\n");
  for (const LoadPattern pattern : AllLoadPatterns()) {
    walnutwing::bench::CompareAll(pattern, FleetFault::None);
  }
  for (const FleetFault fault : AllFleetFaults()) {
    if (fault != FleetFault::None) {
      walnutwing::bench::CompareAll(LoadPattern::Steady, fault);
      walnutwing::bench::CompareAll(LoadPattern::Burst, fault);
    }
  }
  return 0;
}
