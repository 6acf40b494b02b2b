#ifndef WALNUTWING_PLACEMENT_PERMIT_CLIENT_H_
#define WALNUTWING_PLACEMENT_PERMIT_CLIENT_H_

// The client side of permits: finds for each request an upstream that it may be
// sent to. The owners of the ranked upstreams are asked in turn for an
// immediate answer. If none grants a permit, the request waits in the queue of
// the first owner that reported its upstream full. An owner that does not
// answer in time is not asked again during a backoff, and a late grant of it is
// released.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "peer.pb.h"
#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"
#include "walnutwing/base/result_code.h"

namespace walnutwing {

struct PermitClientOptions
{
  std::size_t m_maxTries = 4; // owners asked before waiting in a queue
  // For the immediate answer of an owner.
  Duration m_answerTimeout = std::chrono::milliseconds(250);
  Duration m_waitTimeout = std::chrono::seconds(10); // in an owner's queue
  // Interval at which a waiting request's permit request is sent again. It may
  // have been lost because the connection was not established yet, or the owner
  // may have lost its queue. Owners ignore a repeat of a waiting request.
  Duration m_resendInterval = std::chrono::milliseconds(500);
  // An owner that did not answer is not asked again for this time.
  Duration m_ownerBackoff = std::chrono::seconds(1);
  Duration m_retryAfter = std::chrono::seconds(1); // if no owner named one
};

// An upstream that a request may be sent to.
struct PermitTarget
{
  UpstreamId m_upstream;
  DaemonId m_owner; // empty if the view names none; may be this daemon
  // Maximum number of self-permits for the upstream: permits that this daemon
  // takes without an owner's grant while the upstream has no owner or its owner
  // does not answer, and no owner of any target reported a full upstream. It is
  // the upstream's last window divided by the number of daemons that may take
  // self-permits. 0 allows none.
  std::uint32_t m_selfPermitLimit = 0;
};

// A request that needs a permit for one of its targets.
struct PlacementRequest
{
  RequestId m_request;
  CustomerId m_customer;
  ServiceId m_service;
  std::uint32_t m_priority = 0; // 0 is the most urgent
  Time m_deadline;
  std::vector<PermitTarget> m_targets; // best first
};

// Action: send a message to an owner.
struct SendToOwner
{
  DaemonId m_owner;
  proto::PeerMessage m_message;
  bool m_urgent = true; // false: may be batched with later messages
};

// Action: the request may be sent to the upstream now. OnFinished or
// OnUnreachable must follow.
struct PermitReady
{
  RequestId m_request;
  UpstreamId m_upstream;
  bool m_selfPermitted = false;
};

// Action: the request got no permit. It was not executed and will not be.
struct PermitRefused
{
  RequestId m_request;
  ResultCode m_code;
  Duration m_retryAfter;
};

using PermitClientAction =
  std::variant<SendToOwner, PermitReady, PermitRefused>;
using PermitClientActions = std::vector<PermitClientAction>;

class PermitClient
{
public:
  explicit PermitClient(PermitClientOptions aOptions = {});

  // Starts to acquire a permit. Throws std::invalid_argument if the request id
  // is in use.
  void OnRequest(PlacementRequest aPlacementRequest,
                 Time aNow,
                 PermitClientActions& aOut);

  void OnGrant(const DaemonId& aFrom,
               const proto::PermitGrant& aGrant,
               Time aNow,
               PermitClientActions& aOut);
  void OnDeny(const DaemonId& aFrom,
              const proto::PermitDeny& aDeny,
              Time aNow,
              PermitClientActions& aOut);

  // Handles timeouts. To be called at NextTimeout or every 50 ms.
  void OnTick(Time aNow, PermitClientActions& aOut);

  // The caller went away before PermitReady. No effect if the request is
  // unknown or holds a permit.
  void OnCancel(RequestId aRequest, Time aNow, PermitClientActions& aOut);

  // A request that holds a permit has ended; no effect for other requests.
  // aFailed: the upstream could not be reached or broke off. aCold: its answer
  // said that it is cold.
  void OnFinished(RequestId aRequest,
                  bool aFailed,
                  bool aCold,
                  PermitClientActions& aOut);

