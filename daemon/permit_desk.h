#ifndef WALNUTWING_DAEMON_PERMIT_DESK_H_
#define WALNUTWING_DAEMON_PERMIT_DESK_H_

// Finds an upstream for each request: ranks the service's upstreams for its
// chat and asks their owners for a permit.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "daemon/context.h"
#include "net/owned_timer.h"
#include "peer.pb.h"
#include "walnutwing/admission/retry_budget.h"
#include "walnutwing/placement/chat_placement.h"
#include "walnutwing/placement/permit_client.h"

namespace walnutwing {

// One request's search for an upstream.
struct PermitSearch
{
  ChatKey m_chat;
  std::optional<UpstreamId> m_hint;
  bool m_newChat = false; // the caller carries hints and has none yet
  std::uint32_t m_priority = 0;
  Time m_deadline;
  std::set<UpstreamId> m_triedUpstreams; // tried already
};

// How a search ended.
struct PermitResult
{
  ResultCode m_code = ResultCode::Ok;
  Duration m_retryAfter{ 0 };
  UpstreamId m_upstream; // only with Ok
  net::Endpoint m_endpoint;
};

class PermitCoordinator
{
public:
  using DoneCallback = std::function<void(const PermitResult&)>;

  explicit PermitCoordinator(Context& aContext);

  // Searches; aDone is called once, from a later turn of the loop, unless the
  // search is given up first. Returns the search's id.
  RequestId Search(const PermitSearch& aSearch, DoneCallback aDone);

  // Gives a search up, or ends the use of the permit that it found.
  void CancelSearch(RequestId aSearch);
  void ReleasePermit(RequestId aSearch, bool aFailed, bool aCold);

  // Nothing was sent, because the upstream could not be reached: the search
  // goes on with the next upstream, and its DoneCallback is called again.
  void OnUpstreamUnreachable(RequestId aSearch);

  // Whether another attempt at a request may be made now.
  bool TryRetry();

  void OnPeerMessage(const DaemonId& aFrom, const proto::PeerMessage& aMessage);
  void OnUpstreamState(const proto::UpstreamState& aState);
  void OnFleetChanged();
  void OnConfigChanged();

  // Mean load of the warm upstreams of a model; nothing when none is known.
  std::optional<double> MeanLoadOf(const std::string& aModel) const;

  std::size_t HeldCount() const { return m_client.HeldCount(); }

private:
  struct ServicePlacement
  {
    std::string m_model;
    ChatPlacement m_placement;
  };

  std::vector<PermitTarget> TargetsFor(const PermitSearch& aSearch) const;
  std::uint32_t SelfPermitLimit(const ServicePlacement& aService,
                                const UpstreamId& aUpstream) const;
  void RebuildPlacements();
  void UpdateOwners();
  void CarryOut(const PermitClientActions& aActions);
  void DeliverResult(RequestId aSearch, const PermitResult& aResult);
  void DeliverPermit(const PermitReady& aReady);

  Context& m_context;
  PermitClient m_client;
  RetryBudget m_retries;
  std::map<ServiceId, ServicePlacement> m_placements;
  std::map<UpstreamId, DaemonId> m_owners; // as last told to m_client
  std::unordered_map<RequestId, DoneCallback> m_searches;
  net::OwnedTimer m_tickTimer;
  net::OwnedTimer m_reportTimer;
};

} // namespace walnutwing

#endif // WALNUTWING_DAEMON_PERMIT_DESK_H_
