#ifndef WALNUTWING_ROUTING_UPSTREAM_SELECTOR_H_
#define WALNUTWING_ROUTING_UPSTREAM_SELECTOR_H_

// Chooses the upstream for a request.
//
// The engines for a request with a prompt are ranked by rendezvous hashing of
// the longest part of the prompt that other requests share. The request goes to
// the first engine whose load is within the load bound, so requests that share
// a part find it in the engine's cache, and a part with many requests spreads
// over the next engines in its order. Any other request goes to the least
// loaded upstream. Draining upstreams and those that cannot be reached, fail
// more often than their service or are in a zone that operators have taken out
// are skipped. Cold upstreams are used only if no warm one is within the load
// bound, and only up to this daemon's share of their request rate.
//
// An upstream that states a request limit is skipped while it is known that
// there are no permits for it (send_limiter.h). As an engine it is the first in
// the order for fewer parts (limit_shares.h), and a part whose first engine has
// no permits goes to one without a limit if possible, so that each part is read
// by few engines.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "walnutwing/admission/waiting_room.h"
#include "walnutwing/placement/rendezvous.h"
#include "walnutwing/routing/load_exchange.h"
#include "walnutwing/routing/send_limiter.h"
#include "walnutwing/routing/service_demand.h"
#include "walnutwing/routing/sliding_window_counter.h"
#include "walnutwing/routing/upstream_directory.h"
#include "walnutwing/routing/upstream_tracker.h"
#include "walnutwing/routing/waiting_reports.h"

namespace walnutwing {

struct SelectorOptions
{
  // Load bound for the engine that a request prefers: this multiple of the mean
  // load of the candidates plus a slack in requests, because means are small.
  double m_affinityLoadFactor = 1.8;
  double m_affinityLoadSlack = 3.0;
  // The same where the load bound depends on a part of the upstreams only, as
  // the others state request limits: this multiple of the mean of all.
  double m_unlimitedLoadFactor = 4.0;
  // Limit on the load of an upstream: this multiple of the mean over all listed
  // upstreams of the service, including those that are skipped, plus a slack in
  // requests. Only m_usedLoadFraction of the limit is used, because loads are
  // known with a delay.
  double m_loadFactor = 2.0;
  double m_loadFactorSlack = 3.0;
  double m_usedLoadFraction = 0.85;
  // An upstream is skipped if its failure rate exceeds the median of the
  // candidates by more than this.
  double m_failureMargin = 0.25;
  // Fraction of a cold upstream's request rate that the fleet uses. The rest is
  // a margin for daemons that know a different number of daemons.
  double m_coldRateFraction = 0.8;
};

// The properties of a request that determine its upstream.
struct SelectionRequest
{
  ServiceId m_service;
  // Hash of the longest shared part of its prompt; 0: no prompt.
  std::uint64_t m_affinity = 0;
  std::uint32_t m_promptTokens = 0;
  double m_coldPerSecond = 0;   // requests that a cold upstream takes; 0: any
  std::uint32_t m_daemons = 1;  // in the fleet
  std::set<UpstreamId> m_avoid; // upstreams that have been tried already
  // Only upstreams of this version, as one of them began the stream.
  std::optional<SoftwareVersion> m_version;
  // Versions that get the request only if no upstream of another one has a free
  // slot.
  std::set<SoftwareVersion> m_newVersions{};
  // Also skip upstreams that refused a request recently, because one has
  // already refused this one.
  bool m_excludeRefusing = false;
  // Also skip all upstreams that state a request limit.
  bool m_excludeLimited = false;
  // If no upstream can be reached: choose one that is only silent, as it may be
  // at work on slow requests.
  bool m_allowSilent = false;
};

// Why no upstream was chosen.
enum class SelectionFailure
{
  None,        // an upstream was chosen
  NoUpstream,  // the service has none that may get the request
  Unreachable, // some may, but they cannot be reached
  Cold,        // all are cold, and this daemon's share of their rate is used
  BackingOff,  // all others asked to get no requests for a while
  Limited,     // some of these state a request limit, which is used up
  VersionGone, // none has the version that began the stream
};

std::string_view
NameOf(SelectionFailure aFailure);

// Why an upstream is considered lost.
enum class LostCause
{
  Unreachable, // connections to it fail
  Silent,      // it has requests in flight and sends nothing
};

std::string_view
NameOf(LostCause aCause);

// The result of a selection, with the values that are logged about it.
struct Choice
{
  SelectionFailure m_failure = SelectionFailure::NoUpstream;
  std::size_t m_listed = 0; // upstreams of the service
  std::size_t m_usable = 0; // of these, reachable and not excluded
  UpstreamId m_upstream;
  ZoneId m_zone;
  std::string m_address;
  std::int64_t m_startWallMs = 0; // identifies its incarnation
  SoftwareVersion m_version;
  // If it failed with BackingOff or Limited: until the first may get requests
  // again.
  Time m_backoffUntil;
  // The request limit that it states; a permit is needed to send to it.
  std::optional<double> m_requestLimit;
  // It is silent. A new connection shows whether it can be reached.
  bool m_silent = false;
  // The limit is meant for larger prompts, so that this request gets a permit
  // only if there are permits to spare.
  bool m_needsSparePermit = false;
  // Not shared with the upstream's state after a restart.
  std::shared_ptr<UpstreamTracker> m_tracker;
  double m_load = 0;         // its load before this request
  double m_meanLoad = 0;     // of the candidates
  std::uint32_t m_slots = 1; // requests that it runs at once
  double m_minLoad = 0;      // of the least loaded warm upstream
  // Age of the other daemons' loads; -1 ms: not known, so that the upstreams'
  // own load reports were used.
  Duration m_loadAge{ -1 };
  ServiceRoom m_room; // of the service, for requests that may wait
  bool m_cold = false;
  std::size_t m_rank = 0; // in the order of the candidates, from 0
};

class UpstreamSelector
{
public:
  // aExchange provides the requests of other daemons; the upstreams' own load
  // reports are used while it has none. aLimiter knows the upstreams' request
  // limits. Both must outlive this object.
  UpstreamSelector(ZoneId aZone,
                   SelectorOptions aOptions,
                   const LoadExchange& aExchange,
                   const SendLimiter& aLimiter);

