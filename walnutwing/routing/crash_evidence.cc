// The suspicions are found greedily: the trait with the most moments explains
// all crashes that it occurs in; the next trait is sought in the remaining
// ones.

#include "walnutwing/routing/crash_evidence.h"

#include <algorithm>
#include <optional>

#include "walnutwing/routing/request_fingerprint.h"

namespace walnutwing {
namespace {

// How long crashes are remembered.
constexpr Duration kCrashLifetime = std::chrono::minutes(15);
// How long after a crash other daemons are told that a trait in it is served,
// in case they missed that.
constexpr Duration kRelevantTime = std::chrono::seconds(60);
// Other crashes this long before the first one with a trait are counted too: a
// trait may be in all of the few crashes since its first request by chance.
constexpr Duration kStormTime = std::chrono::seconds(10);
// Limits on what is remembered.
constexpr std::size_t kMaxCrashes = 64;
constexpr std::size_t kMaxRequestsPerCrash = 32;
// Crashes closer to one another than this have one moment.
constexpr Duration kMomentLength = std::chrono::milliseconds(100);
// A trait that was served this long before a crash, or less, did not cause it.
// A limit, because a trait may start to crash upstreams, as with new weights.
constexpr Duration kServedValidity = std::chrono::seconds(2);
// Fewer moments are no suspicion of a part, nor fewer crashes one of a request.
constexpr std::size_t kMinMoments = 2;
constexpr std::size_t kMinCrashesOfRequest = 2;
// A part must be in so many moments more than a request to be likelier.
constexpr std::size_t kMinMomentsAhead = 2;

} // namespace

struct CrashEvidence::Tally
{
  std::set<std::size_t> m_crashes; // indexes
  std::size_t m_moments = 0;       // of these crashes
  std::optional<Time> m_servedAt;
};

std::vector<BrokenRequest>
CrashEvidence::Add(const UpstreamCrash& aCrash, Time aNow)
{
  std::vector<BrokenRequest> added;
  if (aNow - aCrash.m_at > kCrashLifetime) {
    return added;
  }
  UpstreamCrash* crash = Find(aCrash.m_incarnation);
  if (crash == nullptr) {
    if (m_crashes.size() == kMaxCrashes) {
      DropOldest();
    }
    m_crashes.push_back(
      { aCrash.m_incarnation, aCrash.m_service, aCrash.m_at, {} });
    crash = &m_crashes.back();
  }
  crash->m_at = std::min(crash->m_at, aCrash.m_at);
  for (const BrokenRequest& request : aCrash.m_requests) {
    const bool known = std::any_of(
      crash->m_requests.begin(),
      crash->m_requests.end(),
      [&](const auto& aOld) { return aOld.m_request == request.m_request; });
    if (known || crash->m_requests.size() >= kMaxRequestsPerCrash) {
      continue;
    }
    crash->m_requests.push_back(request);
    added.push_back(request);
    for (const TraitId& trait : request.m_traits) {
      Mention& mention = m_mentions[trait];
      ++mention.m_requests;
      mention.m_lastCrashAt = std::max(mention.m_lastCrashAt, crash->m_at);
      mention.m_servedAt =
        std::max(mention.m_servedAt, m_served.LastServed(trait));
    }
  }
  return added;
}

UpstreamCrash*
CrashEvidence::Find(std::uint32_t aIncarnation)
{
  const auto found =
    std::find_if(m_crashes.begin(), m_crashes.end(), [&](const auto& aCrash) {
      return aCrash.m_incarnation == aIncarnation;
    });
  return found == m_crashes.end() ? nullptr : &*found;
}

void
CrashEvidence::DropOldest()
{
  for (const BrokenRequest& request : m_crashes.front().m_requests) {
    for (const TraitId& trait : request.m_traits) {
      const auto found = m_mentions.find(trait);
      if (--found->second.m_requests == 0) {
        m_mentions.erase(found);
      }
    }
  }
  m_crashes.pop_front();
}

void
CrashEvidence::DropExpired(Time aNow)
{
  while (!m_crashes.empty() && aNow - m_crashes.front().m_at > kCrashLifetime) {
    DropOldest();
  }
}

void
CrashEvidence::OnServed(const TraitId& aTrait, Time aTime)
{
  const auto found = m_mentions.find(aTrait);
  if (found != m_mentions.end()) {
    Mention& mention = found->second;
    mention.m_servedAt = std::max(mention.m_servedAt.value_or(aTime), aTime);
  }
}

bool
CrashEvidence::IsRelevant(const TraitId& aTrait, Time aNow) const
{
  const auto found = m_mentions.find(aTrait);
  if (found == m_mentions.end()) {
    return false;
  }
  const Time crashAt = found->second.m_lastCrashAt;
  return aNow - crashAt <= kRelevantTime || CountsAgainst(aTrait, crashAt);
}

std::optional<Time>
CrashEvidence::LastServed(const TraitId& aTrait) const
{
  const std::optional<Time> served = m_served.LastServed(aTrait);
  const auto found = m_mentions.find(aTrait);
  return found == m_mentions.end() ? served
                                   : std::max(served, found->second.m_servedAt);
}

bool
CrashEvidence::CountsAgainst(const TraitId& aTrait, Time aCrashAt) const
{
  const std::optional<Time> served = LastServed(aTrait);
  return !served || *served < aCrashAt - kServedValidity;
}

std::size_t
CrashEvidence::CountAgainst(const TraitId& aTrait,
                            const std::set<TraitId>& aKnownCauses) const
{
  if (!m_mentions.contains(aTrait)) {
    return 0;
  }
  const std::set<TraitId> traits{ aTrait };
  return static_cast<std::size_t>(
    std::count_if(m_crashes.begin(), m_crashes.end(), [&](const auto& aCrash) {
      return IsExplained(aCrash, traits) &&
             !IsExplained(aCrash, aKnownCauses) &&
             CountsAgainst(aTrait, aCrash.m_at);
    }));
}

// Counts the crashes against each trait, without those that a known cause
// explains.
CrashEvidence::Tallies
CrashEvidence::CountTraits(const std::set<TraitId>& aKnownCauses) const
{
  Tallies tallies;
  for (std::size_t i = 0; i < m_crashes.size(); ++i) {
    CountCrash(i, aKnownCauses, tallies);
  }
  DropUnlikely(tallies);
  for (auto& [trait, tally] : tallies) {
    tally.m_moments = CountMoments(tally.m_crashes);
  }
  return tallies;
}

void
CrashEvidence::CountCrash(std::size_t aCrash,
                          const std::set<TraitId>& aKnownCauses,
                          Tallies& aTallies) const
{
  std::set<TraitId> traits;
  bool knownRequest = false;
  for (const BrokenRequest& request : m_crashes[aCrash].m_requests) {
    for (const TraitId& trait : request.m_traits) {
      const bool known = aKnownCauses.contains(trait);
      if (known && !IsFingerprint(trait)) {
        return;
      }
      knownRequest = knownRequest || known;
      traits.insert(trait);
    }
  }
  for (const TraitId& trait : traits) {
    const bool explained =
      knownRequest && IsFingerprint(trait) && !aKnownCauses.contains(trait);
    if (explained || !CountsAgainst(trait, m_crashes[aCrash].m_at)) {
      continue;
    }
    Tally& tally = aTallies[trait];
    tally.m_crashes.insert(aCrash);
    tally.m_servedAt = LastServed(trait);
  }
}

// Drops traits without crashes, and the many requests with a single one, which
// cannot be suspected.
void
CrashEvidence::DropUnlikely(Tallies& aTallies)
{
  std::erase_if(aTallies, [](const auto& aEntry) {
    const std::size_t crashes = aEntry.second.m_crashes.size();
    return crashes < (IsFingerprint(aEntry.first) ? kMinCrashesOfRequest : 1);
  });
}

std::size_t
CrashEvidence::CountMoments(const std::set<std::size_t>& aCrashes) const
{
  std::vector<Time> times;
  times.reserve(aCrashes.size());
  for (const std::size_t crash : aCrashes) {
    times.push_back(m_crashes[crash].m_at);
  }
  std::sort(times.begin(), times.end());
  std::size_t moments = 0;
  Time last;
  for (const Time time : times) {
    if (moments != 0 && time - last < kMomentLength) {
      continue;
    }
    ++moments;
    last = time;
  }
  return moments;
}

Suspicion
CrashEvidence::MakeSuspicion(const TraitId& aTrait,
                             const Tallies& aTallies) const
{
  const Tally& tally = aTallies.at(aTrait);
  Suspicion suspicion;
  suspicion.m_traits = { aTrait };
  suspicion.m_crashes = tally.m_crashes.size();
  suspicion.m_moments = tally.m_moments;
  suspicion.m_servedBefore = tally.m_servedAt.has_value();
  CompareWithOthers(suspicion, aTallies);
  DescribeCrashes(suspicion, tally);
  return suspicion;
}

// Sets the lead over traits of the same kind, and adds the parts that are as
// likely as the first one.
void
CrashEvidence::CompareWithOthers(Suspicion& aSuspicion,
                                 const Tallies& aTallies) const
{
  const TraitId first = aSuspicion.m_traits.front();
  const bool isRequest = IsFingerprint(first);
  const Tally& tally = aTallies.at(first);
  std::size_t next = 0;
  for (const auto& [trait, other] : aTallies) {
    if (trait == first || IsFingerprint(trait) != isRequest) {
      continue;
    }
    const bool alike = other.m_crashes == tally.m_crashes;
    if (alike && !isRequest && !other.m_servedAt && !tally.m_servedAt) {
      aSuspicion.m_traits.push_back(trait);
    }
    if ((isRequest ? other.m_crashes.size() : other.m_moments) <= next) {
      continue; // it cannot share more with the first
    }
    std::set<std::size_t> common;
    std::set_intersection(tally.m_crashes.begin(),
                          tally.m_crashes.end(),
                          other.m_crashes.begin(),
                          other.m_crashes.end(),
                          std::inserter(common, common.end()));
    next = std::max(next, isRequest ? common.size() : CountMoments(common));
  }
  aSuspicion.m_lead =
    (isRequest ? aSuspicion.m_crashes : aSuspicion.m_moments) - next;
}

// Sets when the crashes happened and whose requests were broken.
void
CrashEvidence::DescribeCrashes(Suspicion& aSuspicion, const Tally& aTally) const
{
  const TraitId& trait = aSuspicion.m_traits.front();
  std::set<std::uint32_t> requests;
  for (const std::size_t index : aTally.m_crashes) {
    const UpstreamCrash& crash = m_crashes[index];
    aSuspicion.m_firstAt = aSuspicion.m_firstAt == Time()
                             ? crash.m_at
                             : std::min(aSuspicion.m_firstAt, crash.m_at);
    aSuspicion.m_lastAt = std::max(aSuspicion.m_lastAt, crash.m_at);
    aSuspicion.m_service = crash.m_service;
    for (const BrokenRequest& request : crash.m_requests) {
      const auto& traits = request.m_traits;
      if (std::find(traits.begin(), traits.end(), trait) == traits.end()) {
        continue;
      }
      requests.insert(request.m_request);
      aSuspicion.m_customers.insert(request.m_customer);
    }
  }
  aSuspicion.m_requests = requests.size();
}

// Whether a request with one of the traits was broken by the crash.
bool
CrashEvidence::IsExplained(const UpstreamCrash& aCrash,
                           const std::set<TraitId>& aTraits)
{
  for (const BrokenRequest& request : aCrash.m_requests) {
    if (std::any_of(
          request.m_traits.begin(),
          request.m_traits.end(),
          [&](const auto& aTrait) { return aTraits.contains(aTrait); })) {
      return true;
    }
  }
  return false;
}

std::size_t
CrashEvidence::CountMeanwhile(const Suspicion& aSuspicion,
                              const std::set<TraitId>& aKnownCauses) const
{
  const std::set<TraitId> suspects(aSuspicion.m_traits.begin(),
                                   aSuspicion.m_traits.end());
  return static_cast<std::size_t>(
    std::count_if(m_crashes.begin(), m_crashes.end(), [&](const auto& aCrash) {
      return aCrash.m_service == aSuspicion.m_service &&
             aCrash.m_at >= aSuspicion.m_firstAt - kStormTime &&
             aCrash.m_at <= aSuspicion.m_lastAt &&
             (!IsExplained(aCrash, aKnownCauses) ||
              IsExplained(aCrash, suspects));
    }));
}

// Of parts, the one with the most moments; of those, the one that was served
// the longest time ago, or never.
CrashEvidence::Tallies::const_iterator
CrashEvidence::FindLikeliestPart(const Tallies& aTallies)
{
  const auto rank = [](const Tally& aTally) {
    return std::pair(aTally.m_moments,
                     -aTally.m_servedAt.value_or(Time()).time_since_epoch());
  };
  auto likeliest = aTallies.end();
  for (auto i = aTallies.begin(); i != aTallies.end(); ++i) {
    if (IsFingerprint(i->first)) {
      continue;
    }
    if (likeliest == aTallies.end() ||
        rank(likeliest->second) < rank(i->second)) {
      likeliest = i;
    }
  }
  return likeliest;
}

// Of requests, the one with the most crashes.
CrashEvidence::Tallies::const_iterator
CrashEvidence::FindLikeliestRequest(const Tallies& aTallies)
{
  auto likeliest = aTallies.end();
  for (auto i = aTallies.begin(); i != aTallies.end(); ++i) {
    if (!IsFingerprint(i->first)) {
      continue;
    }
    if (likeliest == aTallies.end() ||
        likeliest->second.m_crashes.size() < i->second.m_crashes.size()) {
      likeliest = i;
    }
  }
  return likeliest;
}

CrashEvidence::Tallies::const_iterator
CrashEvidence::FindLikeliest(const Tallies& aTallies)
{
  const auto part = FindLikeliestPart(aTallies);
  const auto request = FindLikeliestRequest(aTallies);
  if (part == aTallies.end()) {
    return request;
  }
  if (request == aTallies.end()) {
    return part;
  }
  const std::size_t least = request->second.m_moments + kMinMomentsAhead;
  return part->second.m_moments >= least ? part : request;
}

// Takes explained crashes out of all tallies.
void
CrashEvidence::DropCrashes(Tallies& aTallies,
                           const std::set<std::size_t>& aCrashes) const
{
  for (auto& [trait, tally] : aTallies) {
    const std::size_t dropped =
      std::erase_if(tally.m_crashes, [&](std::size_t aCrash) {
        return aCrashes.contains(aCrash);
      });
    if (dropped != 0) {
      tally.m_moments = CountMoments(tally.m_crashes);
    }
  }
  DropUnlikely(aTallies);
}

std::vector<Suspicion>
CrashEvidence::FindSuspicions(const std::set<TraitId>& aKnownCauses) const
{
  std::vector<Suspicion> suspicions;
  Tallies tallies = CountTraits(aKnownCauses);
  while (!tallies.empty()) {
    const auto likeliest = FindLikeliest(tallies);
    if (!IsFingerprint(likeliest->first) &&
        likeliest->second.m_moments < kMinMoments) {
      break;
    }
    Suspicion suspicion = MakeSuspicion(likeliest->first, tallies);
    suspicion.m_crashesMeanwhile = CountMeanwhile(suspicion, aKnownCauses);
    suspicions.push_back(std::move(suspicion));
    const std::set<std::size_t> explained = likeliest->second.m_crashes;
    DropCrashes(tallies, explained);
  }
  return suspicions;
}

} // namespace walnutwing
