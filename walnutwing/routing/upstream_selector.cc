#include "walnutwing/routing/upstream_selector.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "walnutwing/routing/limit_shares.h"

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
// Limited engines, the first of the order, to which the requests with a part
// may go: each of them reads the part once.
constexpr std::size_t kMaxLimitedSpill = 3;
// Requests are planned for a limited engine if their weight there is not less.
constexpr double kMinPlannedWeight = 0.1;

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
    case SelectionFailure::Limited:
      return "limited";
    case SelectionFailure::VersionGone:
      return "version_gone";
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
                                   const LoadExchange& aExchange,
                                   const SendLimiter& aLimiter)
  : m_zone(std::move(aZone))
  , m_options(aOptions)
  , m_exchange(aExchange)
  , m_limiter(aLimiter)
  , m_demand(aExchange)
  , m_waiting(aExchange)
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

// Whether its class of requests is not planned for the upstream, so that it
// gets only what the others leave.
bool
UpstreamSelector::NeedsSparePermit(const Upstream& aUpstream,
                                   const SelectionRequest& aRequest)
{
  return aRequest.m_affinity != 0 &&
         aUpstream.m_node.m_weight < kMinPlannedWeight;
}

// Until when it is known that no permit can be had for a limited upstream.
Time
UpstreamSelector::ExhaustedUntil(const Upstream& aUpstream,
                                 const SelectionRequest& aRequest) const
{
  return m_limiter.ExhaustedUntil(aUpstream.m_loadKey,
                                  NeedsSparePermit(aUpstream, aRequest));
}

UpstreamSelector::CandidateSet
UpstreamSelector::FindCandidates(const SelectionRequest& aRequest,
                                 Reach aReach,
                                 Time aNow)
{
  const std::set<ZoneId> partitionedZones = PartitionedZones(aNow);
  CandidateSet candidateSet;
  bool hasVersion = !aRequest.m_version;
  for (auto& [id, upstream] : m_upstreams) {
    const UpstreamEntry& entry = upstream.m_entry;
    if (entry.m_service != aRequest.m_service) {
      continue;
    }
    ++candidateSet.m_listed;
    if (entry.m_draining || m_zonesOut.contains(entry.m_zone) ||
        (aRequest.m_version && entry.m_version != *aRequest.m_version)) {
      continue;
    }
    hasVersion = true;
    if (aRequest.m_avoid.contains(id)) {
      continue;
    }
    if (aRequest.m_excludeRefusing &&
        upstream.m_tracker->RecentlyRefused(aNow)) {
      continue;
    }
    if (const Time backoffUntil = upstream.m_tracker->BackoffUntil();
        aNow < backoffUntil) {
      if (candidateSet.m_failure != SelectionFailure::Limited) {
        candidateSet.m_failure = SelectionFailure::BackingOff;
      }
      candidateSet.m_backoffUntil =
        std::min(candidateSet.m_backoffUntil, backoffUntil);
      continue;
    }
    const bool usable = aReach == Reach::Connectable
                          ? upstream.m_tracker->Connectable(aNow)
                          : upstream.m_tracker->Reachable(aNow) &&
                              !partitionedZones.contains(entry.m_zone);
    if (!usable) {
      if (candidateSet.m_failure == SelectionFailure::NoUpstream) {
        candidateSet.m_failure = SelectionFailure::Unreachable;
      }
      continue;
    }
    Candidate candidate;
    candidate.m_upstream = &upstream;
    candidate.m_limited =
      m_limiter.Limits().LimitOf(upstream.m_loadKey, aNow).has_value();
    const Time exhaustedUntil = ExhaustedUntil(upstream, aRequest);
    candidate.m_exhausted = candidate.m_limited && (aRequest.m_excludeLimited ||
                                                    aNow < exhaustedUntil);
    if (candidate.m_exhausted) {
      candidateSet.m_failure = SelectionFailure::Limited;
      candidateSet.m_backoffUntil =
        std::min(candidateSet.m_backoffUntil, exhaustedUntil);
    }
    candidateSet.m_candidates.push_back(candidate);
  }
  if (!hasVersion) {
    candidateSet.m_failure = SelectionFailure::VersionGone;
  }
  return candidateSet;
}

