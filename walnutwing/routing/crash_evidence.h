#ifndef WALNUTWING_ROUTING_CRASH_EVIDENCE_H_
#define WALNUTWING_ROUTING_CRASH_EVIDENCE_H_

// Finds the trait that crashes upstreams: a part of prompts, or a whole request
// (request_fingerprint.h).
//
// When an upstream crashes, each request that it had not yet proved able to
// answer is suspected. Sound requests among them are there by chance and differ
// from crash to crash; the trait that causes the crashes is in all of them. So
// the trait in most crashes is taken as their cause, and the traits that merely
// share these crashes with it are cleared.
//
// What does not count against a trait:
// - a crash shortly after, or at any time before, the trait was served;
// - several crashes at one moment, which count as one: a power failure ends
//   many upstreams at once, a trait ends them one after the other;
// - several attempts of one request, if the trait is a part of its prompt.
//
// A request explains its crashes better than a part of its prompt does, which
// other requests have as well. So the part is taken as the cause only if it is
// in several crashes more.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"
#include "walnutwing/routing/served_traits.h"

namespace walnutwing {

// A request that an upstream had not proved able to answer when it crashed.
// Hashes are the same at all daemons.
struct BrokenRequest
{
  std::uint32_t m_request = 0;  // hash that identifies it
  std::uint32_t m_customer = 0; // hash of its customer
  // Its fingerprint and the parts of its prompt that other requests may share.
  std::vector<TraitId> m_traits;
};

struct UpstreamCrash
{
  std::uint32_t m_incarnation = 0; // hash of the upstream's id and start time
  std::uint32_t m_service = 0;     // hash of its service
  Time m_at;                       // when it was first noticed
  std::vector<BrokenRequest> m_requests;
};

// A likely cause of crashes.
struct Suspicion
{
  // Usually one trait. More if they are parts that were always together and
  // none of them is known to have been served.
  std::vector<TraitId> m_traits;
  std::uint32_t m_service = 0; // of the last crash
  std::size_t m_crashes = 0;   // upstreams that crashed
  std::size_t m_moments = 0;   // different moments at which they crashed
  // Crashes of the service from the first to the last of them, without those
  // that known causes explain.
  std::size_t m_crashesMeanwhile = 0;
  // By how many moments the next likely part falls short; 0 if there are
  // several parts. If the trait is a request: by how many crashes the next
  // likely request does.
  std::size_t m_lead = 0;
  std::size_t m_requests = 0;  // different requests
  bool m_servedBefore = false; // some time before the crashes
  std::set<std::uint32_t> m_customers;
  Time m_firstAt;
  Time m_lastAt;
};

class CrashEvidence
{
public:
  // aServed must outlive this object.
  explicit CrashEvidence(const ServedTraits& aServed)
    : m_served(aServed)
  {
  }

  // Adds what is known of a crash; repetitions change nothing. Returns the
  // requests of aCrash that were not known.
  std::vector<BrokenRequest> Add(const UpstreamCrash& aCrash, Time aNow);

  // The likely causes of the crashes that no trait in aKnownCauses explains,
  // the likeliest first: parts with at least two moments, requests with at
  // least two crashes. A known request does not explain crashes for parts,
  // since a part of its prompt may be their cause.
  std::vector<Suspicion> FindSuspicions(
    const std::set<TraitId>& aKnownCauses) const;

  // The trait was served at aTime. Of traits in known crashes this is
  // remembered even when aServed has forgotten it.
  void OnServed(const TraitId& aTrait, Time aTime);

  // When the trait was last served, as far as this object or aServed remembers.
  std::optional<Time> LastServed(const TraitId& aTrait) const;

  // Whether other daemons should hear that the trait is served: it is in a
  // request that was broken in the last minute, or a crash counts against it.
  bool IsRelevant(const TraitId& aTrait, Time aNow) const;

  // Forgets crashes that are too old. Must be called regularly.
  void DropExpired(Time aNow);

  std::size_t Crashes() const { return m_crashes.size(); }

  // How many crashes count against the trait and are not explained by a trait
  // in aKnownCauses.
  std::size_t CountAgainst(const TraitId& aTrait,
                           const std::set<TraitId>& aKnownCauses) const;

  // Whether a crash at aCrashAt counts against the trait, by when it was
  // served.
  bool CountsAgainst(const TraitId& aTrait, Time aCrashAt) const;

private:
  struct Tally; // what speaks against one trait
  // A trait that is in known crashes.
  struct Mention
  {
    std::size_t m_requests = 0; // with the trait, in all crashes
    Time m_lastCrashAt;
    std::optional<Time> m_servedAt; // the last time
  };
  using Tallies = std::map<TraitId, Tally>;

  UpstreamCrash* Find(std::uint32_t aIncarnation);
  void DropOldest();
  Tallies CountTraits(const std::set<TraitId>& aKnownCauses) const;
  void CountCrash(std::size_t aCrash,
                  const std::set<TraitId>& aKnownCauses,
                  Tallies& aTallies) const;
  std::size_t CountMoments(const std::set<std::size_t>& aCrashes) const;
  Suspicion MakeSuspicion(const TraitId& aTrait, const Tallies& aTallies) const;
  void CompareWithOthers(Suspicion& aSuspicion, const Tallies& aTallies) const;
  void DescribeCrashes(Suspicion& aSuspicion, const Tally& aTally) const;
  static void DropUnlikely(Tallies& aTallies);
  static Tallies::const_iterator FindLikeliestPart(const Tallies& aTallies);
  static Tallies::const_iterator FindLikeliestRequest(const Tallies& aTallies);
  static Tallies::const_iterator FindLikeliest(const Tallies& aTallies);
  void DropCrashes(Tallies& aTallies,
                   const std::set<std::size_t>& aCrashes) const;
  static bool IsExplained(const UpstreamCrash& aCrash,
                          const std::set<TraitId>& aTraits);
  std::size_t CountMeanwhile(const Suspicion& aSuspicion,
                             const std::set<TraitId>& aKnownCauses) const;

  const ServedTraits& m_served;
  std::deque<UpstreamCrash> m_crashes;
  std::map<TraitId, Mention> m_mentions; // by trait
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_CRASH_EVIDENCE_H_
