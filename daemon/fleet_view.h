#ifndef WALNUTWING_DAEMON_FLEET_VIEW_H_
#define WALNUTWING_DAEMON_FLEET_VIEW_H_

// This daemon's view of the fleet: the other daemons, known by gossip
// (walnutwing/membership), and the upstreams, known by the platform's list of
// VMs, which lags. While the platform is unavailable, the last list is kept.

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "daemon/context.h"
#include "net/owned_timer.h"
#include "platform.pb.h"
#include "walnutwing/membership/membership.h"

namespace walnutwing {

class FleetView
{
public:
  explicit FleetView(Context& aContext);

  void OnPeerMessage(const DaemonId& aFrom, const proto::PeerMessage& aMessage);

  // Announces that this daemon is stopping.
  void OnStop();

  void SetConfigVersion(std::uint64_t aVersion)
  {
    m_membership->SetConfigVersion(aVersion);
  }
  void SetUpstreamState(const proto::UpstreamState& aState);

  // The peer address of a daemon; empty if unknown.
  std::string AddressOf(const DaemonId& aDaemon) const;

  // The daemons of a zone that may own upstreams, including this one.
  std::vector<DaemonId> DaemonsOf(const ZoneId& aZone) const;

  // All daemons that are up, except this one.
  std::vector<DaemonId> PeersUp() const;

  // The daemon that owns an upstream in this view; empty if no daemon of its
  // zone is up.
  DaemonId OwnerOfUpstream(const proto::VmEntry& aUpstream) const;

  // The engines and plain services in the platform's list.
  const std::map<UpstreamId, proto::VmEntry>& Upstreams() const
  {
    return m_upstreams;
  }

  std::vector<MemberView> Members() const { return m_membership->View(); }
  const proto::UpstreamState* StateOf(const UpstreamId& aUpstream) const;
  std::uint64_t Incarnation() const { return m_membership->Incarnation(); }
  bool HasVmList() const { return m_hasVmList; }

private:
  void PollVmList();
  void OnVmList(const proto::VmList& aList);
  void CarryOut(const MembershipActions& aActions);
  void RefreshMembers();
  void NotifyComponents();

  Context& m_context;
  std::unique_ptr<Membership> m_membership;
  std::map<UpstreamId, proto::VmEntry> m_upstreams;
  std::map<DaemonId, std::string> m_addresses;
  std::map<ZoneId, std::vector<DaemonId>> m_daemonsUp;
  bool m_hasVmList = false;
  PlatformClient::CallHandle m_vmListCall;
  net::OwnedTimer m_tickTimer;
  net::OwnedTimer m_pollTimer;
};

} // namespace walnutwing

#endif // WALNUTWING_DAEMON_FLEET_VIEW_H_
