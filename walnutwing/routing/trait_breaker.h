#ifndef WALNUTWING_ROUTING_TRAIT_BREAKER_H_
#define WALNUTWING_ROUTING_TRAIT_BREAKER_H_

// A circuit breaker for traits that crash upstreams, for all daemons of a fleet
// together. A trait is a part of prompts that requests share, or the
// fingerprint of one request, which its attempts and the caller's retries share
// (request_fingerprint.h).
//
// Daemons tell each other which requests were broken by crashes and when such
// traits were served. Each decides on its own by the same evidence
// (crash_evidence.h), and a trait that one of them blocks is blocked at all. A
// blocked trait's requests are refused at once. A trait is
//
// - blocked if it is a part, after kCrashesToBlock crashes at different times,
//   by kMinRequestsOfPart requests at least, while other requests of the
//   service are served; for the customers whose requests were broken, and for
//   all as soon as there are two of them, so that no customer can shut out
//   another's part;
// - blocked if it is a request, after kRequestCrashesToBlock crashes, unless
//   another request was broken by all of them as well. From kCrashesToRunAlone
//   crashes on, its attempts need a permit and are not repeated, so that it
//   ends one upstream at a time;
// - tried again by one daemon with one request, a few times at growing
//   intervals;
// - cleared everywhere as soon as any daemon sees it served;
// - forgotten some time after it was blocked or last tried.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"
#include "walnutwing/routing/crash_evidence.h"
#include "walnutwing/routing/served_traits.h"

namespace walnutwing {

// A request as far as the breaker knows it.
struct RequestTraits
{
  std::uint64_t m_requestHash = 0; // identifies it
  // Its fingerprint, and the parts of its prompt that other requests may share.
  std::vector<TraitId> m_traits;
  CustomerId m_customer; // empty if there are no customers
  ServiceId m_service;
};

struct BlockedTrait
{
  TraitId m_trait;
  Time m_since; // blocked, or blocked again after a trial
  std::uint32_t m_trials = 0;
  std::set<std::uint32_t> m_customers; // hashes
  bool m_allCustomers = false;
};

struct ServedTrait
{
  TraitId m_trait;
  Time m_at;
};

// What daemons tell each other.
struct TraitNews
{
  std::vector<UpstreamCrash> m_crashes;
  std::vector<ServedTrait> m_served;
  std::vector<BlockedTrait> m_blocked;

  bool Empty() const
  {
    return m_crashes.empty() && m_served.empty() && m_blocked.empty();
  }
};

enum class TraitChangeKind
{
  Blocked,   // by this daemon's decision
  Learned,   // blocked by another daemon's
  Extended,  // for more customers, or after another trial
  Tried,     // a request is let through
  Cleared,   // it was served
  Forgotten, // after its time
};

std::string_view
NameOf(TraitChangeKind aKind);

// A change to report.
struct TraitChange
{
  TraitChangeKind m_kind = TraitChangeKind::Blocked;
  BlockedTrait m_block;
  // If blocked by this daemon: why.
  std::optional<Suspicion> m_suspicion;
};

// Permits for attempts of one request that is suspected. So it crashes one
// upstream and not several before the others hear of it, and a sound one is
// served.
inline constexpr double kSuspectsPerSecond = 1;

struct TraitVerdict
{
  bool m_allowed = true;
  bool m_isTrial = false;  // allowed to try m_trait again
  TraitId m_trait;         // the blocked or suspected trait, if any
  Duration m_retryAfter{}; // if not allowed: until it may be tried again
  // It may be what has crashed several upstreams, and must run alone: it needs
  // one of the kSuspectsPerSecond permits that the fleet has for m_trait.
  bool m_needsPermit = false;
};

class TraitBreaker
{
public:
  explicit TraitBreaker(DaemonId aSelf)
    : m_self(std::move(aSelf))
  {
  }
  TraitBreaker(const TraitBreaker&) = delete;
  TraitBreaker& operator=(const TraitBreaker&) = delete;

  // The daemons of the fleet; one of them tries a blocked trait again.
  void SetMembers(std::vector<DaemonId> aMembers)
  {
    m_members = std::move(aMembers);
  }

