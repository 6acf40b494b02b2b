#ifndef WALNUTWING_DAEMON_OWNER_HOST_H_
#define WALNUTWING_DAEMON_OWNER_HOST_H_

// Runs one UpstreamOwner for each upstream that this daemon owns in its own
// membership view, and feeds it with permit requests, the upstream's load
// reports and the loss of permit holders.

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "config.pb.h"
#include "daemon/context.h"
#include "net/owned_timer.h"
#include "peer.pb.h"
#include "platform.pb.h"
#include "walnutwing/placement/upstream_owner.h"

namespace walnutwing {

class OwnerHost
{
public:
  explicit OwnerHost(Context& aContext);
  ~OwnerHost();

  // Handles permit requests, releases and reports.
  void OnPeerMessage(const DaemonId& aFrom,
                     std::uint64_t aIncarnation,
                     const proto::PeerMessage& aMessage);

  // Ends the permits that aDaemon holds.
  void OnDaemonGone(const DaemonId& aDaemon);
  void OnFleetChanged();
  void OnConfigChanged();

  std::size_t OwnedCount() const { return m_owned.size(); }

private:
  struct OwnedUpstream;
  using OwnedUpstreamMap = std::map<UpstreamId, std::unique_ptr<OwnedUpstream>>;

  void TakeOwnership(const proto::VmEntry& aUpstream);
  void Refresh(OwnedUpstream& aOwned);
  void SetLeaving(OwnedUpstream& aOwned, bool aLeaving);
  void PollLoad(OwnedUpstream& aOwned);
  void OnLoadResponse(const UpstreamId& aUpstream,
                      const net::HttpResponse& aResponse);
  void Tick();
  void CarryOut(const OwnerActions& aActions);
  void DenyUnowned(const DaemonId& aTo, const proto::PermitRequest& aRequest);
  void UpdateHolderIncarnation(const DaemonId& aFrom,
                               std::uint64_t aIncarnation);

  Context& m_context;
  OwnedUpstreamMap m_owned;
  std::map<DaemonId, std::uint64_t>
    m_holderIncarnations; // highest incarnation seen
  net::OwnedTimer m_tickTimer;
  net::OwnedTimer m_pollTimer;
};

} // namespace walnutwing

#endif // WALNUTWING_DAEMON_OWNER_HOST_H_
