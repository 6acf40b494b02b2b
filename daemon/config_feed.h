#ifndef WALNUTWING_DAEMON_CONFIG_FEED_H_
#define WALNUTWING_DAEMON_CONFIG_FEED_H_

// Keeps the operators' configuration in force in this daemon: feeds the
// ConfigFollower with records of the platform's log and with peers' messages,
// and notifies the other components when another version comes into force.

#include <memory>

#include "daemon/context.h"
#include "net/owned_timer.h"
#include "peer.pb.h"
#include "walnutwing/config/config_follower.h"

namespace walnutwing {

class ConfigFeed
{
public:
  explicit ConfigFeed(Context& aContext);

  void OnPeerMessage(const DaemonId& aFrom, const proto::PeerMessage& aMessage);
  void OnFleetChanged();

  // The configuration in force; null before the first one.
  const std::shared_ptr<const proto::FleetConfig>& Current() const
  {
    return m_current;
  }
  const ConfigFollowerCounters& Counters() const
  {
    return m_follower.Counters();
  }

private:
  void CarryOut(const ConfigActions& aActions);
  void Read(std::uint64_t aFromOffset);
  void Append(const proto::ConfigRecord& aRecord);
  void Send(const DaemonId& aTo, const proto::PeerMessage& aMessage);
  void PutInForce(std::shared_ptr<const proto::FleetConfig> aConfig);

  Context& m_context;
  ConfigFollower m_follower;
  std::shared_ptr<const proto::FleetConfig> m_current;
  PlatformClient::CallHandle m_read;
  PlatformClient::CallHandle m_append;
  net::OwnedTimer m_tickTimer;
};

} // namespace walnutwing

#endif // WALNUTWING_DAEMON_CONFIG_FEED_H_
