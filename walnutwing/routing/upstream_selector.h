#ifndef WALNUTWING_ROUTING_UPSTREAM_SELECTOR_H_
#define WALNUTWING_ROUTING_UPSTREAM_SELECTOR_H_

// Chooses the upstream for a request.
//
// A request that carries a prompt goes to the first of its engines, in the
// rendezvous order of its longest shared part, that is within the load bound:
// so requests with a common part meet its cache, and a hot part spreads over
// the next engines in its own order. Any other request goes to the least
// loaded. Upstreams that leave, whose zone is out, that cannot be reached or
// that fail more often than their service are passed over; cold ones are used
// only where no warm one is within the bound, and within this daemon's share of
// what they bear.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "walnutwing/placement/rendezvous.h"
#include "walnutwing/routing/load_exchange.h"
#include "walnutwing/routing/sliding_window_counter.h"
#include "walnutwing/routing/upstream_directory.h"
#include "walnutwing/routing/upstream_tracker.h"

namespace walnutwing {

struct SelectorOptions
{
  // Load of an upstream, in means of its service, up to which a request keeps
  // to the engine that caches its part; plus a few, as means are small.
  double m_affinityLoadFactor = 1.8;
  double m_affinityLoadSlack = 3.0;
  // The most that an upstream may carry, in means over all listed upstreams of
  // its service, also those that take no work, plus a few; and the part of it
  // that is used, as loads are known late.
  double m_loadFactor = 2.0;
  double m_loadFactorSlack = 3.0;
  double m_loadFactorFraction = 0.85;
  // Share of failures, above that of the service, from which an upstream is
  // passed over.
  double m_failureMargin = 0.25;
  // Part of what a cold upstream bears that the fleet uses; the rest covers
  // daemons that count the fleet differently.
  double m_coldRateFraction = 0.8;
};

// What is asked of the selector for one request.
struct SelectionRequest
{
  ServiceId m_service;
  std::uint64_t m_affinity = 0; // of its longest shared part; 0: none
  double m_coldPerSecond = 0;   // what a cold upstream bears; 0: any
  std::uint32_t m_daemons = 1;  // in the fleet
  std::set<UpstreamId> m_avoid; // that this request has been sent to
  // An upstream was full: others that refused work lately are no choice either.
  bool m_excludeRefusing = false;
};

// Why there is no upstream.
enum class SelectionFailure
{
  None,        // there is one
  NoUpstream,  // the service has none that takes work
  Unreachable, // none of them can be reached
  Cold,        // the only ones left are cold and have had their share
};

std::string_view
NameOf(SelectionFailure aWhy);

// Why an upstream is taken for lost.
enum class LostCause
{
  Unreachable, // it takes no connection
  Silent,      // it has work, and sends nothing
};

std::string_view
NameOf(LostCause aCause);

struct Choice
{
  SelectionFailure m_failure = SelectionFailure::NoUpstream;
  std::size_t m_listed = 0; // upstreams of the service
  std::size_t m_usable = 0; // of these, that take work and can be reached
  UpstreamId m_upstream;
  ZoneId m_zone;
  std::string m_address;
  std::shared_ptr<UpstreamTracker> m_tracker; // of this incarnation
  double m_load = 0;                          // its load before this request
  double m_meanLoad = 0;     // over the service's usable upstreams
  std::uint32_t m_slots = 1; // requests that it runs at once
  double m_minLoad = 0;      // of the least loaded warm upstream
  Duration m_loadAge{ -1 };  // of the other daemons' part; -1: by its reports
  bool m_cold = false;
  std::size_t m_rank = 0; // place in the request's own order, from 0
};

class UpstreamSelector
{
public:
  // aExchange tells what other daemons have in progress; where it does not
  // know, upstreams' own reports do.
  UpstreamSelector(ZoneId aZone,
                   SelectorOptions aOptions,
                   const LoadExchange& aExchange);

  void SetOptions(SelectorOptions aOptions) { m_options = aOptions; }

  // The list of upstreams has changed.
  void OnUpstream(const UpstreamDirectory& aDirectory,
                  const UpstreamId& aId,
                  UpstreamChange aChange);

  // Zones that operators have taken out. aColdTime: engines of a zone that
  // comes back count as cold for so long.
  void SetZonesOut(const std::set<ZoneId>& aZones,
                   Duration aColdTime,
                   Time aNow);

  Choice Choose(const SelectionRequest& aRequest, Time aNow);

  // The request is about to be handed to the chosen upstream. How it ends is
  // told to the choice's tracker.
  void OnSent(const Choice& aChoice, Time aNow);

  // Upstreams that do not answer this daemon.
  std::map<UpstreamId, LostCause> LostUpstreams(Time aNow) const;

  // This daemon's own requests in progress.
  UpstreamLoads OwnLoads() const;

private:
  struct Upstream
  {
    UpstreamEntry m_entry;
    bool m_suspect = false;
    RendezvousNode m_node;
    std::uint32_t m_loadKey = 0;
    std::shared_ptr<UpstreamTracker> m_tracker =
      std::make_shared<UpstreamTracker>();
    Time m_coldUntil;
    SlidingWindowCounter m_coldSends{ kColdWindow };
  };
  struct Candidate
  {
    Upstream* m_upstream = nullptr;
    double m_load = 0;
    double m_distance = 0;
  };
  using Upstreams = std::map<UpstreamId, Upstream>;

  // A little longer than the second over which what a cold upstream bears is
  // counted: requests take their time to arrive.
  static constexpr Duration kColdWindow = std::chrono::milliseconds(1200);

  // What is known of a service when a request is to be sent.
  struct CandidateSet
  {
    std::vector<Candidate> m_candidates;
    std::size_t m_listed = 0; // upstreams of the service, candidates or not
    SelectionFailure m_failure = SelectionFailure::NoUpstream;
  };

  CandidateSet FindCandidates(const SelectionRequest& aRequest, Time aNow);
  // Zones in which most upstreams with work are silent: nothing gets through.
  std::set<ZoneId> SilentZones(Time aNow) const;
  double LoadBound(const CandidateSet& aCandidateSet, double aMeanLoad) const;
  static void DropSuspect(std::vector<Candidate>& aCandidates);
  void DropFailing(std::vector<Candidate>& aCandidates, Time aNow) const;
  void ComputeLoads(std::vector<Candidate>& aCandidates,
                    const SelectionRequest& aRequest,
                    Time aNow) const;
  bool MaySendCold(Upstream& aUpstream,
                   const SelectionRequest& aRequest,
                   Time aNow) const;

  ZoneId m_zone;
  SelectorOptions m_options;
  const LoadExchange& m_exchange;
  Upstreams m_upstreams;
  std::set<ZoneId> m_zonesOut;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_UPSTREAM_SELECTOR_H_
