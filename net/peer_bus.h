#ifndef WALNUTWING_NET_PEER_BUS_H_
#define WALNUTWING_NET_PEER_BUS_H_

// Messages between daemons over ZeroMQ. Delivery is best effort: a message to a
// peer that is not connected, or whose queue is full, is dropped and counted.
// The protocols on top of it retransmit what must arrive.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/event_loop.h"
#include "net/http.h"

namespace walnutwing::net {

// A CURVE key pair, Z85-encoded, that all daemons of a fleet share. Peers
// without it cannot exchange messages with the daemons.
struct PeerKeys
{
  std::string m_publicKey;
  std::string m_secretKey;
};

struct PeerBusOptions
{
  Endpoint m_listen;
  std::optional<PeerKeys>
    m_keys; // nullopt: no authentication, for tests on one machine
  std::size_t m_maxMessageBytes = 1U << 20U;
  int m_queueLimit = 1000; // messages per peer
};

struct PeerBusCounters
{
  std::uint64_t m_sent = 0; // messages, as m_dropped and m_received
  std::uint64_t m_sentBytes = 0;
  std::uint64_t m_dropped = 0;
  std::uint64_t m_received = 0;
  std::uint64_t m_receivedBytes = 0;
};

class PeerBus
{
public:
  using Receiver = std::function<void(std::string_view aMessage)>;

  // Throws std::system_error if the address cannot be bound, and
  // std::invalid_argument for keys that are not Z85.
  PeerBus(EventLoop& aLoop, const PeerBusOptions& aOptions, Receiver aReceiver);
  ~PeerBus();
  PeerBus(const PeerBus&) = delete;
  PeerBus& operator=(const PeerBus&) = delete;

  // Starts to connect to a peer before the first message to it.
  void Connect(const Endpoint& aPeer);

  // Closes the connection to a peer and drops messages queued for it.
  void Disconnect(const Endpoint& aPeer);

  // Queues aMessage for sending. Returns false if it was dropped.
  bool Send(const Endpoint& aPeer, std::string_view aMessage);

  const PeerBusCounters& Counters() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace walnutwing::net

#endif // WALNUTWING_NET_PEER_BUS_H_
