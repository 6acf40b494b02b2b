#ifndef WALNUTWING_ROUTING_PART_BREAKER_H_
#define WALNUTWING_ROUTING_PART_BREAKER_H_

// A circuit breaker for prompt parts that crash upstreams, for all daemons of a
// fleet together.
//
// Daemons tell each other which requests were broken by crashes and when such
// parts were served. Each decides on its own by the same evidence
// (crash_evidence.h), and a part that one of them blocks is blocked at all. A
// blocked part's requests are refused at once. A part is
//
// - blocked after kCrashesToBlock crashes at different moments, by two requests
//   at least, while other requests of the service are served; for the customers
//   whose requests were broken, and for all as soon as there are two of them,
//   so that no customer can shut out another's part;
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
#include "walnutwing/routing/served_parts.h"

namespace walnutwing {

// A request as far as the breaker knows it.
struct PromptRequest
{
  std::uint64_t m_promptHash = 0;    // of its whole prompt
  std::vector<PromptPartId> m_parts; // that other requests may share
  CustomerId m_customer;             // empty if there are no customers
  ServiceId m_service;
};

struct BlockedPart
{
  PromptPartId m_part;
  Time m_since; // blocked, or blocked again after a trial
  std::uint32_t m_trials = 0;
  std::set<std::uint32_t> m_customers; // hashes
  bool m_allCustomers = false;
};

struct ServedPart
{
  PromptPartId m_part;
  Time m_at;
};

// What daemons tell each other.
struct PartNews
{
  std::vector<UpstreamCrash> m_crashes;
  std::vector<ServedPart> m_served;
  std::vector<BlockedPart> m_blocked;

  bool Empty() const
  {
    return m_crashes.empty() && m_served.empty() && m_blocked.empty();
  }
};

enum class PartChangeKind
{
  Blocked,   // by this daemon's decision
  Learned,   // blocked by another daemon's
  Extended,  // for more customers, or after another trial
  Tried,     // a request is let through
  Cleared,   // it was served
  Forgotten, // after its time
};

std::string_view
NameOf(PartChangeKind aKind);

// A change to report.
struct PartChange
{
  PartChangeKind m_kind = PartChangeKind::Blocked;
  BlockedPart m_block;
  // If blocked by this daemon: why.
  std::optional<Suspicion> m_suspicion;
};

struct PartVerdict
{
  bool m_allowed = true;
  bool m_isTrial = false;  // allowed to try m_part again
  PromptPartId m_part;     // the blocked part, if any
  Duration m_retryAfter{}; // if not allowed: until it may be tried again
};

class PartBreaker
{
public:
  explicit PartBreaker(DaemonId aSelf)
    : m_self(std::move(aSelf))
  {
  }
  PartBreaker(const PartBreaker&) = delete;
  PartBreaker& operator=(const PartBreaker&) = delete;

  // The daemons of the fleet; one of them tries a blocked part again.
  void SetMembers(std::vector<DaemonId> aMembers)
  {
    m_members = std::move(aMembers);
  }

  // Whether the request may be sent now. If the verdict is a trial, its outcome
  // must be reported by OnServed, OnBroken or OnTrialEnded.
  PartVerdict Check(const PromptRequest& aRequest, Time aNow);

  // Whether a request that an upstream has broken may be sent to another one:
  // not if one of its parts is the likely cause of several crashes.
  bool MayRepeat(const PromptRequest& aRequest, Time aNow);

  // An upstream has proved that it can answer the request.
  void OnServed(const PromptRequest& aRequest, Time aNow);

  // An upstream ended the connection before it had proved that. aIncarnation
  // identifies the upstream's process.
  void OnBroken(const PromptRequest& aRequest,
                std::uint32_t aIncarnation,
                Time aNow);

  // A trial has ended without showing anything about the part.
  void OnTrialEnded(const PromptPartId& aPart);

  // Decides what the evidence allows by now. Must be called several times a
  // second.
  void Tick(Time aNow);

  // What is to be told to other daemons now: this daemon's own news and, of a
  // hub, what it has heard; both for kNewsLifetime, and all blocked parts.
  PartNews News(bool aIsHub, Time aNow) const;

  // Another daemon's news. Returns whether something was new.
  bool OnNews(const PartNews& aNews, Time aNow);

  // Whether there is news of this daemon since the last call.
  bool TakeHasNews() { return std::exchange(m_hasNews, false); }

  // The changes since the last call.
  std::vector<PartChange> TakeChanges() { return std::exchange(m_changes, {}); }

  std::vector<BlockedPart> BlockedParts() const;

private:
  // Something to be told to other daemons, and when it was learned.
  template<typename T>
  struct Learned
  {
    T m_item;
    Time m_at;
    bool m_own = false; // by this daemon itself
  };

  std::vector<const BlockedPart*> FindBlocks(
    const PromptRequest& aRequest) const;
  bool IsTrialDue(const BlockedPart& aBlock, Time aNow) const;
  void EvaluateIfDue(Time aNow);
  void Evaluate(Time aNow);
  bool IsConclusive(const Suspicion& aSuspicion, Time aNow) const;
  void Block(const PromptPartId& aPart, const Suspicion& aSuspicion, Time aNow);
  bool AddCrash(const UpstreamCrash& aCrash, bool aOwn, Time aNow);
  void ExtendBlocks(const BrokenRequest& aRequest);
  void EndTrials(const PromptRequest& aRequest, Time aNow);
  bool MergeServed(const ServedPart& aServed, bool aOwn, Time aNow);
  void TellServed(const ServedPart& aServed, bool aOwn, Time aNow);
  bool MergeBlocked(const BlockedPart& aBlocked, Time aNow);
  void Report(PartChangeKind aKind,
              const BlockedPart& aBlock,
              std::optional<Suspicion> aSuspicion = std::nullopt);

  DaemonId m_self;
  std::vector<DaemonId> m_members;
  ServedParts m_served;
  CrashEvidence m_evidence{ m_served };
  std::map<std::uint32_t, Time> m_serviceServedAt; // by hash of the service
  std::map<PromptPartId, BlockedPart> m_blocked;
  std::map<PromptPartId, Time> m_trials; // in progress, by when they started
  std::vector<Suspicion> m_suspicions;   // as of the last evaluation
  std::optional<Time> m_evaluatedAt;
  bool m_evidenceChanged = false;
  std::deque<Learned<UpstreamCrash>> m_recentCrashes; // one request each
  std::map<PromptPartId, Learned<ServedPart>> m_recentServed;
  std::vector<PartChange> m_changes;
  bool m_hasNews = false;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_PART_BREAKER_H_
