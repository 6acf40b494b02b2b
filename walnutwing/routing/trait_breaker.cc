// The state is merged from the daemons' news in such a way that their order
// does not matter: crashes are a union, of times when a trait was served and of
// trials the greatest wins, and a trait that was served after it was blocked is
// not blocked. So daemons that hear the same news agree, however they got it.

#include "walnutwing/routing/trait_breaker.h"

#include <algorithm>
#include <set>
#include <stdexcept>

#include "walnutwing/placement/rendezvous.h"
#include "walnutwing/routing/request_fingerprint.h"

namespace walnutwing {
namespace {

// Crashes at different moments, all with the trait, until it is blocked.
constexpr std::size_t kCrashesToBlock = 4;
// The same while no request of the service is served, as the upstreams may then
// crash for any reason, and of a trait that was served some time ago.
constexpr std::size_t kCrashesToBlockInDoubt = 6;
// Different requests with a part until it is blocked.
constexpr std::size_t kMinRequestsOfPart = 3;
// Upstreams that a request has crashed until it is blocked, and the same in
// doubt.
constexpr std::size_t kRequestCrashesToBlock = 4;
constexpr std::size_t kRequestCrashesToBlockInDoubt = 6;
// From the first of them to the last. When many upstreams crash one after the
// other, a sound request may be sent from one to the next and is broken at
// each, but hardly a second later again.
constexpr Duration kMinRequestCrashSpan = std::chrono::seconds(1);
// Upstreams that a request may have crashed, from which on it runs alone.
constexpr std::size_t kCrashesToRunAlone = 3;
// A trait that explains a smaller fraction of the crashes is not their cause.
// After more crashes the fraction may be smaller, as several traits may crash
// upstreams at the same time.
constexpr double kMinExplainedFraction = 0.75;
constexpr std::size_t kManyCrashes = 5;
constexpr double kMinExplainedFractionOfMany = 0.4;
// A trait that leads by so many crashes is blocked at once; otherwise only once
// the first crash is so long ago that other daemons' news of it has arrived.
constexpr std::size_t kClearLead = 2;
constexpr Duration kNewsDelay = std::chrono::seconds(1);
// Customers whose requests were broken, from which on all are affected.
constexpr std::size_t kCustomersForAll = 2;

// A blocked trait is tried again after this time, which doubles with each
// trial, and after the last trial it stays blocked until it is forgotten.
constexpr Duration kTrialDelay = std::chrono::seconds(60);
constexpr std::uint32_t kMaxTrials = 2;
constexpr Duration kBlockLifetime = std::chrono::minutes(30);
// The daemon that may try changes so often, as it may get no such request.
constexpr Duration kTrialTurn = std::chrono::seconds(30);
// A trial without a result no longer counts after this time.
constexpr Duration kTrialTimeout = std::chrono::seconds(15);

// How long news are repeated, for daemons that missed a message.
constexpr Duration kNewsLifetime = std::chrono::seconds(2);
// A trait that is served often is reported this often at most.
constexpr Duration kServedNewsInterval = std::chrono::milliseconds(500);
// A trait that was served at most this long before it was blocked was blocked
// wrongly, for want of that news.
constexpr Duration kServedBeforeBlock = std::chrono::seconds(2);
// Evidence is evaluated at most once in this time, and in as much more for each
// kCrashesPerInterval crashes, as evaluating more of them takes longer.
constexpr Duration kEvaluationInterval = std::chrono::milliseconds(20);
constexpr std::size_t kCrashesPerInterval = 8;
// For so long after its last crash a suspicion is evaluated again without new
// evidence, because a decision may have to wait for kNewsDelay.
constexpr Duration kReevaluationTime = 2 * kNewsDelay;

// Limits on what is remembered and sent.
constexpr std::size_t kMaxBlockedTraits = 64;
constexpr std::size_t kMaxRecentCrashes = 256;
constexpr std::size_t kMaxRequestsInNews = 64;
constexpr std::size_t kMaxServedInNews = 64;
constexpr std::size_t kMaxServices = 64;

std::uint32_t
ShortHash(std::string_view aText)
{
  return static_cast<std::uint32_t>(StableHash(aText));
}

bool
AppliesTo(const BlockedTrait& aBlock, std::uint32_t aCustomer)
{
  return aBlock.m_allCustomers || aBlock.m_customers.contains(aCustomer);
}

// Adds a customer whose request was broken. Returns whether the block now
// applies to more customers.
bool
AddCustomer(BlockedTrait& aBlock, std::uint32_t aCustomer)
{
  if (aBlock.m_allCustomers || !aBlock.m_customers.insert(aCustomer).second) {
    return false;
  }
  aBlock.m_allCustomers = aBlock.m_customers.size() >= kCustomersForAll;
  if (aBlock.m_allCustomers) {
    aBlock.m_customers.clear();
  }
  return true;
}

// When the trait may be tried again, or else forgotten.
Time
NextChangeAt(const BlockedTrait& aBlock)
{
  return aBlock.m_since + (aBlock.m_trials < kMaxTrials
                             ? kTrialDelay * (1U << aBlock.m_trials)
                             : kBlockLifetime);
}

} // namespace

std::string_view
NameOf(TraitChangeKind aKind)
{
  switch (aKind) {
    case TraitChangeKind::Blocked:
      return "blocked";
    case TraitChangeKind::Learned:
      return "learned";
    case TraitChangeKind::Extended:
      return "extended";
    case TraitChangeKind::Tried:
      return "tried";
    case TraitChangeKind::Cleared:
      return "cleared";
    case TraitChangeKind::Forgotten:
      return "forgotten";
  }
  throw std::out_of_range("no such TraitChangeKind");
}

std::vector<const BlockedTrait*>
TraitBreaker::FindBlocks(const RequestTraits& aRequest) const
{
  std::vector<const BlockedTrait*> blocks;
  const std::uint32_t customer = ShortHash(aRequest.m_customer.Value());
  for (const TraitId& trait : aRequest.m_traits) {
    const auto found = m_blocked.find(trait);
    if (found != m_blocked.end() && AppliesTo(found->second, customer)) {
      blocks.push_back(&found->second);
    }
  }
  return blocks;
}

TraitVerdict
TraitBreaker::Check(const RequestTraits& aRequest, Time aNow)
{
  const std::vector<const BlockedTrait*> blocks = FindBlocks(aRequest);
  for (const BlockedTrait* block : blocks) {
    if (IsTrialDue(*block, aNow)) {
      continue;
    }
    const Duration wait =
      std::max<Duration>(NextChangeAt(*block) - aNow, std::chrono::seconds(1));
    return { false, false, block->m_trait, wait, false };
  }
  for (const BlockedTrait* block : blocks) {
    m_trials[block->m_trait] = aNow;
    Report(TraitChangeKind::Tried, *block);
  }
  if (!blocks.empty()) {
    return { true, true, blocks.front()->m_trait, {}, false };
  }
  for (const TraitId& trait : aRequest.m_traits) {
    if (MustRunAlone(trait)) {
      return { true, false, trait, {}, true };
    }
  }
  return {};
}

// Whether it is a request that several crashes count against, so that it may be
// their cause, but others may be as well.
bool
TraitBreaker::MustRunAlone(const TraitId& aTrait) const
{
  return IsFingerprint(aTrait) && m_evidence.Crashes() >= kCrashesToRunAlone &&
         m_evidence.CountAgainst(aTrait, KnownCauses()) >= kCrashesToRunAlone;
}

std::set<TraitId>
TraitBreaker::KnownCauses() const
{
  std::set<TraitId> causes;
  for (const auto& [trait, block] : m_blocked) {
    causes.insert(trait);
  }
  return causes;
}

bool
TraitBreaker::IsTrialDue(const BlockedTrait& aBlock, Time aNow) const
{
  const Time dueAt = NextChangeAt(aBlock);
  if (aBlock.m_trials >= kMaxTrials || aNow < dueAt) {
    return false;
  }
  const auto trial = m_trials.find(aBlock.m_trait);
  if (trial != m_trials.end() && aNow - trial->second < kTrialTimeout) {
    return false;
  }
  // The turn goes to the member that is nearest by rendezvous hashing.
  const std::uint64_t key =
    StableHash(aBlock.m_trait.Value() + "/" + std::to_string(aBlock.m_trials) +
               "/" + std::to_string((aNow - dueAt) / kTrialTurn));
  const auto distance = [key](const DaemonId& aMember) {
    return RendezvousDistance(key, { StableHash(aMember.Value()) });
  };
  return std::all_of(
    m_members.begin(), m_members.end(), [&](const auto& aMember) {
      return aMember == m_self || distance(m_self) < distance(aMember);
    });
}

bool
TraitBreaker::MayRepeat(const RequestTraits& aRequest, Time aNow)
{
  EvaluateIfDue(aNow);
  return std::none_of(aRequest.m_traits.begin(),
                      aRequest.m_traits.end(),
                      [&](const TraitId& aTrait) {
                        return m_blocked.contains(aTrait) ||
                               IsSuspected(aTrait) || MustRunAlone(aTrait);
                      });
}

bool
TraitBreaker::IsSuspected(const TraitId& aTrait) const
{
  for (const Suspicion& suspicion : m_suspicions) {
    const auto& traits = suspicion.m_traits;
    if (std::find(traits.begin(), traits.end(), aTrait) != traits.end()) {
      return !IsFingerprint(aTrait) || suspicion.m_lead > 0;
    }
  }
  return false;
}

void
TraitBreaker::OnServed(const RequestTraits& aRequest, Time aNow)
{
  if (m_serviceServedAt.size() >= kMaxServices) {
    m_serviceServedAt.clear(); // services have come and gone
  }
  m_serviceServedAt[ShortHash(aRequest.m_service.Value())] = aNow;
  for (const TraitId& trait : aRequest.m_traits) {
    m_trials.erase(trait);
    MergeServed({ trait, aNow }, true, aNow);
  }
}

void
TraitBreaker::OnBroken(const RequestTraits& aRequest,
                       std::uint32_t aIncarnation,
                       Time aNow)
{
  if (aRequest.m_traits.empty()) {
    return;
  }
  UpstreamCrash crash;
  crash.m_incarnation = aIncarnation;
  crash.m_service = ShortHash(aRequest.m_service.Value());
  crash.m_at = aNow;
  crash.m_requests.push_back(
    { static_cast<std::uint32_t>(aRequest.m_requestHash),
      ShortHash(aRequest.m_customer.Value()),
      aRequest.m_traits });
  AddCrash(crash, true, aNow);
  EndTrials(aRequest, aNow);
}

// A trial that was broken like the requests before it has failed.
void
TraitBreaker::EndTrials(const RequestTraits& aRequest, Time aNow)
{
  for (const TraitId& trait : aRequest.m_traits) {
    const auto block = m_blocked.find(trait);
    if (m_trials.erase(trait) == 0 || block == m_blocked.end()) {
      continue;
    }
    ++block->second.m_trials;
    block->second.m_since = aNow;
    m_hasNews = true;
    Report(TraitChangeKind::Extended, block->second);
  }
}

void
TraitBreaker::OnTrialEnded(const TraitId& aTrait)
{
  m_trials.erase(aTrait);
}

bool
TraitBreaker::AddCrash(const UpstreamCrash& aCrash, bool aOwn, Time aNow)
{
  const std::vector<BrokenRequest> added = m_evidence.Add(aCrash, aNow);
  for (const BrokenRequest& request : added) {
    if (m_recentCrashes.size() == kMaxRecentCrashes) {
      m_recentCrashes.pop_front();
    }
    UpstreamCrash news = aCrash;
    news.m_requests = { request };
    m_recentCrashes.push_back({ std::move(news), aNow, aOwn });
    ExtendBlocks(request);
    for (const TraitId& trait : request.m_traits) {
      if (const auto served = m_evidence.LastServed(trait)) {
        MergeServed({ trait, *served }, true, aNow); // the others should know
      }
    }
  }
  m_evidenceChanged = m_evidenceChanged || !added.empty();
  m_hasNews = m_hasNews || !added.empty();
  return !added.empty();
}

void
TraitBreaker::ExtendBlocks(const BrokenRequest& aRequest)
{
  for (const TraitId& trait : aRequest.m_traits) {
    const auto block = m_blocked.find(trait);
    if (block != m_blocked.end() &&
        AddCustomer(block->second, aRequest.m_customer)) {
      m_hasNews = true;
      Report(TraitChangeKind::Extended, block->second);
    }
  }
}

// Returns whether the other daemons should hear of it.
bool
TraitBreaker::MergeServed(const ServedTrait& aServed, bool aOwn, Time aNow)
{
  const bool relevant = m_evidence.IsRelevant(aServed.m_trait, aNow);
  m_served.OnServed(aServed.m_trait, aServed.m_at);
  m_evidence.OnServed(aServed.m_trait, aServed.m_at);
  const auto block = m_blocked.find(aServed.m_trait);
  const bool clears =
    block != m_blocked.end() &&
    aServed.m_at >= block->second.m_since - kServedBeforeBlock;
  if (!clears && block == m_blocked.end() && !relevant) {
    return false;
  }
  const auto known = m_recentServed.find(aServed.m_trait);
  if (!clears && known != m_recentServed.end() &&
      aServed.m_at - known->second.m_item.m_at < kServedNewsInterval) {
    return false;
  }
  TellServed(aServed, aOwn, aNow);
  m_evidenceChanged = true;
  if (clears) {
    const BlockedTrait cleared = block->second;
    m_blocked.erase(block);
    Report(TraitChangeKind::Cleared, cleared);
  }
  return true;
}

void
TraitBreaker::TellServed(const ServedTrait& aServed, bool aOwn, Time aNow)
{
  m_recentServed[aServed.m_trait] = { aServed, aNow, aOwn };
  m_hasNews = true;
}

// A repetition of what is known is not new, and neither is a difference in age,
// which the time on the way causes.
bool
TraitBreaker::MergeBlocked(const BlockedTrait& aBlocked, Time aNow)
{
  if (aNow - aBlocked.m_since > kBlockLifetime) {
    return false;
  }
  const std::optional<Time> served = m_evidence.LastServed(aBlocked.m_trait);
  if (served && *served >= aBlocked.m_since - kServedBeforeBlock) {
    // The sender has missed that it was served.
    const bool told = m_recentServed.contains(aBlocked.m_trait);
    if (!told) {
      TellServed({ aBlocked.m_trait, *served }, true, aNow);
    }
    return !told;
  }
  const auto found = m_blocked.find(aBlocked.m_trait);
  if (found == m_blocked.end()) {
    if (m_blocked.size() >= kMaxBlockedTraits) {
      return false;
    }
    m_blocked[aBlocked.m_trait] = aBlocked;
    m_evidenceChanged = true;
    m_hasNews = true;
    Report(TraitChangeKind::Learned, aBlocked);
    return true;
  }
  BlockedTrait& known = found->second;
  bool extended = aBlocked.m_trials > known.m_trials;
  if (extended) {
    known.m_trials = aBlocked.m_trials;
    known.m_since = aBlocked.m_since;
    m_trials.erase(aBlocked.m_trait);
  }
  for (const std::uint32_t customer : aBlocked.m_customers) {
    extended = AddCustomer(known, customer) || extended;
  }
  if (aBlocked.m_allCustomers && !known.m_allCustomers) {
    known.m_allCustomers = true;
    known.m_customers.clear();
    extended = true;
  }
  if (extended) {
    m_hasNews = true;
    Report(TraitChangeKind::Extended, known);
  }
  return extended;
}

void
TraitBreaker::EvaluateIfDue(Time aNow)
{
  const bool waiting = std::any_of(
    m_suspicions.begin(), m_suspicions.end(), [&](const auto& aSuspicion) {
      return aNow - aSuspicion.m_lastAt <= kReevaluationTime;
    });
  if (!m_evidenceChanged && !waiting) {
    return;
  }
  const Duration interval =
    kEvaluationInterval * (1 + m_evidence.Crashes() / kCrashesPerInterval);
  if (!m_evaluatedAt || aNow - *m_evaluatedAt >= interval) {
    Evaluate(aNow);
  }
}

void
TraitBreaker::Evaluate(Time aNow)
{
  m_evaluatedAt = aNow;
  m_evidenceChanged = false;
  m_suspicions = m_evidence.FindSuspicions(KnownCauses());
  for (const Suspicion& suspicion : m_suspicions) {
    if (!IsConclusive(suspicion, aNow)) {
      continue;
    }
    for (const TraitId& trait : suspicion.m_traits) {
      Block(trait, suspicion, aNow);
    }
  }
}

bool
TraitBreaker::IsConclusive(const Suspicion& aSuspicion, Time aNow) const
{
  const auto served = m_serviceServedAt.find(aSuspicion.m_service);
  const bool outage =
    served == m_serviceServedAt.end() || served->second < aSuspicion.m_firstAt;
  const bool doubtful = outage || aSuspicion.m_servedBefore;
  const bool enough = IsFingerprint(aSuspicion.m_traits.front())
                        ? IsEnoughForRequest(aSuspicion, doubtful)
                        : IsEnoughForPart(aSuspicion, doubtful);
  if (!enough) {
    return false;
  }
  const double minFraction = aSuspicion.m_moments >= kManyCrashes
                               ? kMinExplainedFractionOfMany
                               : kMinExplainedFraction;
  if (static_cast<double>(aSuspicion.m_crashes) <
      minFraction * static_cast<double>(aSuspicion.m_crashesMeanwhile)) {
    return false;
  }
  return aSuspicion.m_lead >= kClearLead ||
         aNow - aSuspicion.m_firstAt >= kNewsDelay;
}

bool
TraitBreaker::IsEnoughForPart(const Suspicion& aSuspicion, bool aDoubtful)
{
  return aSuspicion.m_requests >= kMinRequestsOfPart &&
         aSuspicion.m_moments >=
           (aDoubtful ? kCrashesToBlockInDoubt : kCrashesToBlock);
}

// Two requests that were broken by the same crashes cannot be told apart.
bool
TraitBreaker::IsEnoughForRequest(const Suspicion& aSuspicion, bool aDoubtful)
{
  return aSuspicion.m_lead > 0 &&
         aSuspicion.m_crashes >= (aDoubtful ? kRequestCrashesToBlockInDoubt
                                            : kRequestCrashesToBlock) &&
         aSuspicion.m_lastAt - aSuspicion.m_firstAt >= kMinRequestCrashSpan;
}

void
TraitBreaker::Block(const TraitId& aTrait,
                    const Suspicion& aSuspicion,
                    Time aNow)
{
  if (m_blocked.contains(aTrait) || m_blocked.size() >= kMaxBlockedTraits) {
    return;
  }
  BlockedTrait block;
  block.m_trait = aTrait;
  block.m_since = aNow;
  for (const std::uint32_t customer : aSuspicion.m_customers) {
    AddCustomer(block, customer);
  }
  m_blocked[aTrait] = block;
  m_evidenceChanged = true;
  m_hasNews = true;
  Report(TraitChangeKind::Blocked, block, aSuspicion);
}

void
TraitBreaker::Tick(Time aNow)
{
  const std::size_t crashes = m_evidence.Crashes();
  m_evidence.DropExpired(aNow);
  m_evidenceChanged = m_evidenceChanged || m_evidence.Crashes() != crashes;
  EvaluateIfDue(aNow);
  while (!m_recentCrashes.empty() &&
         aNow - m_recentCrashes.front().m_at > kNewsLifetime) {
    m_recentCrashes.pop_front();
  }
  std::erase_if(m_recentServed, [&](const auto& aEntry) {
    return aNow - aEntry.second.m_at > kNewsLifetime;
  });
  std::erase_if(m_trials, [&](const auto& aEntry) {
    return aNow - aEntry.second >= kTrialTimeout;
  });
  std::erase_if(m_blocked, [&](const auto& aEntry) {
    if (aNow - aEntry.second.m_since <= kBlockLifetime) {
      return false;
    }
    Report(TraitChangeKind::Forgotten, aEntry.second);
    return true;
  });
}

TraitNews
TraitBreaker::News(bool aIsHub, Time aNow) const
{
  const auto isDue = [&](const auto& aLearned) {
    return (aIsHub || aLearned.m_own) && aNow - aLearned.m_at <= kNewsLifetime;
  };
  TraitNews news;
  std::size_t requests = 0;
  for (const Learned<UpstreamCrash>& learned : m_recentCrashes) {
    UpstreamCrash crash = learned.m_item;
    std::vector<TraitId>& traits = crash.m_requests.front().m_traits;
    std::erase_if(traits, [&](const TraitId& aTrait) {
      return !m_evidence.CountsAgainst(aTrait, crash.m_at);
    });
    if (!isDue(learned) || traits.empty() || requests >= kMaxRequestsInNews) {
      continue;
    }
    ++requests;
    const auto same = std::find_if(
      news.m_crashes.begin(), news.m_crashes.end(), [&](const auto& aOther) {
        return aOther.m_incarnation == crash.m_incarnation;
      });
    if (same == news.m_crashes.end()) {
      news.m_crashes.push_back(std::move(crash));
    } else {
      same->m_requests.push_back(std::move(crash.m_requests.front()));
    }
  }
  for (const auto& [trait, learned] : m_recentServed) {
    if (isDue(learned) && news.m_served.size() < kMaxServedInNews) {
      news.m_served.push_back(learned.m_item);
    }
  }
  news.m_blocked = BlockedTraits();
  return news;
}

bool
TraitBreaker::OnNews(const TraitNews& aNews, Time aNow)
{
  bool isNew = false;
  for (const ServedTrait& served : aNews.m_served) {
    isNew = MergeServed(served, false, aNow) || isNew;
  }
  for (const BlockedTrait& blocked : aNews.m_blocked) {
    isNew = MergeBlocked(blocked, aNow) || isNew;
  }
  for (const UpstreamCrash& crash : aNews.m_crashes) {
    isNew = AddCrash(crash, false, aNow) || isNew;
  }
  return isNew;
}

std::vector<BlockedTrait>
TraitBreaker::BlockedTraits() const
{
  std::vector<BlockedTrait> blocked;
  for (const auto& [trait, block] : m_blocked) {
    blocked.push_back(block);
  }
  return blocked;
}

void
TraitBreaker::Report(TraitChangeKind aKind,
                     const BlockedTrait& aBlock,
                     std::optional<Suspicion> aSuspicion)
{
  m_changes.push_back({ aKind, aBlock, std::move(aSuspicion) });
}

} // namespace walnutwing
