#ifndef WALNUTWING_PLACEMENT_PERMIT_CLIENT_H_
#define WALNUTWING_PLACEMENT_PERMIT_CLIENT_H_

// The asking side of permits: for each request, finds one of its upstreams that
// may take it. The owners of the ranked upstreams are asked in turn for an
// immediate answer; when all are full, the request waits at the first one that
// said so. An owner that does not answer in time is asked no more for a while,
// and a late grant of it is given back.

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
  std::size_t m_maxTries = 4; // owners asked before the request waits
  Duration m_askTimeout = std::chrono::milliseconds(250);
  Duration m_waitTimeout = std::chrono::seconds(10); // at most, in a queue
  // A waiting request asks again this often: the ask may have been lost with a
  // connection that did not stand yet, or the owner with its queue. Owners
  // ignore what they know already.
  Duration m_repeatInterval = std::chrono::milliseconds(500);
  // An owner that did not answer is passed over for this time.
  Duration m_ownerBackoff = std::chrono::seconds(1);
  Duration m_retryAfter = std::chrono::seconds(1); // where no owner named one
};

// One of the upstreams that a request may go to, best first.
struct PermitTarget
{
  UpstreamId m_upstream;
  DaemonId m_owner; // empty when the view names none; may be this daemon
  // Requests that this daemon may send to the upstream at once by its own leave
  // while no owner of any target answers: the upstream's last window divided
  // by the daemons that may do the same. 0 for none.
  std::uint32_t m_selfPermitLimit = 0;
};

struct PlacementRequest
{
  RequestId m_request;
  CustomerId m_customer;
  ServiceId m_service;
  std::uint32_t m_priority = 0; // 0 is the most urgent
  Time m_deadline;
  std::vector<PermitTarget> m_targets;
};

struct SendToOwner
{
  DaemonId m_owner;
  proto::PeerMessage m_message;
  bool m_urgent = true; // false: may ride on a later message
};

// The request may be sent to the upstream now. Ends with OnFinished or
// OnUnreachable.
struct PermitReady
{
  RequestId m_request;
  UpstreamId m_upstream;
  bool m_selfPermitted = false;
};

// The request has not run and will not.
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

  // Begins to look for a permit. A request id that is in use throws
  // std::invalid_argument.
  void OnRequest(PlacementRequest aAsk, Time aNow, PermitClientActions& aOut);

  void OnGrant(const DaemonId& aFrom,
               const proto::PermitGrant& aGrant,
               Time aNow,
               PermitClientActions& aOut);
  void OnDeny(const DaemonId& aFrom,
              const proto::PermitDeny& aDeny,
              Time aNow,
              PermitClientActions& aOut);

  // Runs timeouts; to be called at NextTimeout or every 50 ms.
  void OnTick(Time aNow, PermitClientActions& aOut);

  // The caller is gone before PermitReady; harmless when it is not known.
  void OnCancel(RequestId aRequest, Time aNow, PermitClientActions& aOut);

  // The request that was ready has ended. aCold: the answer said that the
  // upstream is cold.
  void OnFinished(RequestId aRequest,
                  bool aFailed,
                  bool aCold,
                  PermitClientActions& aOut);

  // The upstream could not be reached and nothing was sent: gives the permit
  // back and goes on with the next upstream.
  void OnUnreachable(RequestId aRequest, Time aNow, PermitClientActions& aOut);

  // The view names another owner (or none, when empty): reports the permits
  // held to it and asks it for what was being asked.
  void OnOwnerChanged(const UpstreamId& aUpstream,
                      const DaemonId& aOwner,
                      Time aNow,
                      PermitClientActions& aOut);

  // Reports all permits held to their owners. To be called every 10 s or so,
  // which mends lost releases and owners without memory.
  void ReportHeldPermits(PermitClientActions& aOut);

  // When OnTick has something to do; nothing when no request is asking.
  std::optional<Time> NextTimeout() const;

  std::size_t HeldCount() const;
  std::size_t AskingCount() const { return m_timeouts.size(); }

private:
  enum class Phase
  {
    Asking,  // asked for an immediate answer
    Waiting, // in an owner's queue
    Held,
  };
  struct Request
  {
    PlacementRequest m_ask;
    Phase m_phase = Phase::Asking;
    std::size_t m_next = 0;    // the target to ask next
    std::size_t m_current = 0; // the target that is asked or held
    std::size_t m_tries = 0;
    std::size_t m_selfNext = 0; // the target to consider for a self-permit
    std::optional<std::size_t> m_full; // first target whose owner was full
    bool m_waited = false;
    bool m_selfPermitted = false;
    std::optional<ResultCode> m_code; // of the first denial
    std::optional<Duration> m_retryAfter;
    Time m_timeout;
    Time m_waitUntil; // of a waiting request
  };
  using Requests = std::unordered_map<RequestId, Request>;

  void AskNext(Request& aRequest, Time aNow, PermitClientActions& aOut);
  void AskTarget(Request& aRequest,
                 std::size_t aTarget,
                 bool aMayWait,
                 Time aNow,
                 PermitClientActions& aOut);
  void SendAsk(Request& aRequest, Time aNow, PermitClientActions& aOut);
  void FinishAsking(Request& aRequest, Time aNow, PermitClientActions& aOut);
  bool SelfPermit(Request& aRequest, Time aNow, PermitClientActions& aOut);
  static ResultCode RefusalCode(const Request& aRequest, bool aInTime);
  static void DropTarget(Request& aRequest);
  void Hold(Request& aRequest,
            std::size_t aTarget,
            bool aSelfPermitted,
            PermitClientActions& aOut);
  void Release(const Request& aRequest,
               bool aFailed,
               bool aCold,
               PermitClientActions& aOut);
  void ForgetHeld(const Request& aRequest);
  void StopTimeout(const Request& aRequest);
  void SendReport(const UpstreamId& aUpstream,
                  const DaemonId& aOwner,
                  PermitClientActions& aOut) const;
  Request* AskingOf(const DaemonId& aFrom,
                    std::uint64_t aRequest,
                    const std::string& aUpstream);
  bool IsSilent(const DaemonId& aOwner, Time aNow) const;

  struct HeldPermits
  {
    DaemonId m_owner;
    std::set<RequestId> m_requests;
    std::uint32_t m_selfPermitted = 0;
  };

  PermitClientOptions m_options;
  Requests m_requests;
  std::set<std::pair<Time, RequestId>> m_timeouts;
  std::map<UpstreamId, HeldPermits> m_held;
  std::unordered_map<DaemonId, Time> m_silentUntil;
};

} // namespace walnutwing

#endif // WALNUTWING_PLACEMENT_PERMIT_CLIENT_H_
