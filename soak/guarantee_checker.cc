#include "soak/guarantee_checker.h"

#include <algorithm>
#include <sstream>

namespace walnutwing::soak {
namespace {

// How long after its end a fault still explains a delay: what a hub has sent
// stays valid for a while, and calls to the store time out and are retried.
constexpr Duration kFaultGracePeriod{ 4000 };
constexpr std::size_t kMinTakeUps = 12;
constexpr double kMinRecoveredShare = 0.95;

} // namespace

std::string
PathPrefixOf(RequestKind aKind)
{
  switch (aKind) {
    case RequestKind::Order:
      return "/order/";
    case RequestKind::Lookup:
      return "/lookup/";
    case RequestKind::Stream:
      return "/stream/";
    case RequestKind::Resumable:
      return "/resume/";
    case RequestKind::OnlyVersion:
      return "/only-";
    case RequestKind::Long:
      return "/long/";
  }
  return "/";
}

const char*
NameOf(RequestOutcome aOutcome)
{
  switch (aOutcome) {
    case RequestOutcome::Complete:
      return "whole";
    case RequestOutcome::NotRun:
      return "not_run";
    case RequestOutcome::NoRoute:
      return "no_route";
    case RequestOutcome::Failed:
      return "failed";
    case RequestOutcome::Broken:
      return "broken";
    case RequestOutcome::Unreachable:
      return "unreachable";
    case RequestOutcome::Wrong:
      return "wrong";
  }
  return "unknown";
}

void
GuaranteeChecker::AddViolation(const std::string& aText)
{
  m_violations.push_back(aText);
}

void
GuaranteeChecker::OnFault(std::int64_t aRouter, Time aFrom, Time aTo)
{
  m_faults.push_back({ aRouter, aFrom, aTo });
}

void
GuaranteeChecker::OnStandstill(std::uint32_t aRouter, Time aFrom, Time aTo)
{
  m_faults.push_back({ aRouter, aFrom, aTo, false });
}

void
GuaranteeChecker::OnUpstreamFault(Time aFrom, Time aTo)
{
  m_upstreamFaults.push_back({ kAllRouters, aFrom, aTo });
}

bool
GuaranteeChecker::IsAffected(std::int64_t aRouter,
                             Time aFrom,
                             Time aTo,
                             bool aForCut) const
{
  for (const FaultInterval& fault : m_faults) {
    if (aForCut && !fault.m_explainsCuts) {
      continue;
    }
    const bool concerns = aRouter == kAllRouters || aRouter == fault.m_router ||
                          fault.m_router == kAllRouters;
    if (concerns && fault.m_from <= aTo &&
        fault.m_to + kFaultGracePeriod >= aFrom) {
      return true;
    }
  }
  return false;
}

bool
GuaranteeChecker::AreUpstreamsAffected(Time aFrom, Time aTo) const
{
  return std::any_of(m_upstreamFaults.begin(),
                     m_upstreamFaults.end(),
                     [&](const FaultInterval& aFault) {
                       return aFault.m_from <= aTo &&
                              aFault.m_to + kFaultGracePeriod >= aFrom;
                     });
}

void
GuaranteeChecker::OnRouterStop(std::uint32_t aRouter, Time aAt)
{
  m_stops.try_emplace(aRouter, aAt); // a second SIGTERM has no effect
}

void
GuaranteeChecker::OnRouterStart(std::uint32_t aRouter)
{
  m_stops.erase(aRouter);
  m_seenVersions.erase(aRouter);
}

void
GuaranteeChecker::OnConfigWritten(std::uint64_t aVersion, Time aAt)
{
  m_writtenAt[aVersion] = aAt;
}

void
GuaranteeChecker::OnZoneChange(const std::string& aZone, bool aOut, Time aAt)
{
  if (aOut) {
    m_zonesOut[aZone] = aAt;
  } else {
    m_zonesOut.erase(aZone);
  }
}

void
GuaranteeChecker::OnRequestEnd(const SoakRequest& aRequest,
                               RequestOutcome aOutcome,
                               Time aNow)
{
  if (aRequest.m_kind == RequestKind::Order) {
    m_orderIds.insert(aRequest.m_id);
  }
  const bool answered = aOutcome != RequestOutcome::Broken &&
                        aOutcome != RequestOutcome::Unreachable;
  if (!aRequest.m_streamId.empty() && answered) {
    ++m_takeUps;
    m_takeUpsRefused += aRequest.m_refusedForVersion ? 1 : 0;
  }
  if (aOutcome == RequestOutcome::Wrong) {
    AddViolation("wrong answer: " + aRequest.m_id);
  }
  if (aOutcome == RequestOutcome::NotRun || aRequest.m_promisedNotRun) {
    m_notRunIds.insert(aRequest.m_id);
  }
  if (aRequest.m_kind == RequestKind::OnlyVersion) {
    CheckConfigVersion(aRequest, aOutcome, aNow);
  } else if (aOutcome == RequestOutcome::NoRoute) {
    AddViolation("404 on a route that every version has: " + aRequest.m_id);
  }
  if (aOutcome == RequestOutcome::Broken) {
    CheckNotCut(aRequest, aNow);
  }
}

void
GuaranteeChecker::CheckNotCut(const SoakRequest& aRequest, Time aNow)
{
  if (IsAffected(
        aRequest.m_router, aRequest.m_sentAt - kFaultGracePeriod, aNow, true) ||
      AreUpstreamsAffected(aRequest.m_sentAt, aNow)) {
    return;
  }
  const auto stop = m_stops.find(aRequest.m_router);
  if (stop == m_stops.end() || stop->second > aNow) {
    AddViolation("ended without an answer: " + aRequest.m_id);
    return;
  }
  // A connection that the router refuses breaks later for the caller, since the
  // proxy between them has accepted it.
  const bool refused = aRequest.m_firstOnConnection &&
                       aRequest.m_sentAt + m_options.m_slack >
                         stop->second + m_options.m_acceptAfterStop;
  const bool allowed =
    aRequest.m_sentAt <= stop->second + m_options.m_servedAfterStop &&
    aNow >= stop->second + m_options.m_cutAfterStop;
  if (!refused && !allowed) {
    AddViolation("cut by a planned stop: " + aRequest.m_id);
  }
}

// A router handles a request with the configuration in force at its arrival, so
// only versions seen in force before the request was sent restrict its outcome.
void
GuaranteeChecker::CheckConfigVersion(const SoakRequest& aRequest,
                                     RequestOutcome aOutcome,
                                     Time aNow)
{
  std::map<std::uint64_t, Time>& seen = m_seenVersions[aRequest.m_router];
  const auto seenBefore = [&](auto aFrom) {
    return std::any_of(aFrom, seen.end(), [&](const auto& aVersion) {
      return aVersion.second < aRequest.m_sentAt;
    });
  };
  if (aOutcome == RequestOutcome::Complete) {
    if (seenBefore(seen.upper_bound(aRequest.m_version))) {
      AddViolation("an older configuration is in force again: " +
                   aRequest.m_id);
    }
    seen.try_emplace(aRequest.m_version, aNow);
    return;
  }
  if (aOutcome != RequestOutcome::NoRoute) {
    return;
  }
  const bool newest = m_writtenAt.rbegin()->first == aRequest.m_version;
  if (newest && seenBefore(seen.lower_bound(aRequest.m_version))) {
    AddViolation("a configuration is no longer in force: " + aRequest.m_id);
  }
  const Time due = m_writtenAt.at(aRequest.m_version) +
                   m_options.m_configLimit + m_options.m_slack;
  if (newest && aRequest.m_sentAt > due &&
      !IsAffected(aRequest.m_router,
                  aRequest.m_sentAt - m_options.m_configLimit,
                  aRequest.m_sentAt)) {
    AddViolation("a configuration is not in force in time: " + aRequest.m_id);
  }
}

void
GuaranteeChecker::OnRecord(const std::string& aLine, const std::string& aZone)
{
  std::istringstream fields(aLine);
  std::int64_t ms = 0;
  std::string what;
  std::string upstream;
  std::string id;
  fields >> ms >> what >> upstream >> id;
  const Time at{ Duration(ms) };
  if (what == "drain") {
    m_drainedAt[upstream] = at;
  } else if (what == "cold") {
    m_coldUntil[upstream] = at;
    m_drainedAt.erase(upstream); // it has started again under its name
  } else if (what == "arrive") {
    m_arrivals.emplace_back(at, id);
    CheckArrivalAllowed(upstream, aZone, at);
    const auto cold = m_coldUntil.find(upstream);
    if (cold != m_coldUntil.end() && at < cold->second) {
      m_coldArrivals[upstream].push_back(at);
    }
  } else if (what == "run") {
    ++m_runCounts[id];
  }
}

void
GuaranteeChecker::CheckArrivalAllowed(const std::string& aUpstream,
                                      const std::string& aZone,
                                      Time aAt)
{
  const Duration limit = m_options.m_drainLimit + m_options.m_slack;
  const auto drain = m_drainedAt.find(aUpstream);
  const auto zone = m_zonesOut.find(aZone);
  for (const auto& [since, what] :
       { std::pair(drain == m_drainedAt.end() ? aAt : drain->second, "drains"),
         std::pair(zone == m_zonesOut.end() ? aAt : zone->second,
                   "is in a zone that is out") }) {
    if (aAt > since + limit && !IsAffected(kAllRouters, aAt - limit, aAt)) {
      AddViolation("work for an upstream that " + std::string(what) + ": " +
                   aUpstream);
    }
  }
}

void
GuaranteeChecker::CheckRecovery(double aCompleteShare)
{
  if (aCompleteShare < kMinRecoveredShare) {
    AddViolation("after the last fault only this share is served: " +
                 std::to_string(aCompleteShare));
  }
}

void
GuaranteeChecker::OnRouterEnded(std::uint32_t aRouter)
{
  AddViolation("a router ended by itself: " + std::to_string(aRouter));
}

void
GuaranteeChecker::CheckTakeUps()
{
  if (m_takeUps >= kMinTakeUps && 2 * m_takeUpsRefused > m_takeUps) {
    AddViolation("streams that are taken up are refused: " +
                 std::to_string(m_takeUpsRefused) + " of " +
                 std::to_string(m_takeUps));
  }
}

void
GuaranteeChecker::CheckAtEnd()
{
  CheckTakeUps();
  for (const auto& [id, runs] : m_runCounts) {
    if (runs > 1 && m_orderIds.contains(id)) {
      AddViolation("an order ran " + std::to_string(runs) + " times: " + id);
    }
    if (m_notRunIds.contains(id)) {
      AddViolation("\"not run\" of what has run: " + id);
    }
  }
  CheckRepeats();
  CheckCold();
}

void
GuaranteeChecker::CheckRepeats()
{
  std::sort(m_arrivals.begin(), m_arrivals.end());
  std::set<std::string> seen;
  std::deque<std::pair<Time, bool>> window; // and whether it is a repeat
  double repeats = 0;
  for (const auto& [at, id] : m_arrivals) {
    const bool repeat = !seen.insert(id).second;
    window.emplace_back(at, repeat);
    repeats += repeat ? 1 : 0;
    while (window.front().first < at - m_options.m_repeatWindow) {
      repeats -= window.front().second ? 1 : 0;
      window.pop_front();
    }
    const double requests = static_cast<double>(window.size()) - repeats;
    if (repeats >
        m_options.m_repeatRatio * requests + m_options.m_repeatAllowance) {
      AddViolation(
        "more repeats than the budget allows: " + std::to_string(repeats) +
        " for " + std::to_string(requests));
      return;
    }
  }
}

void
GuaranteeChecker::CheckCold()
{
  const double maxArrivals = m_options.m_coldFactor * m_options.m_coldPerSecond;
  for (auto& [upstream, arrivals] : m_coldArrivals) {
    std::sort(arrivals.begin(), arrivals.end());
    for (std::size_t first = 0, i = 0; i < arrivals.size(); ++i) {
      while (arrivals[first] < arrivals[i] - Duration(1000)) {
        ++first;
      }
      if (static_cast<double>(i - first + 1) > maxArrivals) {
        AddViolation("a cold upstream got more than it bears: " + upstream);
        break;
      }
    }
  }
}

} // namespace walnutwing::soak
