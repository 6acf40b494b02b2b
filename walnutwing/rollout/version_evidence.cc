#include "walnutwing/rollout/version_evidence.h"

#include <utility>

#include "walnutwing/placement/rendezvous.h"

namespace walnutwing {

VersionEvidence::VersionEvidence(ServiceId aService, SoftwareVersion aTo)
  : m_service(std::move(aService))
  , m_to(std::move(aTo))
{
  CountersOf("");
}

std::uint32_t
VersionEvidence::KeyOf(const std::string& aName) const
{
  // No upstream's id contains a slash.
  return static_cast<std::uint32_t>(StableHash(
    "rollout/" + m_service.Value() + "/" + m_to.Value() + "/" + aName));
}

VersionEvidence::RouteCounters&
VersionEvidence::CountersOf(const std::string& aRoute)
{
  const auto [found, added] = m_routes.try_emplace(aRoute);
  RouteCounters& counters = found->second;
  for (std::size_t i = 0; added && i < counters.m_old.size(); ++i) {
    const std::string name = "/" + std::to_string(i) + "/" + aRoute;
    counters.m_old.at(i).m_key = KeyOf("old" + name);
    counters.m_new.at(i).m_key = KeyOf("new" + name);
  }
  return counters;
}

void
VersionEvidence::AddUpstream(const UpstreamId& aUpstream)
{
  const auto [found, added] = m_upstreams.try_emplace(aUpstream);
  if (added) {
    found->second.m_key = KeyOf("bad/" + aUpstream.Value());
  }
}

void
VersionEvidence::Count(Counters& aCounters,
                       bool aFailed,
                       std::optional<bool> aSlow)
{
  aCounters[0].m_count += 1;
  aCounters[1].m_count += aFailed ? 1 : 0;
  aCounters[2].m_count += aSlow ? 1 : 0;
  aCounters[3].m_count += aSlow.value_or(false) ? 1 : 0;
}

void
VersionEvidence::OnAnswer(const RolloutAnswer& aAnswer,
                          bool aOfNew,
                          std::optional<bool> aSlow)
{
  for (const std::string& route : { std::string(), aAnswer.m_route }) {
    RouteCounters& counters = CountersOf(route);
    counters.m_hasPrompts = counters.m_hasPrompts || aAnswer.m_affinity != 0;
    Count(aOfNew ? counters.m_new : counters.m_old, aAnswer.m_failed, aSlow);
  }
  if (aOfNew && (aAnswer.m_failed || aSlow.value_or(false))) {
    AddUpstream(aAnswer.m_upstream);
    m_upstreams[aAnswer.m_upstream].m_count += 1;
  }
}

template<typename Function>
void
VersionEvidence::ForEachCounter(Function aFunction) const
{
  for (const auto& [route, counters] : m_routes) {
    for (const Counter& counter : counters.m_old) {
      aFunction(counter);
    }
    for (const Counter& counter : counters.m_new) {
      aFunction(counter);
    }
  }
  for (const auto& [upstream, counter] : m_upstreams) {
    aFunction(counter);
  }
}

void
VersionEvidence::AddTo(UpstreamLoads& aLoads) const
{
  ForEachCounter([&](const Counter& aCounter) {
    if (aCounter.m_count != 0) {
      aLoads[aCounter.m_key] = aCounter.m_count;
    }
  });
}

std::uint64_t
VersionEvidence::SumOf(const Counter& aCounter,
                       const LoadExchange& aExchange,
                       Time aNow)
{
  return aCounter.m_count +
         static_cast<std::uint64_t>(
           aExchange.ReportedByOthers(aCounter.m_key, aNow).value_or(0));
}

RolloutCounts
VersionEvidence::SumsOf(const Counters& aCounters,
                        const LoadExchange& aExchange,
                        Time aNow)
{
  RolloutCounts sums;
  sums.m_answers = SumOf(aCounters[0], aExchange, aNow);
  sums.m_failed = SumOf(aCounters[1], aExchange, aNow);
  sums.m_timed = SumOf(aCounters[2], aExchange, aNow);
  sums.m_slow = SumOf(aCounters[3], aExchange, aNow);
  return sums;
}

EvidenceSums
VersionEvidence::Sums(const LoadExchange& aExchange, Time aNow) const
{
  EvidenceSums sums;
  for (const auto& [route, counters] : m_routes) {
    sums.m_routes[route] = { SumsOf(counters.m_old, aExchange, aNow),
                             SumsOf(counters.m_new, aExchange, aNow),
                             counters.m_hasPrompts };
  }
  for (const auto& [upstream, counter] : m_upstreams) {
    sums.m_badByUpstream[upstream] = SumOf(counter, aExchange, aNow);
  }
  return sums;
}

} // namespace walnutwing
