#include "soak/promises.h"

#include <algorithm>
#include <sstream>

namespace walnutwing::soak {
namespace {

// How long a fault explains what is late, after its end: words of a hub hold
// for a while, and calls to the store time out and are made again.
constexpr Duration kTouch{ 4000 };
constexpr double kRecoveredShare = 0.95;

} // namespace

std::string
PathOf(AskKind aKind)
{
  switch (aKind) {
    case AskKind::Order:
      return "/order/";
    case AskKind::Lookup:
      return "/lookup/";
    case AskKind::Stream:
      return "/stream/";
    case AskKind::Resumable:
      return "/resume/";
    case AskKind::OnlyVersion:
      return "/only-";
  }
  return "/";
}

const char*
NameOf(Ending aEnding)
{
  switch (aEnding) {
    case Ending::Whole:
      return "whole";
    case Ending::NotRun:
      return "not_run";
    case Ending::NoRoute:
      return "no_route";
    case Ending::Failed:
      return "failed";
    case Ending::Broken:
      return "broken";
    case Ending::Unreachable:
      return "unreachable";
    case Ending::Wrong:
      return "wrong";
  }
  return "unknown";
}

void
Promises::Add(const std::string& aText)
{
  m_violations.push_back(aText);
}

void
Promises::OnFault(std::int64_t aRouter, Time aFrom, Time aTo)
{
  m_faults.push_back({ aRouter, aFrom, aTo });
}

void
Promises::OnUpstreamFault(Time aFrom, Time aTo)
{
  m_upstreamFaults.push_back({ kAllRouters, aFrom, aTo });
}

bool
Promises::Touched(std::int64_t aRouter, Time aFrom, Time aTo) const
{
  for (const Span& fault : m_faults) {
    const bool concerns = aRouter == kAllRouters || aRouter == fault.m_router ||
                          fault.m_router == kAllRouters;
    if (concerns && fault.m_from <= aTo && fault.m_to + kTouch >= aFrom) {
      return true;
    }
  }
  return false;
}

bool
Promises::UpstreamsTouched(Time aFrom, Time aTo) const
{
  return std::any_of(
    m_upstreamFaults.begin(), m_upstreamFaults.end(), [&](const Span& aFault) {
      return aFault.m_from <= aTo && aFault.m_to + kTouch >= aFrom;
    });
}

void
Promises::OnStop(std::uint32_t aRouter, Time aAt)
{
  m_stops.try_emplace(aRouter, aAt); // a second SIGTERM changes nothing
}

void
Promises::OnStart(std::uint32_t aRouter)
{
  m_stops.erase(aRouter);
  m_seenVersions.erase(aRouter);
}

void
Promises::OnConfigWritten(std::uint64_t aVersion, Time aAt)
{
  m_written[aVersion] = aAt;
}

void
Promises::OnZone(const std::string& aZone, bool aOut, Time aAt)
{
  if (aOut) {
    m_zonesOut[aZone] = aAt;
  } else {
    m_zonesOut.erase(aZone);
  }
}

void
Promises::OnAnswer(const Asked& aAsked, Ending aEnding, Time aNow)
{
  if (aAsked.m_kind == AskKind::Order) {
    m_orders.insert(aAsked.m_id);
  }
  if (aEnding == Ending::Wrong) {
    Add("wrong answer: " + aAsked.m_id);
  }
  if (aEnding == Ending::NotRun) {
    m_notRun.insert(aAsked.m_id);
  }
  if (aAsked.m_kind == AskKind::OnlyVersion) {
    CheckVersion(aAsked, aEnding, aNow);
  } else if (aEnding == Ending::NoRoute) {
    Add("404 on a route that every version has: " + aAsked.m_id);
  }
  const auto stop = m_stops.find(aAsked.m_router);
  const bool stopped = stop != m_stops.end() && stop->second <= aNow;
  // The proxy takes a connection that the router refuses.
  const bool refused =
    stopped && aAsked.m_fresh &&
    aAsked.m_at + m_options.m_slack > stop->second + m_options.m_acceptsFor;
  if (aEnding == Ending::Broken && stopped && !refused &&
      !Touched(aAsked.m_router, aAsked.m_at - kTouch, aNow) &&
      !UpstreamsTouched(aAsked.m_at, aNow)) {
    Add("cut by a planned stop: " + aAsked.m_id);
  }
}

// A request is handled by the version at its arrival, so that only what was
// seen before it was sent binds it.
void
Promises::CheckVersion(const Asked& aAsked, Ending aEnding, Time aNow)
{
  std::map<std::uint64_t, Time>& seen = m_seenVersions[aAsked.m_router];
  const auto seenBefore = [&](auto aFrom) {
    return std::any_of(aFrom, seen.end(), [&](const auto& aVersion) {
      return aVersion.second < aAsked.m_at;
    });
  };
  if (aEnding == Ending::Whole) {
    if (seenBefore(seen.upper_bound(aAsked.m_version))) {
      Add("an older configuration is in force again: " + aAsked.m_id);
    }
    seen.try_emplace(aAsked.m_version, aNow);
    return;
  }
  if (aEnding != Ending::NoRoute) {
    return;
  }
  const bool newest = m_written.rbegin()->first == aAsked.m_version;
  if (newest && seenBefore(seen.lower_bound(aAsked.m_version))) {
    Add("a configuration is no longer in force: " + aAsked.m_id);
  }
  const Time due = m_written.at(aAsked.m_version) + m_options.m_configLimit +
                   m_options.m_slack;
  if (newest && aAsked.m_at > due &&
      !Touched(
        aAsked.m_router, aAsked.m_at - m_options.m_configLimit, aAsked.m_at)) {
    Add("a configuration is not in force in time: " + aAsked.m_id);
  }
}

void
Promises::OnRecord(const std::string& aLine, const std::string& aZone)
{
  std::istringstream fields(aLine);
  std::int64_t ms = 0;
  std::string what;
  std::string upstream;
  std::string id;
  fields >> ms >> what >> upstream >> id;
  const Time at{ Duration(ms) };
  if (what == "drain") {
    m_drains[upstream] = at;
  } else if (what == "cold") {
    m_coldTill[upstream] = at;
  } else if (what == "arrive") {
    m_arrivals.emplace_back(at, id);
    CheckLeftAlone(upstream, aZone, at);
    const auto cold = m_coldTill.find(upstream);
    if (cold != m_coldTill.end() && at < cold->second) {
      m_coldArrivals[upstream].push_back(at);
    }
  } else if (what == "run") {
    ++m_runs[id];
  }
}

void
Promises::CheckLeftAlone(const std::string& aUpstream,
                         const std::string& aZone,
                         Time aAt)
{
  const Duration limit = m_options.m_drainLimit + m_options.m_slack;
  const auto drain = m_drains.find(aUpstream);
  const auto zone = m_zonesOut.find(aZone);
  for (const auto& [since, what] :
       { std::pair(drain == m_drains.end() ? aAt : drain->second, "drains"),
         std::pair(zone == m_zonesOut.end() ? aAt : zone->second,
                   "is in a zone that is out") }) {
    if (aAt > since + limit && !Touched(kAllRouters, aAt - limit, aAt)) {
      Add("work for an upstream that " + std::string(what) + ": " + aUpstream);
    }
  }
}

void
Promises::OnRecovered(double aWholeShare)
{
  if (aWholeShare < kRecoveredShare) {
    Add("after the last fault only this share is served: " +
        std::to_string(aWholeShare));
  }
}

void
Promises::CheckAtEnd()
{
  for (const auto& [id, runs] : m_runs) {
    if (runs > 1 && m_orders.contains(id)) {
      Add("an order ran " + std::to_string(runs) + " times: " + id);
    }
    if (m_notRun.contains(id)) {
      Add("\"not run\" of what has run: " + id);
    }
  }
  CheckRepeats();
  CheckCold();
}

void
Promises::CheckRepeats()
{
  std::sort(m_arrivals.begin(), m_arrivals.end());
  std::set<std::string> seen;
  std::deque<std::pair<Time, bool>> window; // whether it is a repeat
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
      Add("more repeats than the budget allows: " + std::to_string(repeats) +
          " for " + std::to_string(requests));
      return;
    }
  }
}

void
Promises::CheckCold()
{
  const double most = m_options.m_coldFactor * m_options.m_coldPerSecond;
  for (auto& [upstream, arrivals] : m_coldArrivals) {
    std::sort(arrivals.begin(), arrivals.end());
    for (std::size_t first = 0, i = 0; i < arrivals.size(); ++i) {
      while (arrivals[first] < arrivals[i] - Duration(1000)) {
        ++first;
      }
      if (static_cast<double>(i - first + 1) > most) {
        Add("a cold upstream got more than it bears: " + upstream);
        break;
      }
    }
  }
}

} // namespace walnutwing::soak