// Sets the mean load and the load bound: a request goes to the first candidate
// in its order whose load is below it. Upstreams with a request limit do not
// count unless all have one, as the others have to take what they do not.
void
UpstreamSelector::ComputeBound(CandidateSet& aCandidateSet) const
{
  const auto limited = static_cast<std::size_t>(
    std::count_if(aCandidateSet.m_candidates.begin(),
                  aCandidateSet.m_candidates.end(),
                  [](const auto& aCandidate) { return aCandidate.m_limited; }));
  const bool allLimited = limited == aCandidateSet.m_candidates.size();
  double sum = 0;
  double sumOfAll = 0;
  std::size_t counted = 0;
  for (const Candidate& candidate : aCandidateSet.m_candidates) {
    sumOfAll += candidate.m_load;
    if (candidate.m_limited && !allLimited) {
      continue;
    }
    sum += candidate.m_load;
    ++counted;
  }
  const std::size_t listed =
    aCandidateSet.m_listed - (allLimited ? 0 : limited);
  const double mean = sum / static_cast<double>(counted);
  const double maxLoad =
    m_options.m_loadFactor * sum / static_cast<double>(listed) +
    m_options.m_loadFactorSlack;
  aCandidateSet.m_meanLoad = mean;
  aCandidateSet.m_bound = std::min(m_options.m_affinityLoadFactor * mean +
                                     m_options.m_affinityLoadSlack,
                                   m_options.m_usedLoadFraction * maxLoad);
  const double meanOfAll =
    sumOfAll / static_cast<double>(aCandidateSet.m_candidates.size());
  aCandidateSet.m_bound = std::min(aCandidateSet.m_bound,
                                   m_options.m_unlimitedLoadFactor * meanOfAll +
                                     m_options.m_affinityLoadSlack);
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

// Drops candidates of new versions as long as another one has a free slot.
void
UpstreamSelector::DropNewVersions(std::vector<Candidate>& aCandidates,
                                  const SelectionRequest& aRequest)
{
  const auto isNew = [&](const Candidate& aCandidate) {
    return aRequest.m_newVersions.contains(
      aCandidate.m_upstream->m_entry.m_version);
  };
  const auto isFree = [&](const Candidate& aCandidate) {
    return !isNew(aCandidate) &&
           aCandidate.m_load < aCandidate.m_upstream->m_entry.m_slots;
  };
  if (std::any_of(aCandidates.begin(), aCandidates.end(), isFree)) {
    std::erase_if(aCandidates, isNew);
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

void
UpstreamSelector::UpdateWeights(const SelectionRequest& aRequest, Time aNow)
{
  if (m_limiter.Limits().Empty() && !m_weighted) {
    return;
  }
  std::vector<RendezvousNode*> nodes;
  std::vector<std::optional<double>> limits;
  bool limited = false;
  for (auto& [id, upstream] : m_upstreams) {
    if (upstream.m_entry.m_service != aRequest.m_service ||
        upstream.m_entry.m_draining) {
      continue;
    }
    nodes.push_back(&upstream.m_node);
    limits.push_back(m_limiter.Limits().LimitOf(upstream.m_loadKey, aNow));
    limited = limited || limits.back();
  }
  std::vector<double> demands; // of larger prompts and of this class
  if (limited) {
    const auto perSecond =
      m_demand.PerSecond(aRequest.m_service, aRequest.m_daemons, aNow);
    demands.assign(perSecond.rbegin(),
                   perSecond.rend() - PromptClassOf(aRequest.m_promptTokens));
  }
  const std::vector<double> weights = LimitWeights(limits, demands);
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    nodes[i]->m_weight = weights[i];
  }
  m_weighted = !m_limiter.Limits().Empty();
}

// Picks among the candidates in their order. A limited engine other than the
// first one is the last resort for a request with a prompt: it would have to
// read the part as well.
UpstreamSelector::Pick
UpstreamSelector::PickCandidate(const CandidateSet& aCandidateSet,
                                const SelectionRequest& aRequest,
                                Time aNow) const
{
  const std::vector<Candidate>& candidates = aCandidateSet.m_candidates;
  const double bound = aCandidateSet.m_bound;
  const Candidate* withinBound = nullptr;
  const Candidate* leastLoaded = nullptr;
  const Candidate* cold = nullptr;
  const Candidate* spill = nullptr; // limited, one of the first in the order
  const Candidate* lastResort = nullptr; // limited, any
  for (const Candidate& candidate : candidates) {
    if (candidate.m_exhausted) {
      continue;
    }
    if (aNow < candidate.m_upstream->m_coldUntil) {
      const bool first = cold == nullptr || candidate.m_load < cold->m_load;
      if (first && MaySendCold(*candidate.m_upstream, aRequest, aNow)) {
        cold = &candidate;
      }
      continue;
    }
    const auto rank = static_cast<std::size_t>(&candidate - candidates.data());
    if (candidate.m_limited && aRequest.m_affinity != 0 && rank != 0) {
      lastResort = lastResort != nullptr ? lastResort : &candidate;
      if (spill == nullptr && rank < kMaxLimitedSpill &&
          candidate.m_load < bound) {
        spill = &candidate;
      }
      continue;
    }
    if (withinBound == nullptr && candidate.m_load < bound) {
      withinBound = &candidate;
    }
    if (leastLoaded == nullptr || candidate.m_load < leastLoaded->m_load) {
      leastLoaded = &candidate;
    }
  }
  Pick pick;
  pick.m_leastLoaded = leastLoaded;
  for (const Candidate* choice :
       { withinBound, spill, cold, leastLoaded, lastResort }) {
    if (choice != nullptr) {
      pick.m_chosen = choice;
      break;
    }
  }
  return pick;
}

// Counts the warm upstreams without a request limit: what the others take is
// not a matter of slots.
ServiceRoom
UpstreamSelector::RoomOf(const CandidateSet& aCandidateSet,
                         const SelectionRequest& aRequest,
                         Time aNow)
{
  ServiceRoom room;
  const std::optional<Duration> age = m_exchange.OtherLoadsAge(aNow);
  const Candidate* least = nullptr;
  for (const Candidate& candidate : aCandidateSet.m_candidates) {
    if (candidate.m_limited || aNow < candidate.m_upstream->m_coldUntil) {
      continue;
    }
    room.m_slots += std::max(1U, candidate.m_upstream->m_entry.m_slots);
    room.m_load += candidate.m_load;
    if (least == nullptr || candidate.m_load < least->m_load) {
      least = &candidate;
    }
  }
  if (!age || least == nullptr) {
    return room;
  }
  room.m_known = true;
  room.m_countedAt = aNow - *age;
  room.m_leastLoad = least->m_load;
  room.m_leastSlots = std::max(1U, least->m_upstream->m_entry.m_slots);
  room.m_waiting = m_waiting.AtOthers(aRequest.m_service, aNow);
  return room;
}

Choice
UpstreamSelector::Choose(const SelectionRequest& aRequest, Time aNow)
{
  Choice choice;
  if (aRequest.m_affinity != 0) {
    UpdateWeights(aRequest, aNow);
  }
  CandidateSet candidateSet = FindCandidates(aRequest, Reach::Heard, aNow);
  std::vector<Candidate>& candidates = candidateSet.m_candidates;
  if (aRequest.m_allowSilent && candidates.empty() &&
      candidateSet.m_failure == SelectionFailure::Unreachable) {
    candidateSet = FindCandidates(aRequest, Reach::Connectable, aNow);
    choice.m_silent = true;
  }
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
  DropNewVersions(candidates, aRequest);
  std::sort(
    candidates.begin(),
    candidates.end(),
    [](const Candidate& aLeft, const Candidate& aRight) {
      return std::pair(aLeft.m_distance, aLeft.m_upstream->m_node.m_hash) <
             std::pair(aRight.m_distance, aRight.m_upstream->m_node.m_hash);
    });
  ComputeBound(candidateSet);
  choice.m_meanLoad = candidateSet.m_meanLoad;
  choice.m_room = RoomOf(candidateSet, aRequest, aNow);

  const auto [chosen, leastLoaded] =
    PickCandidate(candidateSet, aRequest, aNow);
  if (chosen == nullptr) {
    if (choice.m_failure != SelectionFailure::Limited) {
      choice.m_failure = SelectionFailure::Cold;
    }
    return choice;
  }
  const Upstream& upstream = *chosen->m_upstream;
  choice.m_failure = SelectionFailure::None;
  choice.m_upstream = upstream.m_entry.m_id;
  choice.m_zone = upstream.m_entry.m_zone;
  choice.m_address = upstream.m_entry.m_address;
  choice.m_startWallMs = upstream.m_entry.m_startWallMs;
  choice.m_version = upstream.m_entry.m_version;
  choice.m_tracker = upstream.m_tracker;
  choice.m_load = chosen->m_load;
  if (choice.m_room.m_known && chosen->m_load < choice.m_room.m_leastLoad) {
    choice.m_room.m_leastLoad = chosen->m_load;
    choice.m_room.m_leastSlots = std::max(1U, upstream.m_entry.m_slots);
  }
  choice.m_minLoad = leastLoaded == nullptr ? 0 : leastLoaded->m_load;
  choice.m_slots = std::max(1U, upstream.m_entry.m_slots);
  choice.m_loadAge = m_exchange.OtherLoadsAge(aNow).value_or(Duration(-1));
  choice.m_requestLimit = m_limiter.Limits().LimitOf(upstream.m_loadKey, aNow);
  choice.m_needsSparePermit = NeedsSparePermit(upstream, aRequest);
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
  m_demand.AddTo(loads);
  m_waiting.AddTo(loads);
  return loads;
}

} // namespace walnutwing
