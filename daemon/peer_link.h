#ifndef WALNUTWING_DAEMON_PEER_LINK_H_
#define WALNUTWING_DAEMON_PEER_LINK_H_

// Messages between this daemon and its peers: puts them into envelopes, charges
// the byte budget, and hands what arrives to the component that it is for.

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "daemon/context.h"
#include "net/owned_timer.h"
#include "net/peer_bus.h"
#include "peer.pb.h"

namespace walnutwing {

// The fleet's secret key from the file that the settings name, without white
// space around it. Throws SettingsError.
std::string
ReadFleetSecret(const DaemonSettings& aSettings);

class PeerLink
{
public:
  // Binds the peer address. Throws std::system_error if it cannot be bound and
  // SettingsError for unusable keys.
  explicit PeerLink(Context& aContext);

  // Sends to a daemon by its id; dropped when its address is not known. A
  // message that is not urgent rides on the next one to the same daemon, or
  // leaves after kBatchDelay. To itself, a daemon's messages take the next turn
  // of the loop.
  void Send(const DaemonId& aTo,
            const proto::PeerMessage& aMessage,
            bool aUrgent);

  // Sends membership's messages, which have been charged already.
  void SendCharged(const std::string& aAddress,
                   const std::vector<proto::PeerMessage>& aMessages);

  // Opens the connection to a peer, so that the first message is not dropped.
  void Connect(const std::string& aAddress);

  const net::PeerBusCounters& Counters() const { return m_bus.Counters(); }

private:
  void SendNow(const DaemonId& aTo, std::vector<proto::PeerMessage> aMessages);
  void FlushBatches();
  void OnEnvelope(std::string_view aBytes);
  void Dispatch(const DaemonId& aFrom,
                std::uint64_t aIncarnation,
                const proto::PeerMessage& aMessage);
  std::string Encode(std::vector<proto::PeerMessage> aMessages) const;
  // The bytes charged, or 0 when the message was dropped.
  std::size_t Transmit(const std::string& aAddress,
                       std::vector<proto::PeerMessage> aMessages);

  Context& m_context;
  net::PeerBus m_bus;
  std::map<DaemonId, std::vector<proto::PeerMessage>> m_batches;
  std::vector<proto::PeerMessage> m_toSelf;
  net::OwnedTimer m_batchTimer;
  net::OwnedTimer m_selfTimer;
};

} // namespace walnutwing

#endif // WALNUTWING_DAEMON_PEER_LINK_H_
