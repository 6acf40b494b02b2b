#ifndef WALNUTWING_ROLLOUT_VERSION_EVIDENCE_H_
#define WALNUTWING_ROLLOUT_VERSION_EVIDENCE_H_

// Counts the answers of the old and the new version by route, and the bad
// answers of each upstream of the new version. Routers report their counts with
// their loads (load_exchange.h), so each knows the sums over the fleet as they
// were a few periods ago.

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"
#include "walnutwing/rollout/rollout_types.h"
#include "walnutwing/routing/load_exchange.h"

namespace walnutwing {

// Sums over the fleet.
struct EvidenceSums
{
  std::map<std::string, RolloutEvidence> m_routes; // "": all routes together
  std::map<UpstreamId, std::uint64_t> m_badByUpstream;
};

class VersionEvidence
{
public:
  VersionEvidence(ServiceId aService, SoftwareVersion aTo);

  // The new version has this upstream.
  void AddUpstream(const UpstreamId& aUpstream);

  // aSlow: nullopt if the answer's pace says nothing.
  void OnAnswer(const RolloutAnswer& aAnswer,
                bool aOfNew,
                std::optional<bool> aSlow);

  // Adds this router's counts to the loads that it reports.
  void AddTo(UpstreamLoads& aLoads) const;

  // Of the routes and upstreams that this router has used. The other routers'
  // counts are missing while they are not known.
  EvidenceSums Sums(const LoadExchange& aExchange, Time aNow) const;

private:
  struct Counter
  {
    std::uint32_t m_key = 0;
    std::uint32_t m_count = 0;
  };
  // Of one version and route, in the order of RolloutCounts.
  using Counters = std::array<Counter, 4>;
  struct RouteCounters
  {
    Counters m_old;
    Counters m_new;
    bool m_hasPrompts = false;
  };

  std::uint32_t KeyOf(const std::string& aName) const;
  RouteCounters& CountersOf(const std::string& aRoute);
  static void Count(Counters& aCounters,
                    bool aFailed,
                    std::optional<bool> aSlow);
  static std::uint64_t SumOf(const Counter& aCounter,
                             const LoadExchange& aExchange,
                             Time aNow);
  static RolloutCounts SumsOf(const Counters& aCounters,
                              const LoadExchange& aExchange,
                              Time aNow);
  template<typename Function>
  void ForEachCounter(Function aFunction) const;

  ServiceId m_service;
  SoftwareVersion m_to;
  std::map<std::string, RouteCounters> m_routes;
  std::map<UpstreamId, Counter> m_upstreams; // bad answers
};

} // namespace walnutwing

#endif // WALNUTWING_ROLLOUT_VERSION_EVIDENCE_H_
