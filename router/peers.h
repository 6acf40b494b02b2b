#ifndef WALNUTWING_ROUTER_PEERS_H_
#define WALNUTWING_ROUTER_PEERS_H_

// Exchanges UDP datagrams with the other daemons. They carry the loads of
// LoadExchange and, from the hub of a zone to its daemons, how far the hub has
// read the topics of the platform's store and which records changed something.
// So one daemon per zone reads the store for all of them. The others read what
// a datagram could not hold or what was lost, and resume their own reads while
// their hub is silent or cannot reach the store.

#include <array>
#include <deque>
#include <functional>
#include <string>

#include <boost/asio/basic_datagram_socket.hpp>
#include <boost/asio/ip/udp.hpp>

#include "router/context.h"
#include "router/topic_feed.h"
#include "router_peer.pb.h"
#include "walnutwing/routing/load_exchange.h"

namespace walnutwing::router {

class Peers
{
public:
  // Throws boost::system::system_error if the address cannot be bound.
  Peers(Context& aContext,
        LoadExchange& aExchange,
        TopicFeed& aOperatorFeed,
        TopicFeed& aUpstreamFeed,
        TopicFeed& aMemberFeed);
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  void Start();

  // The complete upstream topic was read; changes are recorded from offset
  // aNext.
  void OnUpstreamSnapshot(std::uint64_t aNext);

  // A record of the upstream topic changed the directory.
  void OnUpstreamRecordChanged(const platform::StoreRecord& aRecord);

  // The operator or upstream topic was read. A hub sends its digests early, so
  // that the daemons that rely on it learn of the change soon.
  void OnTopicRead();

  // There is something that the other daemons should hear before the next
  // period.
  void SendSoon();

  // This daemon has learned that an upstream is leaving; the others are told.
  void OnUpstreamLeaving(const UpstreamId& aId, std::int64_t aStartWallMs);

  // Called when another daemon says that an upstream is leaving.
  using OnLeaving = std::function<void(const UpstreamId& aId,
                                       std::int64_t aStartWallMs,
                                       const DaemonId& aFrom)>;
  void SetLeavingHandler(OnLeaving aOnLeaving)
  {
    m_onLeaving = std::move(aOnLeaving);
  }

  // Called with messages about permits, and the sender's address.
  using OnPeerMessage =
    std::function<void(const proto::RouterPeerMessage& aMessage,
                       const std::string& aFromAddress)>;
  void SetPermitsHandler(OnPeerMessage aOnPermits)
  {
    m_onPermits = std::move(aOnPermits);
  }

  // Called with messages about versions of streams, and the sender's address.
  void SetStreamsHandler(OnPeerMessage aOnStreams)
  {
    m_onStreams = std::move(aOnStreams);
  }

  // When the hub has said last that it had read the upstream topic, less the
  // age of what it had read.
  Time UpstreamsConfirmedAt() const { return m_upstreamsConfirmedAt; }

  // Sends a message of this daemon to the address of another one.
  void SendTo(const std::string& aAddress, proto::RouterPeerMessage aMessage);

  // Called with true when the hub reports that it can read the store.
  using OnStoreHealth = std::function<void(bool aAvailable)>;
  void SetStoreHealthHandler(OnStoreHealth aOnStoreHealth)
  {
    m_onStoreHealth = std::move(aOnStoreHealth);
  }

private:
  using Udp = asio::ip::udp;
  struct Change
  {
    platform::StoreRecord m_record;
    Time m_at;
  };

  struct Leaving
  {
    UpstreamId m_id;
    std::int64_t m_startWallMs = 0;
    Time m_at;
  };

  void Receive();
  void OnMessage(const proto::RouterPeerMessage& aMessage);
  void ReadRequestLimits(const proto::RouterPeerMessage& aMessage, Time aNow);
  void AddRequestLimits(proto::RouterPeerMessage& aMessage) const;
  void OnTopicStates(const proto::RouterPeerMessage& aMessage);
  void OnUpstreamTopic(const proto::TopicState& aState);
  UpstreamLoads OwnLoads() const;
  void SendPeriodically();
  void SendMessages();
  void Send(const LoadMessage& aLoads);
  void AddTopicStates(proto::RouterPeerMessage& aMessage) const;
  void AddChangedRecords(proto::TopicState& aState) const;
  void DropExpiredChanges();
  void AddLeaving(proto::RouterPeerMessage& aMessage) const;

  Context& m_context;
  LoadExchange& m_exchange;
  TopicFeed& m_operatorFeed;
  TopicFeed& m_upstreamFeed;
  TopicFeed& m_memberFeed;
  asio::basic_datagram_socket<Udp, Executor> m_socket;
  Timer m_timer;
  Timer m_earlySendTimer;
  bool m_earlySendScheduled = false;
  TraitNews m_traitNews; // to be sent
  OnStoreHealth m_onStoreHealth;
  OnLeaving m_onLeaving;
  OnPeerMessage m_onPermits;
  OnPeerMessage m_onStreams;
  Time m_upstreamsConfirmedAt;
  std::deque<Leaving> m_leaving; // of the last kLeavingLifetime
  Udp::endpoint m_sender;
  std::array<char, 64U << 10U> m_input{};
  std::deque<Change> m_changes;
  std::uint64_t m_changesFrom = 0; // m_changes is complete from this offset on
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_PEERS_H_