  // The upstream could not be reached and nothing was sent: releases the permit
  // and continues with the next target.
  void OnUnreachable(RequestId aRequest, Time aNow, PermitClientActions& aOut);

  // The view names another owner, or none if aOwner is empty. Reports the held
  // permits to the new owner. Permit requests pending at the previous owner are
  // withdrawn and sent to the new one; without one, their requests continue
  // with the next target.
  void OnOwnerChanged(const UpstreamId& aUpstream,
                      const DaemonId& aOwner,
                      Time aNow,
                      PermitClientActions& aOut);

  // Reports all held permits to their owners. To be called about every 10 s. It
  // ends permits whose release was lost and restores the permits of an owner
  // that lost its state.
  void ReportHeldPermits(PermitClientActions& aOut);

  // The time at which OnTick has work to do; nothing if no request is asking or
  // waiting.
  std::optional<Time> NextTimeout() const;

  std::size_t HeldCount() const;
  std::size_t AskingCount() const { return m_timeouts.size(); }

private:
  enum class Phase
  {
    Asking,  // for an immediate answer
    Waiting, // in an owner's queue
    Held,
  };
  struct Request
  {
    PlacementRequest m_placementRequest;
    Phase m_phase = Phase::Asking;
    std::size_t m_nextTarget = 0;    // to ask
    std::size_t m_currentTarget = 0; // asked or held
    std::size_t m_tries = 0;
    std::size_t m_nextSelfPermitTarget = 0;
    std::optional<std::size_t> m_firstFullTarget; // first target reported full
    bool m_hasWaited = false;
    bool m_selfPermitted = false;
    // Code of the first denial, replaced by the code of a denial or timeout
    // while waiting and by UpstreamUnreachable.
    std::optional<ResultCode> m_refusalCode;
    std::optional<Duration> m_retryAfter; // shortest that a denial named
    Time m_timeoutAt;
    Time m_waitUntil; // of a waiting request
  };
  using Requests = std::unordered_map<RequestId, Request>;

  void AskNext(Request& aRequest, Time aNow, PermitClientActions& aOut);
  void AskTarget(Request& aRequest,
                 std::size_t aTarget,
                 bool aMayWait,
                 Time aNow,
                 PermitClientActions& aOut);
  void SendPermitRequest(Request& aRequest,
                         Time aNow,
                         PermitClientActions& aOut);
  void HandleNoGrant(Request& aRequest, Time aNow, PermitClientActions& aOut);
  bool TakeSelfPermit(Request& aRequest, Time aNow, PermitClientActions& aOut);
  static ResultCode RefusalCode(const Request& aRequest, bool aBeforeDeadline);
  static void ExcludeTarget(Request& aRequest);
  void HoldPermit(Request& aRequest,
                  std::size_t aTarget,
                  bool aSelfPermitted,
                  PermitClientActions& aOut);
  void SendRelease(const Request& aRequest,
                   bool aFailed,
                   bool aCold,
                   PermitClientActions& aOut);
  void RemoveHeldPermit(const Request& aRequest);
  void CancelTimeout(const Request& aRequest);
  void SendReport(const UpstreamId& aUpstream,
                  const DaemonId& aOwner,
                  PermitClientActions& aOut) const;
  Request* FindPendingRequest(const DaemonId& aFrom,
                              std::uint64_t aRequest,
                              const std::string& aUpstream);
  bool IsInBackoff(const DaemonId& aOwner, Time aNow) const;

  struct HeldPermits
  {
    DaemonId m_owner;
    std::set<RequestId> m_requests;
    std::uint32_t m_selfPermitCount = 0;
  };

  PermitClientOptions m_options;
  Requests m_requests;
  std::set<std::pair<Time, RequestId>> m_timeouts;
  std::map<UpstreamId, HeldPermits> m_held;
  std::unordered_map<DaemonId, Time> m_backoffUntil;
};

} // namespace walnutwing

#endif // WALNUTWING_PLACEMENT_PERMIT_CLIENT_H_
