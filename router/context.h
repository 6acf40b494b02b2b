#ifndef WALNUTWING_ROUTER_CONTEXT_H_
#define WALNUTWING_ROUTER_CONTEXT_H_

// State that the components of a router share. It lives as long as the process
// and is used from the loop's thread only.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>

#include "router/asio.h"
#include "router/event_log.h"
#include "router/memory_guard.h"
#include "router/router_settings.h"
#include "router/upstream_pool.h"
#include "walnutwing/base/metrics.h"
#include "walnutwing/rollout/rollouts.h"
#include "walnutwing/routing/admission.h"
#include "walnutwing/routing/planned_stop.h"
#include "walnutwing/routing/repeat_budget.h"
#include "walnutwing/routing/route_table.h"
#include "walnutwing/routing/send_limiter.h"
#include "walnutwing/routing/stream_versions.h"
#include "walnutwing/routing/trait_breaker.h"
#include "walnutwing/routing/upstream_selector.h"

namespace walnutwing::router {

struct Context
{
  Loop& m_loop;
  RouterSettings m_settings;
  EventLog& m_log;
  Metrics& m_metrics;
  MemoryGuard& m_memory;
  UpstreamPool& m_pool;
  UpstreamSelector& m_selector;
  SendLimiter& m_sendLimiter;
  TraitBreaker& m_traitBreaker;
  StreamVersions& m_streamVersions;
  Rollouts& m_rollouts;
  std::mt19937_64 m_random;
  std::shared_ptr<const RouteTable> m_routes; // null before the first version
  std::map<ServiceId, RepeatBudget> m_repeatBudgets;
  std::map<ServiceId, AdmissionControl> m_admissions{};
  std::uint32_t m_daemons = 1; // in the fleet; they share its budgets
  std::size_t m_requestsInProgress = 0;
  PlannedStop m_stop{};
  // An upstream says in an answer that it is leaving. aStartWallMs identifies
  // its incarnation.
  std::function<void(const UpstreamId& aId, std::int64_t aStartWallMs)>
    m_onUpstreamLeaving{};
  // Asks for a permit to send a request to the chosen upstream, which states a
  // request limit. Returns the answer, or nullopt if aOnAnswer will be called
  // with it later.
  using OnPermitAnswer = std::function<void(bool aGranted)>;
  std::function<std::optional<bool>(const Choice& aChoice,
                                    OnPermitAnswer aOnAnswer)>
    m_askPermit{};
  // The same for an attempt of a request that is suspected to crash upstreams
  // and must run alone.
  std::function<std::optional<bool>(const TraitId& aTrait,
                                    OnPermitAnswer aOnAnswer)>
    m_askSuspectPermit{};
  // Finds the version of the upstream that began a stream, which may take some
  // time.
  using OnStreamVersion = std::function<void(const VersionFinding& aFinding)>;
  std::function<void(StreamKey aStream,
                     const ServiceId& aService,
                     OnStreamVersion aOnAnswer)>
    m_findStreamVersion{};
  // A stream has begun at this daemon.
  std::function<void()> m_onStreamBegun{};
  // The breaker has news for the other daemons.
  std::function<void()> m_onTraitNews{};

  AdmissionControl& AdmissionOf(const ServiceId& aService)
  {
    return m_admissions.try_emplace(aService, AdmissionOptions()).first->second;
  }

  RepeatBudget& RepeatBudgetOf(const ServiceId& aService)
  {
    const auto found = m_repeatBudgets.find(aService);
    if (found != m_repeatBudgets.end()) {
      return found->second;
    }
    const RepeatBudgetOptions options{ m_settings.m_repeatRatio,
                                       m_settings.m_repeatAllowance,
                                       m_settings.m_repeatWindow };
    return m_repeatBudgets.emplace(aService, RepeatBudget(options))
      .first->second;
  }
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_CONTEXT_H_
