#include "walnutwing/routing/upstream_selector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace walnutwing {
namespace {

// Failing upstreams are skipped only if they are at most this fraction of the
// candidates: if more of them fail, the failures are not specific to them.
constexpr double kMaxDroppedFraction = 0.4;
// A zone with fewer unreachable upstreams is not considered partitioned.
constexpr std::size_t kMinUnreachableUpstreams = 2;
// Added to the load of upstreams in other zones, in requests, when a request
// without a prompt is ranked.
constexpr double kOtherZonePenaltyRequests = 0.5;

double
MeanLoad(const std::vector<double>& aLoads)
{
  double sum = 0;
  for (const double load : aLoads) {
    sum += load;
  }
  return aLoads.empty() ? 0 : sum / static_cast<double>(aLoads.size());
}

} // namespace

std::string_view
NameOf(SelectionFailure aFailure)
{
  switch (aFailure) {
    case SelectionFailure::None:
      return "none";
    case SelectionFailure::NoUpstream:
      return "no_upstream";
    case SelectionFailure::Unreachable:
      return "unreachable";
    case SelectionFailure::Cold:
      return "cold";
    case SelectionFailure::BackingOff:
      return "backing_off";
  }
  return "unknown";
}

std::string_view
NameOf(LostCause aCause)
{
  switch (aCause) {
    case LostCause::Unreachable:
      return "unreachable";
    case LostCause::Silent:
      return "silent";
  }
  return "unknown";
}

UpstreamSelector::UpstreamSelector(ZoneId aZone,
                                   SelectorOptions aOptions,
                                   const LoadExchange& aExchange)
  : m_zone(std::move(aZone))
  , m_options(aOptions)
  , m_exchange(aExchange)
{
}

void
UpstreamSelector::OnUpstream(const UpstreamDirectory& aDirectory,
                             const UpstreamId& aId,
                             UpstreamChange aChange)
{
  const KnownUpstream* known = aDirectory.Find(aId);
  if (aChange == UpstreamChange::Removed || known == nullptr) {
    m_upstreams.erase(aId);
    return;
  }
  if (aChange == UpstreamChange::None) {
    return;
  }
  if (aChange == UpstreamChange::Added) {
    m_upstreams.erase(aId); // the state before its restart is not valid
  }
  Upstream& upstream = m_upstreams[aId];
  upstream.m_entry = known->m_entry;
  upstream.m_suspect = known->m_suspect;
  upstream.m_node.m_hash = StableHash(aId.Value());
  upstream.m_loadKey = LoadKey(aId);
  upstream.m_coldUntil = std::max(upstream.m_coldUntil, known->m_coldUntil);
}

void
UpstreamSelector::SetZonesOut(const std::set<ZoneId>& aZones,
                              Duration aColdTime,
                              Time aNow)
{
  for (auto& [id, upstream] : m_upstreams) {
    const ZoneId& zone = upstream.m_entry.m_zone;
    if (m_zonesOut.contains(zone) && !aZones.contains(zone)) {
      upstream.m_coldUntil = std::max(upstream.m_coldUntil, aNow + aColdTime);
    }
  }
  m_zonesOut = aZones;
}

std::set<ZoneId>
UpstreamSelector::PartitionedZones(Time aNow) const
{
  struct Count
  {
    std::size_t m_active = 0;
    std::size_t m_unreachable = 0;
  };
  std::map<ZoneId, Count> counts;
  for (const auto& [id, upstream] : m_upstreams) {
    const bool reachable = upstream.m_tracker->Reachable(aNow);
    Count& count = counts[upstream.m_entry.m_zone];
    count.m_active += !reachable || upstream.m_tracker->InFlight() > 0 ? 1 : 0;
    count.m_unreachable += reachable ? 0 : 1;
  }
  std::set<ZoneId> partitioned;
  for (const auto& [zone, count] : counts) {
    if (count.m_unreachable >= kMinUnreachableUpstreams &&
        2 * count.m_unreachable > count.m_active) {
      partitioned.insert(zone);
    }
  }
  return partitioned.size() < counts.size() ? partitioned : std::set<ZoneId>();
}

