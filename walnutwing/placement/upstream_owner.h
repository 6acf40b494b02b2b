#ifndef WALNUTWING_PLACEMENT_UPSTREAM_OWNER_H_
#define WALNUTWING_PLACEMENT_UPSTREAM_OWNER_H_

// The owner's side of permits. One UpstreamOwner decides for one upstream how
// many requests it may carry, and who goes next.
//
// The window is min(slots, max(min_window, ceil(c * mean))), less while the
// upstream is cold, none while it leaves. In progress counts the permits held
// plus what the upstream reports beyond them, so that the work of a second
// owner or of self-permitted requests is seen. A permit ends by its release, by
// its holder's death, by a report of its holder that lacks it, or at its
// maximum age.
//
// An owner that has just begun, or that finds it was paused, may not be alone:
// for the lease horizon it holds at most takeover_percent of the window in
// permits that it granted since. While views differ, two owners therefore carry
// at most window + takeover_percent * window; if they differ for longer than
// the horizon and the upstream's reports stop, at most twice the window.

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
  std::uint32_t m_slots = 128;   // requests that the warm upstream bears
  std::uint32_t m_coldSlots = 2; // requests that it bears while cold, >= 1
  std::uint32_t m_loadBoundPercent = 125; // c, 125 is 1.25 times the mean
  std::uint32_t m_minWindow = 4;   // smallest warm window, so that few streams
                                   // and a late mean refuse nobody, >= 1
  std::uint32_t m_queueLimit = 64; // requests that may wait
  std::uint32_t m_takeoverPercent = 50; // of the window, see above
  // By when an owner that lost its ownership has stopped granting.
  Duration m_leaseHorizon = std::chrono::seconds(5);
  // A longer time between two events or ticks means that we were paused.
  Duration m_pauseLimit = std::chrono::seconds(2);
  // A permit younger than this survives a holder's report that lacks it.
  Duration m_reportGrace = std::chrono::seconds(2);
  // Load reports older than this are not used.
  Duration m_loadHorizon = std::chrono::seconds(10);
  Duration m_maxPermitAge = std::chrono::minutes(15);
  // The cold window grows by one for each answer completed, and at most
  // doubles in this time.
  Duration m_coldStep = std::chrono::seconds(1);
  Duration m_minRetryAfter = std::chrono::seconds(1);
  Duration m_maxRetryAfter = std::chrono::seconds(30);
};

// What an upstream reports of itself, with a lag.
struct EngineLoad
{
  std::uint32_t m_running = 0;
  std::uint32_t m_waiting = 0;
  bool m_cold = false;
  Time m_measuredAt; // by this daemon's clock
};

