#include "net/peer_bus.h"

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <system_error>
#include <vector>

#include <gtest/gtest.h>
#include <zmq.h>

namespace walnutwing::net {
namespace {

constexpr int kMaxIterations = 5'000;
constexpr std::uint16_t kFirstPort = 21'700;
constexpr std::uint16_t kPortCount = 200;

PeerKeys
MakeKeys()
{
  std::array<char, 41> publicKey{};
  std::array<char, 41> secretKey{};
  zmq_curve_keypair(publicKey.data(), secretKey.data());
  return { publicKey.data(), secretKey.data() };
}

// A bus on the first free port, and the messages that it received.
struct Node
{
  Node(EventLoop& aLoop, const std::optional<PeerKeys>& aKeys)
  {
    PeerBusOptions options;
    options.m_keys = aKeys;
    for (std::uint16_t i = 0; i < kPortCount && m_bus == nullptr; ++i) {
      options.m_listen = { "127.0.0.1",
                           static_cast<std::uint16_t>(kFirstPort + i) };
      try {
        m_bus = std::make_unique<PeerBus>(
          aLoop, options, [this](std::string_view aMessage) {
            m_receivedMessages.emplace_back(aMessage);
          });
      } catch (const std::system_error&) {
        continue;
      }
    }
    m_endpoint = options.m_listen;
  }

  std::vector<std::string> m_receivedMessages;
  std::unique_ptr<PeerBus> m_bus;
  Endpoint m_endpoint;
};

// Sends "first" from aFirst and "second" from aSecond until aTo has received
// "second" or kMaxIterations have passed.
void
SendUntilSecondReceived(EventLoop& aLoop,
                        Node& aFirst,
                        Node& aSecond,
                        Node& aTo)
{
  const auto secondReceived = [&] {
    return std::find(aTo.m_receivedMessages.begin(),
                     aTo.m_receivedMessages.end(),
                     "second") != aTo.m_receivedMessages.end();
  };
  for (int i = 0; i < kMaxIterations && !secondReceived(); ++i) {
    aFirst.m_bus->Send(aTo.m_endpoint, "first");
    aSecond.m_bus->Send(aTo.m_endpoint, "second");
    aLoop.RunOnce(Duration(1));
  }
}

TEST(PeerBus, DeliversWithAndWithoutKeys)
{
  const std::array<std::optional<PeerKeys>, 2> cases = { std::nullopt,
                                                         MakeKeys() };
  for (const std::optional<PeerKeys>& keys : cases) {
    EventLoop loop;
    Node sender(loop, keys);
    Node receiver(loop, keys);
    SendUntilSecondReceived(loop, sender, sender, receiver);
    ASSERT_FALSE(receiver.m_receivedMessages.empty()) << keys.has_value();
    EXPECT_EQ("first", receiver.m_receivedMessages.front());
    EXPECT_GT(sender.m_bus->Counters().m_sentBytes, 0U);
  }
}

TEST(PeerBus, PeersWithoutFleetKeysAreRejected)
{
  const PeerKeys fleet = MakeKeys();
  PeerKeys publicKeyOnly = MakeKeys();
  publicKeyOnly.m_publicKey =
    fleet.m_publicKey; // knows the fleet's public key, but not its secret key
  const std::array<std::optional<PeerKeys>, 3> cases = { std::nullopt,
                                                         MakeKeys(),
                                                         publicKeyOnly };
  for (const std::optional<PeerKeys>& keys : cases) {
    EventLoop loop;
    Node unauthorized(loop, keys);
    Node member(loop, fleet);
    Node receiver(loop, fleet);
    // The unauthorized node starts before the member, so its messages had at
    // least as much time to arrive.
    SendUntilSecondReceived(loop, unauthorized, member, receiver);
    ASSERT_FALSE(receiver.m_receivedMessages.empty());
    EXPECT_EQ(0,
              std::count(receiver.m_receivedMessages.begin(),
                         receiver.m_receivedMessages.end(),
                         "first"));
  }
}

TEST(PeerBus, SendToUnconnectedPeerIsDroppedAndCounted)
{
  EventLoop loop;
  Node sender(loop, std::nullopt);
  EXPECT_FALSE(sender.m_bus->Send({ "127.0.0.1", 1 }, "lost"));
  EXPECT_EQ(1U, sender.m_bus->Counters().m_dropped);
}

TEST(PeerBus, InvalidKeysThrow)
{
  EventLoop loop;
  PeerBusOptions options;
  options.m_listen = { "127.0.0.1", kFirstPort };
  options.m_keys = PeerKeys{ "short", "short" };
  EXPECT_THROW(PeerBus(loop, options, [](std::string_view) {}),
               std::invalid_argument);
}

} // namespace
} // namespace walnutwing::net