UpstreamSelector::CandidateSet
UpstreamSelector::FindCandidates(const SelectionRequest& aRequest, Time aNow)
{
  const std::set<ZoneId> partitionedZones = PartitionedZones(aNow);
  CandidateSet candidateSet;
  for (auto& [id, upstream] : m_upstreams) {
    const UpstreamEntry& entry = upstream.m_entry;
    if (entry.m_service != aRequest.m_service) {
      continue;
    }
    ++candidateSet.m_listed;
    if (entry.m_draining || m_zonesOut.contains(entry.m_zone) ||
        aRequest.m_avoid.contains(id)) {
      continue;
    }
    if (aRequest.m_excludeRefusing &&
        upstream.m_tracker->RecentlyRefused(aNow)) {
      continue;
    }
    if (const Time backoffUntil = upstream.m_tracker->BackoffUntil();
        aNow < backoffUntil) {
      candidateSet.m_failure = SelectionFailure::BackingOff;
      candidateSet.m_backoffUntil =
        std::min(candidateSet.m_backoffUntil, backoffUntil);
      continue;
    }
    if (!upstream.m_tracker->Reachable(aNow) ||
        partitionedZones.contains(entry.m_zone)) {
      if (candidateSet.m_failure == SelectionFailure::NoUpstream) {
        candidateSet.m_failure = SelectionFailure::Unreachable;
      }
      continue;
    }
    Candidate candidate;
    candidate.m_upstream = &upstream;
    candidateSet.m_candidates.push_back(candidate);
  }
  return candidateSet;
}

// Returns the load bound: a request goes to the first candidate in its order
// whose load is below it.
double
UpstreamSelector::LoadBound(const CandidateSet& aCandidateSet,
                            double aMeanLoad) const
{
  const double sum =
    aMeanLoad * static_cast<double>(aCandidateSet.m_candidates.size());
  const double meanListed = sum / static_cast<double>(aCandidateSet.m_listed);
  const double maxLoad =
    m_options.m_loadFactor * meanListed + m_options.m_loadFactorSlack;
  return std::min(m_options.m_affinityLoadFactor * aMeanLoad +
                    m_options.m_affinityLoadSlack,
                  m_options.m_usedLoadFraction * maxLoad);
}

// Sets the loads of the candidates and the distances by which they are sorted.
void
UpstreamSelector::ComputeLoads(std::vector<Candidate>& aCandidates,
                               const SelectionRequest& aRequest,
                               Time aNow) const
{
  std::vector<double> reported;
  for (const Candidate& candidate : aCandidates) {
    if (const auto load =
          candidate.m_upstream->m_tracker->OtherDaemonsLoad(aNow)) {
      reported.push_back(*load);
    }
  }
  const double meanOtherLoad = MeanLoad(reported);
  for (Candidate& candidate : aCandidates) {
    const Upstream& upstream = *candidate.m_upstream;
    const std::uint32_t own = upstream.m_tracker->InFlight();
    const auto others =
      m_exchange.OtherDaemonsLoad(upstream.m_loadKey, own, aNow);
    candidate.m_load =
      others ? own + *others : upstream.m_tracker->Load(meanOtherLoad, aNow);
    const double zonePenalty =
      upstream.m_entry.m_zone == m_zone ? 0 : kOtherZonePenaltyRequests;
    candidate.m_distance =
      aRequest.m_affinity != 0
        ? RendezvousDistance(aRequest.m_affinity, upstream.m_node)
        : candidate.m_load + zonePenalty;
  }
}

// Drops suspect candidates unless they are the majority. A few that are missing
// from the list have probably left; if most are missing, the store has probably
// lost its data and they will register again.
void
UpstreamSelector::DropSuspect(std::vector<Candidate>& aCandidates)
{
  const auto isSuspect = [](const Candidate& aCandidate) {
    return aCandidate.m_upstream->m_suspect;
  };
  const auto count = static_cast<std::size_t>(
    std::count_if(aCandidates.begin(), aCandidates.end(), isSuspect));
  if (2 * count <= aCandidates.size()) {
    std::erase_if(aCandidates, isSuspect);
  }
}

// Drops candidates that fail more often than the median or refused a request
// recently, unless there are too many of them.
void
UpstreamSelector::DropFailing(std::vector<Candidate>& aCandidates,
                              Time aNow) const
{
  if (aCandidates.empty()) {
    return;
  }
  std::vector<double> rates;
  rates.reserve(aCandidates.size());
  for (const Candidate& candidate : aCandidates) {
    rates.push_back(candidate.m_upstream->m_tracker->FailureRate(aNow));
  }
  std::nth_element(rates.begin(),
                   rates.begin() +
                     static_cast<std::ptrdiff_t>(rates.size() / 2),
                   rates.end());
  const double limit = rates[rates.size() / 2] + m_options.m_failureMargin;
  const auto isFailing = [&](const Candidate& aCandidate) {
    return aCandidate.m_upstream->m_tracker->FailureRate(aNow) > limit ||
           aCandidate.m_upstream->m_tracker->RecentlyRefused(aNow);
  };
  const auto count = static_cast<double>(
    std::count_if(aCandidates.begin(), aCandidates.end(), isFailing));
  if (count <= kMaxDroppedFraction * static_cast<double>(aCandidates.size())) {
    std::erase_if(aCandidates, isFailing);
  }
}

