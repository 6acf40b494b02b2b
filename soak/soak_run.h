#ifndef WALNUTWING_SOAK_SOAK_RUN_H_
#define WALNUTWING_SOAK_SOAK_RUN_H_

// One run of the soak: routers, upstreams and the store as processes, proxies
// between any two of them, callers; faults by a plan, and the promises checked.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "soak/fault_plan.h"
#include "soak/promises.h"
#include "soak/roles.h"

namespace walnutwing::soak {

struct SoakOptions
{
  FaultPlanOptions m_plan; // the plan's seed is also that of the callers
  std::uint32_t m_callersPerRouter = 3;
  Defect m_defect = Defect::None;
  std::string m_router;    // the router's program
  std::string m_self;      // this program, for the stand-ins
  std::string m_directory; // for settings, logs and records
};

struct SoakResult
{
  std::vector<std::string> m_violations;
  std::map<FaultKind, std::uint64_t> m_faults;
  std::map<RequestOutcome, std::uint64_t> m_outcomes;
  // After each fault: until so many whole answers came in a row, over all
  // callers.
  std::vector<Duration> m_recoveries;
  std::uint32_t m_processCount = 0; // at once
};

// Throws std::runtime_error if the fleet does not get ready without a fault.
SoakResult
RunSoak(const SoakOptions& aOptions, const FaultPlan& aPlan);

} // namespace walnutwing::soak

#endif // WALNUTWING_SOAK_SOAK_RUN_H_
