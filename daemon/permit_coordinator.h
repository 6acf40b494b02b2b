#ifndef WALNUTWING_DAEMON_PERMIT_COORDINATOR_H_
#define WALNUTWING_DAEMON_PERMIT_COORDINATOR_H_

// Finds an upstream for each request: ranks the service's upstreams for the
// request's chat and requests a permit from their owners. The component is
// named permit_desk in logs and metrics.

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

// A request's search for an upstream with a free permit.
struct PermitSearch
{
  ChatKey m_chat;
  std::optional<UpstreamId> m_hint;
  bool m_newChat = false; // the caller supports hints but has none yet
  std::uint32_t m_priority = 0;
  Time m_deadline;
  std::set<UpstreamId> m_triedUpstreams; // excluded from the search
};

// The result of a search.
struct PermitResult
{
  ResultCode m_code = ResultCode::Ok;
  Duration m_retryAfter{ 0 };
  UpstreamId m_upstream; // only if m_code is Ok
  net::Endpoint m_endpoint;
};

class PermitCoordinator
{
public:
  using DoneCallback = std::function<void(const PermitResult&)>;

  explicit PermitCoordinator(Context& aContext);

  // Starts a search and returns its id. aDone is called with the result in a
  // later iteration of the event loop, unless the search is cancelled first. It
  // is called once, and once more after each OnUpstreamUnreachable.
  RequestId Search(const PermitSearch& aSearch, DoneCallback aDone);

  // Cancels a search; no effect if it is unknown.
  void CancelSearch(RequestId aSearch);

  // Releases the permit that a search found; no effect if the search is
  // unknown. aFailed: the request failed; aCold: the upstream answered that it
  // was cold.
  void ReleasePermit(RequestId aSearch, bool aFailed, bool aCold);

  // The upstream could not be reached, so nothing was sent: continues the
  // search with the next upstream and calls its DoneCallback again.
  void OnUpstreamUnreachable(RequestId aSearch);

  // Takes one retry from the retry budget; false if it is exhausted.
  bool TryRetry();

  void OnPeerMessage(const DaemonId& aFrom, const proto::PeerMessage& aMessage);
  void OnUpstreamState(const proto::UpstreamState& aState);
  void OnFleetChanged();
  void OnConfigChanged();

  // Mean load of the warm upstreams of a model; std::nullopt if unknown.
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
  std::map<UpstreamId, DaemonId> m_owners; // as last reported to m_client
  std::unordered_map<RequestId, DoneCallback> m_searches;
  net::OwnedTimer m_tickTimer;
  net::OwnedTimer m_reportTimer;
};

} // namespace walnutwing

#endif // WALNUTWING_DAEMON_PERMIT_COORDINATOR_H_
