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

constexpr int kTurnsAtMost = 5'000;
constexpr std::uint16_t kFirstPort = 21'700;
constexpr std::uint16_t kPortsTried = 200;

PeerKeys
NewKeys()
{
  std::array<char, 41> publicKey{};
  std::array<char, 41> secretKey{};
  zmq_curve_keypair(publicKey.data(), secretKey.data());
  return { publicKey.data(), secretKey.data() };
}

// A bus on the first free port, and what it received.
struct Node
{
  Node(EventLoop& aLoop, const std::optional<PeerKeys>& aKeys)
  {
    PeerBusOptions options;
    options.m_keys = aKeys;
    for (std::uint16_t i = 0; i < kPortsTried && m_bus == nullptr; ++i) {
      options.m_listen = { "127.0.0.1",
                           static_cast<std::uint16_t>(kFirstPort + i) };
      try {
        m_bus = std::make_unique<PeerBus>(
          aLoop, options, [this](std::string_view aMessage) {
            m_got.emplace_back(aMessage);
          });
      } catch (const std::system_error&) {
        continue;
      }
    }
    m_endpoint = options.m_listen;
  }

  std::vector<std::string> m_got;
  std::unique_ptr<PeerBus> m_bus;
  Endpoint m_endpoint;
};

// Sends from both until the receiver has heard the second, or turns run out.
void
SendUntilHeard(EventLoop& aLoop, Node& aFirst, Node& aSecond, Node& aTo)
{
  const auto heard = [&] {
    return std::find(aTo.m_got.begin(), aTo.m_got.end(), "second") !=
           aTo.m_got.end();
  };
  for (int i = 0; i < kTurnsAtMost && !heard(); ++i) {
    aFirst.m_bus->Send(aTo.m_endpoint, "first");
    aSecond.m_bus->Send(aTo.m_endpoint, "second");
    aLoop.RunOnce(Duration(1));
  }
}

TEST(PeerBus, DeliversWithAndWithoutKeys)
{
  const std::array<std::optional<PeerKeys>, 2> cases = { std::nullopt,
                                                         NewKeys() };
  for (const std::optional<PeerKeys>& keys : cases) {
    EventLoop loop;
    Node sender(loop, keys);
    Node receiver(loop, keys);
    SendUntilHeard(loop, sender, sender, receiver);
    ASSERT_FALSE(receiver.m_got.empty()) << keys.has_value();
    EXPECT_EQ("first", receiver.m_got.front());
    EXPECT_GT(sender.m_bus->Counters().m_sentBytes, 0U);
  }
}

TEST(PeerBus, StrangersAreNotHeard)
{
  const PeerKeys fleet = NewKeys();
  PeerKeys halfKnown = NewKeys();
  halfKnown.m_publicKey =
    fleet.m_publicKey; // knows where to connect, not the secret
  const std::array<std::optional<PeerKeys>, 3> cases = { std::nullopt,
                                                         NewKeys(),
                                                         halfKnown };
  for (const std::optional<PeerKeys>& keys : cases) {
    EventLoop loop;
    Node stranger(loop, keys);
    Node member(loop, fleet);
    Node receiver(loop, fleet);
    // The member starts later, so the stranger had at least as long to be
    // heard.
    SendUntilHeard(loop, stranger, member, receiver);
    ASSERT_FALSE(receiver.m_got.empty());
    EXPECT_EQ(
      0, std::count(receiver.m_got.begin(), receiver.m_got.end(), "first"));
  }
}

TEST(PeerBus, UnconnectedPeerDropsAndCounts)
{
  EventLoop loop;
  Node sender(loop, std::nullopt);
  EXPECT_FALSE(sender.m_bus->Send({ "127.0.0.1", 1 }, "lost"));
  EXPECT_EQ(1U, sender.m_bus->Counters().m_dropped);
}

TEST(PeerBus, BadKeysThrow)
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