bool
UpstreamSelector::MaySendCold(Upstream& aUpstream,
                              const SelectionRequest& aRequest,
                              Time aNow) const
{
  if (aRequest.m_coldPerSecond <= 0) {
    return true;
  }
  const double share =
    std::floor(m_options.m_coldRateFraction * aRequest.m_coldPerSecond /
               std::max(1U, aRequest.m_daemons));
  return static_cast<double>(aUpstream.m_coldSends.Count(aNow)) < share;
}

Choice
UpstreamSelector::Choose(const SelectionRequest& aRequest, Time aNow)
{
  Choice choice;
  CandidateSet candidateSet = FindCandidates(aRequest, aNow);
  std::vector<Candidate>& candidates = candidateSet.m_candidates;
  choice.m_failure = candidateSet.m_failure;
  choice.m_backoffUntil = candidateSet.m_backoffUntil;
  choice.m_listed = candidateSet.m_listed;
  choice.m_usable = candidates.size();
  DropSuspect(candidates);
  DropFailing(candidates, aNow);
  if (candidates.empty()) {
    return choice;
  }
  ComputeLoads(candidates, aRequest, aNow);
  std::sort(
    candidates.begin(),
    candidates.end(),
    [](const Candidate& aLeft, const Candidate& aRight) {
      return std::pair(aLeft.m_distance, aLeft.m_upstream->m_node.m_hash) <
             std::pair(aRight.m_distance, aRight.m_upstream->m_node.m_hash);
    });
  std::vector<double> loads;
  loads.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    loads.push_back(candidate.m_load);
  }
  choice.m_meanLoad = MeanLoad(loads);
  const double bound = LoadBound(candidateSet, choice.m_meanLoad);

  const Candidate* chosen = nullptr;
  const Candidate* leastLoaded = nullptr;
  const Candidate* cold = nullptr;
  for (const Candidate& candidate : candidates) {
    if (aNow < candidate.m_upstream->m_coldUntil) {
      const bool first = cold == nullptr || candidate.m_load < cold->m_load;
      if (first && MaySendCold(*candidate.m_upstream, aRequest, aNow)) {
        cold = &candidate;
      }
      continue;
    }
    if (chosen == nullptr && candidate.m_load < bound) {
      chosen = &candidate;
    }
    if (leastLoaded == nullptr || candidate.m_load < leastLoaded->m_load) {
      leastLoaded = &candidate;
    }
  }
  chosen = chosen != nullptr ? chosen : leastLoaded;
  if (chosen == nullptr || (cold != nullptr && chosen->m_load >= bound)) {
    chosen = cold;
  }
  if (chosen == nullptr) {
    choice.m_failure = SelectionFailure::Cold;
    return choice;
  }
  const Upstream& upstream = *chosen->m_upstream;
  choice.m_failure = SelectionFailure::None;
  choice.m_upstream = upstream.m_entry.m_id;
  choice.m_zone = upstream.m_entry.m_zone;
  choice.m_address = upstream.m_entry.m_address;
  choice.m_startWallMs = upstream.m_entry.m_startWallMs;
  choice.m_tracker = upstream.m_tracker;
  choice.m_load = chosen->m_load;
  choice.m_minLoad = leastLoaded == nullptr ? 0 : leastLoaded->m_load;
  choice.m_slots = std::max(1U, upstream.m_entry.m_slots);
  choice.m_loadAge = m_exchange.OtherLoadsAge(aNow).value_or(Duration(-1));
  choice.m_cold = aNow < upstream.m_coldUntil;
  choice.m_rank = static_cast<std::size_t>(chosen - candidates.data());
  return choice;
}

void
UpstreamSelector::OnSent(const Choice& aChoice, Time aNow)
{
  aChoice.m_tracker->OnSent(aNow);
  const auto found = m_upstreams.find(aChoice.m_upstream);
  if (found == m_upstreams.end()) {
    return;
  }
  // Counted for warm upstreams too: an upstream may become cold before a
  // request that has just been sent arrives.
  found->second.m_coldSends.Add(aNow);
  found->second.m_coldSends.Count(aNow); // drops expired entries
}

std::map<UpstreamId, LostCause>
UpstreamSelector::LostUpstreams(Time aNow) const
{
  std::map<UpstreamId, LostCause> lost;
  for (const auto& [id, upstream] : m_upstreams) {
    if (upstream.m_tracker->Silent(aNow)) {
      lost[id] = LostCause::Silent;
    } else if (upstream.m_tracker->Unreachable()) {
      lost[id] = LostCause::Unreachable;
    }
  }
  return lost;
}

UpstreamLoads
UpstreamSelector::OwnLoads() const
{
  UpstreamLoads loads;
  for (const auto& [id, upstream] : m_upstreams) {
    if (const std::uint32_t count = upstream.m_tracker->InFlight()) {
      loads[upstream.m_loadKey] = count;
    }
  }
  return loads;
}

} // namespace walnutwing