  // Whether the request may be sent now. If the verdict is a trial, its outcome
  // must be reported by OnServed, OnBroken or OnTrialEnded.
  TraitVerdict Check(const RequestTraits& aRequest, Time aNow);

  // Whether a request that an upstream has broken may be sent to another one:
  // not if one of its traits is the likely cause of several crashes, or it must
  // run alone.
  bool MayRepeat(const RequestTraits& aRequest, Time aNow);

  // An upstream has proved that it can answer the request.
  void OnServed(const RequestTraits& aRequest, Time aNow);

  // An upstream ended the connection before it had proved that. aIncarnation
  // identifies the upstream's process.
  void OnBroken(const RequestTraits& aRequest,
                std::uint32_t aIncarnation,
                Time aNow);

  // A trial has ended without showing anything about the trait.
  void OnTrialEnded(const TraitId& aTrait);

  // Decides what the evidence allows by now. Must be called several times a
  // second.
  void Tick(Time aNow);

  // What is to be told to other daemons now: this daemon's own news and, of a
  // hub, what it has heard; both for kNewsLifetime, and all blocked traits.
  TraitNews News(bool aIsHub, Time aNow) const;

  // Another daemon's news. Returns whether something was new.
  bool OnNews(const TraitNews& aNews, Time aNow);

  // Whether there is news of this daemon since the last call.
  bool TakeHasNews() { return std::exchange(m_hasNews, false); }

  // The changes since the last call.
  std::vector<TraitChange> TakeChanges()
  {
    return std::exchange(m_changes, {});
  }

  std::vector<BlockedTrait> BlockedTraits() const;

private:
  // Something to be told to other daemons, and when it was learned.
  template<typename T>
  struct Learned
  {
    T m_item;
    Time m_at;
    bool m_own = false; // by this daemon itself
  };

  std::vector<const BlockedTrait*> FindBlocks(
    const RequestTraits& aRequest) const;
  bool IsTrialDue(const BlockedTrait& aBlock, Time aNow) const;
  void EvaluateIfDue(Time aNow);
  void Evaluate(Time aNow);
  bool IsSuspected(const TraitId& aTrait) const;
  bool MustRunAlone(const TraitId& aTrait) const;
  std::set<TraitId> KnownCauses() const;
  bool IsConclusive(const Suspicion& aSuspicion, Time aNow) const;
  static bool IsEnoughForPart(const Suspicion& aSuspicion, bool aDoubtful);
  static bool IsEnoughForRequest(const Suspicion& aSuspicion, bool aDoubtful);
  void Block(const TraitId& aTrait, const Suspicion& aSuspicion, Time aNow);
  bool AddCrash(const UpstreamCrash& aCrash, bool aOwn, Time aNow);
  void ExtendBlocks(const BrokenRequest& aRequest);
  void EndTrials(const RequestTraits& aRequest, Time aNow);
  bool MergeServed(const ServedTrait& aServed, bool aOwn, Time aNow);
  void TellServed(const ServedTrait& aServed, bool aOwn, Time aNow);
  bool MergeBlocked(const BlockedTrait& aBlocked, Time aNow);
  void Report(TraitChangeKind aKind,
              const BlockedTrait& aBlock,
              std::optional<Suspicion> aSuspicion = std::nullopt);

  DaemonId m_self;
  std::vector<DaemonId> m_members;
  ServedTraits m_served;
  CrashEvidence m_evidence{ m_served };
  std::map<std::uint32_t, Time> m_serviceServedAt; // by hash of the service
  std::map<TraitId, BlockedTrait> m_blocked;
  std::map<TraitId, Time> m_trials;    // in progress, by when they started
  std::vector<Suspicion> m_suspicions; // as of the last evaluation
  std::optional<Time> m_evaluatedAt;
  bool m_evidenceChanged = false;
  std::deque<Learned<UpstreamCrash>> m_recentCrashes; // one request each
  std::map<TraitId, Learned<ServedTrait>> m_recentServed;
  std::vector<TraitChange> m_changes;
  bool m_hasNews = false;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_TRAIT_BREAKER_H_
