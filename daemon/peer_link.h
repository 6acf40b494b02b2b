#ifndef WALNUTWING_DAEMON_PEER_LINK_H_
#define WALNUTWING_DAEMON_PEER_LINK_H_

// Exchanges messages with the peers: batches outgoing messages into envelopes,
// charges them to the byte budget, and dispatches received messages to the
// components.

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "daemon/context.h"
#include "net/owned_timer.h"
#include "net/peer_bus.h"
#include "peer.pb.h"

namespace walnutwing {

// Reads the fleet's secret key from the file named in the settings, without
// trailing white space. Throws SettingsError if the file cannot be read.
std::string
ReadFleetSecret(const DaemonSettings& aSettings);

class PeerLink
{
public:
  // Binds the peer address. Throws std::system_error if it cannot be bound,
  // SettingsError if the secret key file cannot be read, and
  // std::invalid_argument for a key that is not valid Z85.
  explicit PeerLink(Context& aContext);

  // Sends a message to a daemon; dropped if the daemon's address is unknown. A
  // message that is not urgent is sent with the next urgent one to the same
  // daemon, when kMaxBatchMessages are waiting, or after kBatchDelay. Messages
  // to this daemon itself are dispatched in the next iteration of the event
  // loop.
  void Send(const DaemonId& aTo,
            const proto::PeerMessage& aMessage,
            bool aUrgent);

  // Sends messages that membership has already charged to the byte budget.
  void SendCharged(const std::string& aAddress,
                   const std::vector<proto::PeerMessage>& aMessages);

  // Connects to a peer ahead of the first message, which would be dropped
  // without a connection.
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
  // Returns the size of the envelope in bytes, or 0 if it was dropped.
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
