#ifndef WALNUTWING_PLACEMENT_UPSTREAM_OWNER_H_
#define WALNUTWING_PLACEMENT_UPSTREAM_OWNER_H_

// The owner's side of permits. One UpstreamOwner decides how many requests one
// upstream may have in progress and which waiting request is granted next.
//
// The window, the maximum number of requests in progress, is
// min(slots, max(min_window, ceil(c * mean))) with the load bound c and the
// mean load of the service's warm upstreams. It is smaller while the upstream
// is cold and 0 while it is leaving. Requests in progress are the permits held
// plus the requests that the upstream reports beyond them, so that requests of
// a second owner or with self-permits are counted. A permit ends with its
// release, with its holder's death, with a report of its holder that lacks it,
// or at its maximum age.
//
// An owner that has just started, or that detects that its process was paused,
// may not be the only owner. Therefore it is in takeover for one lease
// duration: of the permits granted since the start of the takeover, it holds at
// most takeover_percent of the window, but at least one. While views differ,
// two owners admit at most window + takeover_percent * window; if views differ
// for longer than the lease duration and the upstream's reports stop, at most
// twice the window.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "peer.pb.h"
#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"
#include "walnutwing/base/result_code.h"

namespace walnutwing {

struct OwnerOptions
{
  std::uint32_t m_slots = 128;   // maximum in progress while warm
  std::uint32_t m_coldSlots = 2; // in progress at first while cold, >= 1
  std::uint32_t m_loadBoundPercent = 125; // c; 125 is 1.25 times the mean
  // Smallest warm window, >= 1, so that with few streams and a delayed mean no
  // request is refused.
  std::uint32_t m_minWindow = 4;
  std::uint32_t m_queueLimit = 64;      // requests that may wait
  std::uint32_t m_takeoverPercent = 50; // of the window, during a takeover
  // Time within which an owner that lost its ownership stops granting.
  Duration m_leaseDuration = std::chrono::seconds(5);
  // A longer time between two events or ticks means that the process was
  // paused.
  Duration m_pauseThreshold = std::chrono::seconds(2);
  // A permit younger than this is kept although its holder's report lacks it,
  // because the report may have crossed with the grant.
  Duration m_reportGrace = std::chrono::seconds(2);
  // Load reports older than this are ignored.
  Duration m_maxLoadAge = std::chrono::seconds(10);
  Duration m_maxPermitAge = std::chrono::minutes(15);
  // The cold window grows by one for each completed answer and at most doubles
  // in this time.
  Duration m_minColdDoublingTime = std::chrono::seconds(1);
  Duration m_minRetryAfter = std::chrono::seconds(1);
  Duration m_maxRetryAfter = std::chrono::seconds(30);
};

// The load that an upstream reports of itself, with a delay.
struct EngineLoad
{
  std::uint32_t m_running = 0;
  std::uint32_t m_waiting = 0;
  bool m_cold = false;
  Time m_measuredAt; // by this daemon's clock
};

// Action: send a grant to a daemon.
struct SendGrant
{
  DaemonId m_to;
  proto::PermitGrant m_grant;
};

// Action: send a denial to a daemon.
struct SendDeny
{
  DaemonId m_to;
  proto::PermitDeny m_deny; // code and retry_after are set
};

using OwnerAction = std::variant<SendGrant, SendDeny>;
using OwnerActions = std::vector<OwnerAction>;

class UpstreamOwner
{
public:
  // Starts owning the upstream at aNow. aIncarnation orders the states of
  // successive owners; a later owner needs a larger one, such as its wall time
  // in ms. aLastState is the last state that a previous owner published, if
  // known: its in_progress is counted until the holders or the upstream report.
  // aCold: the upstream is new or not known to be warm. Throws
  // std::invalid_argument if an option is out of range.
  UpstreamOwner(UpstreamId aUpstream,
                OwnerOptions aOptions,
                std::uint64_t aIncarnation,
                bool aCold,
                const std::optional<proto::UpstreamState>& aLastState,
                Time aNow);

  // Applies the limits of a new preset. Permits and the queue are kept; waiting
  // requests over a smaller queue limit are denied with QueueFull. Throws as
  // the constructor does.
  void SetOptions(const OwnerOptions& aOptions, Time aNow, OwnerActions& aOut);

  // Sets the customers' weights; a customer that is not listed has weight 1.
  void SetShares(std::unordered_map<CustomerId, std::uint32_t> aShares);

  // Grants, queues (only if may_wait) or denies a permit request immediately. A
  // repeat of a granted request is granted again; a repeat of a waiting one is
  // ignored.
  void OnPermitRequest(const DaemonId& aFrom,
                       const proto::PermitRequest& aRequest,
                       Time aNow,
                       OwnerActions& aOut);

  // Ends a permit or removes a waiting request, if there is one. A release
  // marked cold always restarts the slow start.
  void OnRelease(const DaemonId& aFrom,
                 const proto::PermitRelease& aRelease,
                 Time aNow,
                 OwnerActions& aOut);

