#ifndef WALNUTWING_BENCH_ROUTING_SIM_H_
#define WALNUTWING_BENCH_ROUTING_SIM_H_

// Simulates a fleet of routers and model engines to compare routing policies
// under load patterns and faults. Time is simulated and nothing depends on the
// machine, so that figures can be compared between versions.
//
// A discrete-event simulation: arrivals, engine steps, deadlines and periods of
// the routers' load exchange are handled in order of time. Each request is
// assigned to a random router; the policy chooses an engine. A failed request
// is sent again at most twice. The caller retries a refused request once after
// a delay, or up to four times almost immediately under retry abuse.

#include <concepts>
#include <cstdint>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "standin/load_plan.h"
#include "standin/token_engine.h"
#include "walnutwing/base/clock.h"
#include "walnutwing/routing/upstream_tracker.h"

namespace walnutwing::bench {

inline constexpr std::size_t kSimZones = 3;

// A fault that is active during the middle third of the run.
enum class FleetFault
{
  None,
  SlowEngine, // one engine of eight is eight times slower
  ZoneLost,   // a third of the engines is lost and returns empty
  RetryAbuse, // callers retry refused requests at once, four times
};

std::span<const FleetFault>
AllFleetFaults();

std::string_view
NameOf(FleetFault aFault);

struct RoutingSimOptions
{
  std::size_t m_routers = 8;
  std::size_t m_engines = 24; // engine i is in zone i % kSimZones
  standin::TokenEngineOptions m_engine;
  standin::LoadPlanOptions m_load;
  FleetFault m_fault = FleetFault::None;
};

// The load of a water utility, with shared prompt prefixes as in its chats. The
// arrival rate uses the share aShare of the engines' slots.
RoutingSimOptions
MakeUtilityLoad(standin::LoadPattern aPattern,
                FleetFault aFault,
                double aShare,
                std::uint64_t aSeed);

struct RoutingSimResult
{
  std::size_t m_requests = 0;
  std::size_t m_inTarget = 0; // first token within target, complete by deadline
  std::size_t m_served = 0;   // complete by its deadline
  std::size_t m_refused = 0;  // after all retries of the caller
  // Lowest percentage of requests in target in a second of the run, without its
  // first and last seconds.
  std::size_t m_worstSecondPercent = 100;
  double m_firstP50Ms = 0;
  double m_firstP99Ms = 0;
  // Prompt tokens that engines read, per prompt token of all requests; lower
  // means better cache reuse.
  double m_readShare = 0;
  double m_busiestToMeanRatio = 0; // of the requests sent to each engine
};

// A request as a policy sees it.
struct SimRequest
{
  std::uint64_t m_id = 0;
  std::size_t m_router = 0;
  std::uint64_t m_affinity = 0; // key of its longest shared prefix
  std::uint32_t m_priority = 0;
  std::uint32_t m_customer = 0;
  Duration m_target{};
  std::set<std::size_t> m_avoid; // engines already tried
};

template<typename T>
concept RoutingPolicy = requires(T& aPolicy,
                                 const SimRequest& aRequest,
                                 std::size_t aEngine,
                                 SendOutcome aOutcome,
                                 Duration aStep)
{
  // Advances the policy's clock.
  aPolicy.Advance(aStep);
  // Runs one period of the routers' load exchange.
  aPolicy.OnExchangePeriod();
  // Chooses the engine to which the request is then sent; nullopt refuses it.
  {
    aPolicy.Choose(aRequest)
    } -> std::same_as<std::optional<std::size_t>>;
  // Bytes of a response were received.
  aPolicy.OnBytesReceived(aRequest);
  aPolicy.OnEnded(aRequest, aOutcome);
};

template<RoutingPolicy Policy>
RoutingSimResult
RunRoutingSim(const RoutingSimOptions& aOptions, Policy& aPolicy);

} // namespace walnutwing::bench

#include "bench/routing_sim_run.h"

#endif // WALNUTWING_BENCH_ROUTING_SIM_H_
