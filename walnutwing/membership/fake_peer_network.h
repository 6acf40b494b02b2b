#ifndef WALNUTWING_MEMBERSHIP_FAKE_PEER_NETWORK_H_
#define WALNUTWING_MEMBERSHIP_FAKE_PEER_NETWORK_H_

// A simulated network in virtual time, for the tests and the bench of
// membership/. A node consists of a Membership and a ByteBudget only. Messages
// are encoded as in production and can be delayed, lost or blocked. Runs with
// the same seed and the same calls are identical.

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "walnutwing/membership/membership.h"

namespace walnutwing {

class FakePeerNetwork
{
public:
  struct Node
  {
    MembershipSelf m_self;
    std::unique_ptr<ByteBudget> m_budget;
    std::unique_ptr<Membership> m_membership;
    bool m_running = false;
    bool m_frozen = false;
    Time m_nextTick;
    std::set<DaemonId> m_up;         // members up according to the actions
    std::uint64_t m_downActions = 0; // MemberDown actions
    std::uint64_t m_sentBytes = 0;
    std::uint64_t m_receivedBytes = 0;
    std::uint64_t m_sentMessages = 0;
  };

  FakePeerNetwork(MembershipOptions aOptions,
                  ByteBudgetOptions aBudget,
                  std::uint64_t aSeed)
    : m_options(aOptions)
    , m_budgetOptions(aBudget)
    , m_random(aSeed)
  {
  }

  double m_loss = 0; // fraction of messages lost, 0 to 1
  Duration m_delay{ 1 };
  Duration m_jitter{ 4 };
  // Whether messages from the first node reach the second; all do if empty.
  std::function<bool(const Node&, const Node&)> m_canReach;
  // Called for each action of each node.
  std::function<void(Node&, const MembershipAction&)> m_onAction;

  // Creates a daemon and starts it. The first two daemons are the seeds.
  Node& Add(const std::string& aZone, const std::string& aRegion = "r")
  {
    const std::string number = std::to_string(m_nodes.size());
    auto node = std::make_unique<Node>();
    node->m_self.m_daemon = DaemonId("entry-" + aZone + "-" + number);
    node->m_self.m_zone = ZoneId(aZone);
    node->m_self.m_region = RegionId(aRegion);
    node->m_self.m_peerAddress =
      "10.0." + std::to_string(m_nodes.size() / 250) + "." + number + ":7402";
    m_byAddress[node->m_self.m_peerAddress] = node.get();
    m_nodes.push_back(std::move(node));
    Start(*m_nodes.back());
    return *m_nodes.back();
  }

  // Starts a new process with the same id and a larger incarnation.
  void Start(Node& aNode)
  {
    aNode.m_self.m_incarnation = kFirstIncarnation + Elapsed().count();
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < m_nodes.size() && i < kSeedCount; ++i) {
      seeds.push_back(m_nodes[i]->m_self.m_peerAddress);
    }
    std::erase(seeds, aNode.m_self.m_peerAddress);
    aNode.m_budget = std::make_unique<ByteBudget>(m_budgetOptions, m_now);
    aNode.m_membership =
      std::make_unique<Membership>(m_options,
                                   aNode.m_self,
                                   seeds,
                                   *aNode.m_budget,
                                   std::mt19937_64(m_random()),
                                   m_now);
    aNode.m_running = true;
    aNode.m_frozen = false;
    aNode.m_up.clear();
    aNode.m_downActions = 0;
    aNode.m_nextTick = m_now + Duration(m_random() % kTick.count());
  }

  static void Kill(Node& aNode) { aNode.m_running = false; }

  // A frozen node handles no events. Messages to it are delivered after Thaw.
  static void Freeze(Node& aNode) { aNode.m_frozen = true; }
  static void Thaw(Node& aNode) { aNode.m_frozen = false; }

  void Run(Duration aTime)
  {
    const Time end = m_now + aTime;
    while (m_now < end) {
      m_now += kStep;
      Deliver();
      for (const auto& node : m_nodes) {
        if (!node->m_running || node->m_frozen || m_now < node->m_nextTick) {
          continue;
        }
        node->m_nextTick = m_now + kTick;
        MembershipActions actions;
        node->m_membership->OnTick(m_now, actions);
        Execute(*node, actions);
      }
    }
  }

  // Carries out a node's actions, including those of calls made by a test.
  void Execute(Node& aNode, const MembershipActions& aActions)
  {
    for (const MembershipAction& action : aActions) {
      if (m_onAction) {
        m_onAction(aNode, action);
      }
      if (const auto* send = std::get_if<SendToPeer>(&action)) {
        Transmit(aNode, *send);
      } else if (const auto* up = std::get_if<MemberUp>(&action)) {
        aNode.m_up.insert(up->m_member.m_daemon);
      } else if (const auto* down = std::get_if<MemberDown>(&action)) {
        aNode.m_up.erase(down->m_daemon);
        ++aNode.m_downActions;
      } else if (const auto* leaving = std::get_if<MemberLeaving>(&action)) {
        aNode.m_up.erase(leaving->m_daemon);
      }
    }
  }