  void SetOptions(SelectorOptions aOptions) { m_options = aOptions; }

  // An upstream in aDirectory has changed.
  void OnUpstream(const UpstreamDirectory& aDirectory,
                  const UpstreamId& aId,
                  UpstreamChange aChange);

  // Sets the zones that operators have taken out. Upstreams of a zone that is
  // back in service count as cold for aColdTime.
  void SetZonesOut(const std::set<ZoneId>& aZones,
                   Duration aColdTime,
                   Time aNow);

  // A request of a caller has arrived.
  void OnRequest(const ServiceId& aService,
                 std::uint32_t aPromptTokens,
                 Time aNow)
  {
    m_demand.OnRequest(aService, aPromptTokens, aNow);
  }

  // The requests that wait at this daemon for upstreams of a service.
  void SetWaiting(const ServiceId& aService, const WaitingCounts& aCounts)
  {
    m_waiting.Set(aService, aCounts);
  }

  // Selects an upstream; m_failure of the result tells why there is none.
  Choice Choose(const SelectionRequest& aRequest, Time aNow);

  // The request is about to be sent to the chosen upstream. The caller reports
  // its outcome to the tracker of the choice.
  void OnSent(const Choice& aChoice, Time aNow);

  // Upstreams that are silent or unreachable for this daemon.
  std::map<UpstreamId, LostCause> LostUpstreams(Time aNow) const;

  // This daemon's own requests in flight, and its counts of requests by
  // service.
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
    bool m_limited = false;   // states a request limit
    bool m_exhausted = false; // and there is no permit now
  };
  using Upstreams = std::map<UpstreamId, Upstream>;

  // Longer than the second to which the rate of a cold upstream refers, because
  // requests arrive later than they are sent, by varying delays.
  static constexpr Duration kColdWindow = std::chrono::milliseconds(1200);

  // The upstreams of a service that may get a request.
  struct CandidateSet
  {
    std::vector<Candidate> m_candidates;
    std::size_t m_listed = 0; // upstreams of the service, candidates or not
    SelectionFailure m_failure = SelectionFailure::NoUpstream;
    // The earliest end of a backoff, or of a time without permits.
    Time m_backoffUntil = Time::max();
    double m_meanLoad = 0; // see ComputeBound
    double m_bound = 0;
  };

  // Which upstreams are candidates.
  enum class Reach
  {
    Heard,       // those that are not silent, in zones that can be reached
    Connectable, // all but those to which a connection has failed lately
  };

  static bool NeedsSparePermit(const Upstream& aUpstream,
                               const SelectionRequest& aRequest);
  Time ExhaustedUntil(const Upstream& aUpstream,
                      const SelectionRequest& aRequest) const;
  CandidateSet FindCandidates(const SelectionRequest& aRequest,
                              Reach aReach,
                              Time aNow);
  // Zones that are probably partitioned: of their upstreams that have requests
  // in flight or are not reachable, most are not reachable. Empty if that
  // applies to all zones, as the cause is then not in a zone.
  std::set<ZoneId> PartitionedZones(Time aNow) const;
  void ComputeBound(CandidateSet& aCandidateSet) const;
  static void DropNewVersions(std::vector<Candidate>& aCandidates,
                              const SelectionRequest& aRequest);
  static void DropSuspect(std::vector<Candidate>& aCandidates);
  void DropFailing(std::vector<Candidate>& aCandidates, Time aNow) const;
  void ComputeLoads(std::vector<Candidate>& aCandidates,
                    const SelectionRequest& aRequest,
                    Time aNow) const;
  // Sets the nodes' weights by the request limits of the service's upstreams.
  void UpdateWeights(const SelectionRequest& aRequest, Time aNow);
  struct Pick
  {
    const Candidate* m_chosen = nullptr;
    const Candidate* m_leastLoaded = nullptr; // of the warm ones
  };
  Pick PickCandidate(const CandidateSet& aCandidateSet,
                     const SelectionRequest& aRequest,
                     Time aNow) const;
  ServiceRoom RoomOf(const CandidateSet& aCandidateSet,
                     const SelectionRequest& aRequest,
                     Time aNow);
  bool MaySendCold(Upstream& aUpstream,
                   const SelectionRequest& aRequest,
                   Time aNow) const;

  ZoneId m_zone;
  SelectorOptions m_options;
  const LoadExchange& m_exchange;
  const SendLimiter& m_limiter;
  ServiceDemand m_demand;
  WaitingReports m_waiting;
  bool m_weighted = false; // nodes may have other weights than 1
  Upstreams m_upstreams;
  std::set<ZoneId> m_zonesOut;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_UPSTREAM_SELECTOR_H_