struct SendGrant
{
  DaemonId m_to;
  proto::PermitGrant m_grant;
};

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
  // Begins to own at aNow. aIncarnation orders owners' states; a later owner
  // takes a larger one (its wall time in ms will do). aLast is the last state
  // that a previous owner spread, if known: its in_progress counts until the
  // holders or the upstream report. aCold: the upstream is new or not known to
  // be warm.
  UpstreamOwner(UpstreamId aUpstream,
                OwnerOptions aOptions,
                std::uint64_t aIncarnation,
                bool aCold,
                const std::optional<proto::UpstreamState>& aLast,
                Time aNow);

  // Limits of a new preset. Permits and the queue are kept; requests over a
  // smaller queue limit are denied.
  void SetOptions(const OwnerOptions& aOptions, Time aNow, OwnerActions& aOut);

  // Customers' weights; a customer that is not named has weight 1.
  void SetShares(std::unordered_map<CustomerId, std::uint32_t> aShares);

  // Grants at once, queues (only if may_wait), or denies at once. A repeat of
  // a granted request is granted again, a repeat of a waiting one is ignored.
  void OnPermitRequest(const DaemonId& aFrom,
                       const proto::PermitRequest& aRequest,
                       Time aNow,
                       OwnerActions& aOut);

  // Ends a permit or leaves the queue; harmless when neither is known.
  void OnRelease(const DaemonId& aFrom,
                 const proto::PermitRelease& aRelease,
                 Time aNow,
                 OwnerActions& aOut);

  // All permits that a daemon holds: unknown ones are added, even over the
  // window, and ones that are missing are ended after the report grace.
  void OnReport(const DaemonId& aFrom,
                const proto::PermitReport& aReport,
                Time aNow,
                OwnerActions& aOut);

  void OnLoad(const EngineLoad& aLoad, Time aNow, OwnerActions& aOut);

  // A daemon died or started anew: its permits and waiting requests end.
  void OnHolderGone(const DaemonId& aHolder, Time aNow, OwnerActions& aOut);

  // The upstream leaves or its availability zone is out: no grant from now on,
  // and all that wait are denied with NoUpstream.
  void OnLeaving(Time aNow, OwnerActions& aOut);

  // The upstream is back in service. aCold as in the constructor.
  void OnReturned(bool aCold, Time aNow, OwnerActions& aOut);

  // The previous owner handed over and has stopped: the takeover ends.
  void OnHandover(Time aNow, OwnerActions& aOut);

  // Mean requests in progress over the warm upstreams of the service.
  void OnMeanLoad(double aMean, Time aNow, OwnerActions& aOut);

  // To be called every second or more often.
  void OnTick(Time aNow, OwnerActions& aOut);

  // Requests that the upstream may carry now.
  std::uint32_t Window(Time aNow) const;

  // Permits held plus what the upstream reports beyond them.
  std::uint32_t InProgress() const;

  std::size_t Waiting() const { return m_queue.size(); }
  bool IsCold() const { return m_cold; }
  bool IsLeaving() const { return m_leaving; }
  bool InTakeover(Time aNow) const { return aNow < m_takeoverUntil; }

  // What to spread to the other daemons.
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
    bool m_reported = false; // came by a report, not by our grant
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

  void OnEvent(Time aNow);
  void StartTakeover(Time aNow);
  bool MayGrant(Time aNow) const;
  void Grant(const PermitKey& aKey,
             const CustomerId& aCustomer,
             Time aNow,
             OwnerActions& aOut);
  void Deny(const PermitKey& aKey, ResultCode aCode, OwnerActions& aOut) const;
  void Enqueue(WaitingRequest aRequest, Time aNow, OwnerActions& aOut);
  void GrantWaiting(Time aNow, OwnerActions& aOut);
  void DenyWaiting(ResultCode aCode, OwnerActions& aOut);
  void DenyExpired(Time aNow, OwnerActions& aOut);
  Permits::iterator EndPermit(Permits::iterator aPermit, Time aNow);
  void TurnCold(Time aNow);
  bool MayWarm(Time aNow) const;
  void GrowColdWindow(Time aNow);
  std::uint32_t WarmWindow() const;
  std::uint32_t HeldAt(Time aWhen) const;
  double ShareUse(const CustomerId& aCustomer) const;
  bool GoesBefore(const WaitingRequest& aLeft,
                  const WaitingRequest& aRight) const;
  Duration ExpectedWait(Time aNow) const;
  Duration RetryAfter() const;

  UpstreamId m_upstream;
  OwnerOptions m_options;
  std::uint64_t m_incarnation;
  std::unordered_map<CustomerId, std::uint32_t> m_shares;
  std::unordered_map<CustomerId, std::uint32_t> m_held; // permits by customer
  Permits m_permits;
  std::deque<EndedPermit> m_ended;
  std::vector<WaitingRequest> m_queue;
  double m_mean = 0;
  Duration m_meanHold{ 0 }; // moving average of a permit's duration
  std::uint32_t m_unaccounted = 0;
  Time m_unaccountedUntil;
  bool m_leaving = false;
  bool m_cold;
  std::uint32_t m_coldWindow;
  std::uint32_t m_coldWindowAtStep;
  Time m_coldSince;
  Time m_coldStepAt;
  std::optional<EngineLoad> m_load;
  Time m_takeoverSince;
  Time m_takeoverUntil;
  std::uint32_t m_takeoverGrants = 0; // granted since the takeover and held
  Time m_lastEvent;
};

} // namespace walnutwing

#endif // WALNUTWING_PLACEMENT_UPSTREAM_OWNER_H_