  // The platform's list of the daemons that are running now.
  proto::VmList MakeVmList() const
  {
    proto::VmList list;
    for (const auto& node : m_nodes) {
      if (!node->m_running) {
        continue;
      }
      proto::VmEntry& vm = *list.add_vms();
      vm.set_id(node->m_self.m_daemon.Value());
      vm.set_kind(proto::VmEntry::ENTRY);
      vm.set_zone(node->m_self.m_zone.Value());
      vm.set_region(node->m_self.m_region.Value());
      vm.set_peer_address(node->m_self.m_peerAddress);
    }
    return list;
  }

  // Passes a list to all daemons that are running and not frozen.
  void DeliverVmList(const proto::VmList& aList)
  {
    for (const auto& node : m_nodes) {
      if (!node->m_running || node->m_frozen) {
        continue;
      }
      MembershipActions actions;
      node->m_membership->OnVmList(aList, m_now, actions);
      Execute(*node, actions);
    }
  }

  // Counts the errors in the views of the running daemons, compared with the
  // actual state of all nodes: running members that a view lacks, and members
  // in it that are not running.
  std::size_t CountDifferences() const
  {
    std::size_t differences = 0;
    for (const auto& viewer : m_nodes) {
      if (!viewer->m_running || viewer->m_frozen) {
        continue;
      }
      for (const auto& member : m_nodes) {
        const bool runs = member->m_running && !member->m_frozen;
        const bool up = viewer->m_up.contains(member->m_self.m_daemon);
        differences += member != viewer && runs != up ? 1 : 0;
      }
    }
    return differences;
  }

  // Runs until there are no differences, but not longer than aLimit. Returns
  // the time that it took, or aLimit.
  Duration RunUntilConverged(Duration aLimit)
  {
    const Time start = m_now;
    while (CountDifferences() > 0 && m_now - start < aLimit) {
      Run(kTick);
    }
    return std::min<Duration>(m_now - start, aLimit);
  }

  std::vector<std::unique_ptr<Node>>& Nodes() { return m_nodes; }
  Time Now() const { return m_now; }
  Duration Elapsed() const { return m_now - Time{ std::chrono::hours(1) }; }

private:
  static constexpr Duration kStep{ 5 };
  static constexpr Duration kTick{ 100 };
  static constexpr std::size_t kSeedCount = 2;
  static constexpr std::uint64_t kFirstIncarnation = 1'800'000'000'000;

  struct Packet
  {
    Node* m_to = nullptr;
    Node* m_from = nullptr;
    std::string m_bytes;
    std::size_t m_wireBytes = 0;
  };

  void Transmit(Node& aFrom, const SendToPeer& aSend)
  {
    proto::PeerEnvelope envelope;
    envelope.set_from(aFrom.m_self.m_daemon.Value());
    envelope.set_incarnation(aFrom.m_membership->Incarnation());
    for (const proto::PeerMessage& message : aSend.m_messages) {
      *envelope.add_messages() = message;
    }
    Packet packet;
    packet.m_bytes = envelope.SerializeAsString();
    packet.m_wireBytes = packet.m_bytes.size() + kPacketOverheadBytes;
    packet.m_from = &aFrom;
    aFrom.m_sentBytes += packet.m_wireBytes;
    ++aFrom.m_sentMessages;
    const auto to = m_byAddress.find(aSend.m_address);
    if (to == m_byAddress.end()) {
      return;
    }
    packet.m_to = to->second;
    const Duration jitter(m_random() % (m_jitter.count() + 1));
    m_packets.emplace(m_now + m_delay + jitter, std::move(packet));
  }

  void Deliver()
  {
    std::vector<Packet> deferred;
    while (!m_packets.empty() && m_packets.begin()->first <= m_now) {
      Packet packet = std::move(m_packets.begin()->second);
      m_packets.erase(m_packets.begin());
      if (packet.m_to->m_frozen && packet.m_to->m_running) {
        deferred.push_back(std::move(packet));
        continue;
      }
      Receive(packet);
    }
    for (Packet& packet : deferred) {
      m_packets.emplace(m_now + kStep, std::move(packet));
    }
  }

  void Receive(const Packet& aPacket)
  {
    Node& node = *aPacket.m_to;
    const double draw =
      static_cast<double>(m_random() >> 11) / static_cast<double>(1ULL << 53);
    const bool blocked = m_canReach && !m_canReach(*aPacket.m_from, node);
    if (!node.m_running || blocked || draw < m_loss) {
      return;
    }
    node.m_receivedBytes += aPacket.m_wireBytes;
    proto::PeerEnvelope envelope;
    if (!envelope.ParseFromString(aPacket.m_bytes)) {
      throw std::logic_error("failed to parse an envelope sent by a fake node");
    }
    MembershipActions actions;
    for (const proto::PeerMessage& message : envelope.messages()) {
      node.m_membership->OnMessage(
        DaemonId(envelope.from()), message, m_now, actions);
    }
    Execute(node, actions);
  }

  MembershipOptions m_options;
  ByteBudgetOptions m_budgetOptions;
  std::mt19937_64 m_random;
  Time m_now{ std::chrono::hours(1) };
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::map<std::string, Node*> m_byAddress;
  std::multimap<Time, Packet> m_packets;
};

} // namespace walnutwing

#endif // WALNUTWING_MEMBERSHIP_FAKE_PEER_NETWORK_H_