  // Takes the complete list of a daemon's permits: adds unknown ones, even over
  // the window, and ends those that it lacks unless they are younger than the
  // report grace.
  void OnReport(const DaemonId& aFrom,
                const proto::PermitReport& aReport,
                Time aNow,
                OwnerActions& aOut);

  // Ignored if too old or not newer than the last load report.
  void OnLoad(const EngineLoad& aLoad, Time aNow, OwnerActions& aOut);

  // A daemon died or restarted: ends its permits and removes its waiting
  // requests.
  void OnHolderGone(const DaemonId& aHolder, Time aNow, OwnerActions& aOut);

  // The upstream is leaving or its availability zone is out of service: grants
  // nothing from now on and denies all waiting requests with NoUpstream.
  void OnLeaving(Time aNow, OwnerActions& aOut);

  // The upstream is back in service. aCold as in the constructor.
  void OnReturned(bool aCold, Time aNow, OwnerActions& aOut);

  // The previous owner handed over and has stopped granting: ends the takeover.
  void OnHandover(Time aNow, OwnerActions& aOut);

  // Sets the mean number of requests in progress over the warm upstreams of the
  // service. Throws std::invalid_argument unless it is >= 0.
  void OnMeanLoad(double aMeanLoad, Time aNow, OwnerActions& aOut);

  // Ends expired permits, waits and load reports. To be called at least every
  // second.
  void OnTick(Time aNow, OwnerActions& aOut);

  // Maximum number of requests that the upstream may have in progress now.
  std::uint32_t Window(Time aNow) const;

  // Permits held plus requests that the upstream reports beyond them.
  std::uint32_t InProgress() const;

  std::size_t Waiting() const { return m_queue.size(); }
  bool IsCold() const { return m_cold; }
  bool IsLeaving() const { return m_leaving; }
  bool InTakeover(Time aNow) const { return aNow < m_takeoverUntil; }

  // The state to publish to the other daemons.
  proto::UpstreamState State(Time aNow) const;

private:
  struct PermitKey
  {
    DaemonId m_holder;
    std::uint64_t m_request = 0;
    auto operator<=>(const PermitKey&) const = default;
  };
  struct Permit
  {
    CustomerId m_customer;
    Time m_grantedAt;
    bool m_reported = false; // known from a report, not granted here
  };
  struct WaitingRequest
  {
    PermitKey m_key;
    CustomerId m_customer;
    std::uint32_t m_priority = 0; // 0 is the most urgent
    Time m_arrivedAt;
    Time m_deadline;
  };
  struct EndedPermit
  {
    Time m_grantedAt;
    Time m_endedAt;
  };
  using Permits = std::map<PermitKey, Permit>;

  void DetectPause(Time aNow);
  void StartTakeover(Time aNow);
  bool MayGrant(Time aNow) const;
  void Grant(const PermitKey& aKey,
             const CustomerId& aCustomer,
             Time aNow,
             OwnerActions& aOut);
  void Deny(const PermitKey& aKey, ResultCode aCode, OwnerActions& aOut) const;
  void Enqueue(WaitingRequest aRequest, Time aNow, OwnerActions& aOut);
  void GrantWaiting(Time aNow, OwnerActions& aOut);
  void DenyAllWaiting(ResultCode aCode, OwnerActions& aOut);
  void DenyExpired(Time aNow, OwnerActions& aOut);
  Permits::iterator EndPermit(Permits::iterator aPermit, Time aNow);
  void TurnCold(Time aNow);
  bool ReportAllowsWarming(Time aNow) const;
  void GrowColdWindow(Time aNow);
  std::uint32_t WarmWindow() const;
  std::uint32_t CountPermitsHeldAt(Time aWhen) const;
  double WeightedPermitCount(const CustomerId& aCustomer) const;
  bool GoesBefore(const WaitingRequest& aLeft,
                  const WaitingRequest& aRight) const;
  Duration ExpectedWait(Time aNow) const;
  Duration RetryAfter() const;

  UpstreamId m_upstream;
  OwnerOptions m_options;
  std::uint64_t m_incarnation;
  std::unordered_map<CustomerId, std::uint32_t> m_shares;
  std::unordered_map<CustomerId, std::uint32_t> m_permitsByCustomer;
  Permits m_permits;
  std::deque<EndedPermit> m_endedPermits;
  std::vector<WaitingRequest> m_queue;
  double m_meanLoad = 0;
  Duration m_meanPermitDuration{ 0 }; // moving average
  std::uint32_t m_requestsWithoutPermit = 0;
  Time m_requestsWithoutPermitUntil;
  bool m_leaving = false;
  bool m_cold;
  std::uint32_t m_coldWindow;
  std::uint32_t m_coldWindowAtDoublingStart;
  Time m_coldSince;
  Time m_coldDoublingStart;
  std::optional<EngineLoad> m_load;
  Time m_takeoverSince;
  Time m_takeoverUntil;
  std::uint32_t m_takeoverGrants = 0; // granted in this takeover and still held
  Time m_lastEvent;
};

} // namespace walnutwing

#endif // WALNUTWING_PLACEMENT_UPSTREAM_OWNER_H_
