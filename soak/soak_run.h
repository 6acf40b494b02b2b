#ifndef WALNUTWING_SOAK_SOAK_RUN_H_
#define WALNUTWING_SOAK_SOAK_RUN_H_

// One run of the soak: starts routers, upstreams and the store as processes
// with proxies between them, sends requests from callers, injects the faults of
// a plan and checks the guarantees.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "soak/fault_plan.h"
#include "soak/guarantee_checker.h"
#include "soak/roles.h"

namespace walnutwing::soak {

struct SoakOptions
{
  FaultPlanOptions m_plan; // its seed also determines the callers
  std::uint32_t m_callersPerRouter = 3;
  Defect m_defect = Defect::None;
  std::string m_router;    // path of the router program
  std::string m_self;      // path of this program, run as stand-ins
  std::string m_directory; // for settings, logs and records
};

struct SoakResult
{
  std::vector<std::string> m_violations;
  std::map<FaultKind, std::uint64_t> m_faults;
  std::map<RequestOutcome, std::uint64_t> m_outcomes;
  // Time from the end of a fault until callers get complete answers again (a
  // fixed number in a row). Covers only kinds of faults that the run ends
  // itself; a fault that ends meanwhile restarts the time.
  std::vector<Duration> m_recoveries;
  std::uint32_t m_processCount = 0; // that run at once
};

// Throws std::runtime_error if the fleet does not become ready before the first
// fault.
SoakResult
RunSoak(const SoakOptions& aOptions, const FaultPlan& aPlan);

} // namespace walnutwing::soak

#endif // WALNUTWING_SOAK_SOAK_RUN_H_
