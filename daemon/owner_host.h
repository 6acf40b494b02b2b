#ifndef WALNUTWING_DAEMON_OWNER_HOST_H_
#define WALNUTWING_DAEMON_OWNER_HOST_H_

// The upstreams that this daemon owns in its own view: one UpstreamOwner each,
// fed with permit requests, the upstream's load report and the members that go.

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

  // Permit requests, releases and reports.
  void OnPeerMessage(const DaemonId& aFrom,
                     std::uint64_t aIncarnation,
                     const proto::PeerMessage& aMessage);

  void OnDaemonGone(const DaemonId& aDaemon);
  void OnFleetChanged();
  void OnConfigChanged();

  std::size_t OwnedCount() const { return m_owned.size(); }

private:
  struct Owned;
  using OwnedMap = std::map<UpstreamId, std::unique_ptr<Owned>>;

  void Adopt(const proto::VmEntry& aUpstream);
  void Refresh(Owned& aOwned);
  void SetLeaving(Owned& aOwned, bool aLeaving);
  void PollLoad(Owned& aOwned);
  void OnLoadAnswer(const UpstreamId& aUpstream,
                    const net::HttpResponse& aAnswer);
  void Tick();
  void CarryOut(const OwnerActions& aActions);
  void DenyUnowned(const DaemonId& aTo, const proto::PermitRequest& aRequest);
  void ForgetOldHolder(const DaemonId& aFrom, std::uint64_t aIncarnation);

  Context& m_context;
  OwnedMap m_owned;
  std::map<DaemonId, std::uint64_t> m_holders; // last incarnation heard of
  net::OwnedTimer m_tick;
  net::OwnedTimer m_poll;
};

} // namespace walnutwing

#endif // WALNUTWING_DAEMON_OWNER_HOST_H_
