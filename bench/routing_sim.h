#ifndef WALNUTWING_BENCH_ROUTING_SIM_H_
#define WALNUTWING_BENCH_ROUTING_SIM_H_

// A fleet of routers before models of engines, in simulated time: which routing
// policy serves callers best under a pattern of load or of trouble. Nothing
// here depends on the machine, so that figures can be compared between
// versions.
//
// Every event (an arrival, an engine's step, a deadline, a period of the
// routers' exchange) is handled in the order of time. A request goes to a
// router that is drawn for it; the policy chooses an engine. What fails is sent
// again, twice at most; what is refused comes back once after a pause, or, with
// retry abuse, at once and again.

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

// What happens to engines, in the middle third of the time.
enum class FleetFault
{
  None,
  SlowEngine, // one of eight answers, but eight times as slowly
  ZoneLost,   // a third of the engines is gone, and comes back empty
  RetryAbuse, // callers repeat at once, four times
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

// The chats of a water utility, with their shared parts as its load has them;
// m_perSecond fills aShare of what the engines' batches bear.
RoutingSimOptions
MakeUtilityLoad(standin::LoadPattern aPattern,
                FleetFault aFault,
                double aShare,
                std::uint64_t aSeed);

struct RoutingSimResult
{
  std::size_t m_requests = 0;
  std::size_t m_inTarget = 0; // first token in its target, whole in time
  std::size_t m_served = 0;   // whole in time
  std::size_t m_refused = 0;  // finally
  std::size_t m_worstSecondPercent = 100; // in target, of a second's requests
  double m_firstP50Ms = 0;
  double m_firstP99Ms = 0;
  // Prompt tokens read, of all that requests brought: less is a better use of
  // caches.
  double m_readShare = 0;
  double m_busiestToMeanRatio = 0; // requests at engines
};

// How a policy is told of a request.
struct SimRequest
{
  std::uint64_t m_id = 0;
  std::size_t m_router = 0;
  std::uint64_t m_affinity = 0; // of its longest shared part
  std::uint32_t m_priority = 0;
  std::uint32_t m_customer = 0;
  Duration m_target{};
  std::set<std::size_t> m_avoid; // engines that it has been sent to
};

template<typename T>
concept RoutingPolicy = requires(T& aPolicy,
                                 const SimRequest& aRequest,
                                 std::size_t aEngine,
                                 SendOutcome aOutcome,
                                 Duration aStep)
{
  // Time passes.
  aPolicy.Advance(aStep);
  // One period of whatever routers tell each other.
  aPolicy.OnExchangePeriod();
  // An engine for the request, which is sent there.
  {
    aPolicy.Choose(aRequest)
    } -> std::same_as<std::optional<std::size_t>>;
  // Bytes of an answer came.
  aPolicy.OnBytesReceived(aRequest);
  aPolicy.OnEnded(aRequest, aOutcome);
};

template<RoutingPolicy Policy>
RoutingSimResult
RunRoutingSim(const RoutingSimOptions& aOptions, Policy& aPolicy);

} // namespace walnutwing::bench

#include "bench/routing_sim_run.h"

#endif // WALNUTWING_BENCH_ROUTING_SIM_H_
