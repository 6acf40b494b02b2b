#include "walnutwing/placement/rendezvous.h"

#include <algorithm>
#include <random>
#include <string>
#include <utility>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace walnutwing {
namespace {

std::vector<RendezvousNode>
Nodes(std::size_t aCount)
{
  std::vector<RendezvousNode> nodes;
  for (std::size_t i = 0; i < aCount; ++i) {
    nodes.push_back({ StableHash("engine-" + std::to_string(i)), 1.0 });
  }
  return nodes;
}

// If the hashes changed, an upgrade would move every chat of a running fleet to
// another upstream.
TEST(Rendezvous, HashesAreStableAcrossBuilds)
{
  EXPECT_EQ(0x2d06800538d394c2U, StableHash(""));
  EXPECT_NE(ChatHash(CustomerId("a"), ServiceId("b"), ChatId("c")),
            ChatHash(CustomerId("b"), ServiceId("a"), ChatId("c")));
}

TEST(Rendezvous, KeySharesAreProportionalToWeights)
{
  std::vector<RendezvousNode> nodes = Nodes(4);
  nodes[2].m_weight = 3.0;
  constexpr int kKeys = 60'000;
  std::vector<int> hits(nodes.size());
  std::mt19937_64 random(1);
  for (int i = 0; i < kKeys; ++i) {
    ++hits[RankNodes(random(), nodes, 1).front()];
  }
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    const double expected = kKeys * nodes[i].m_weight / 6;
    // Five standard deviations; sqrt(expected) is an upper bound of the
    // binomial distribution's.
    EXPECT_NEAR(expected, hits[i], 5 * std::sqrt(expected)) << i;
  }
}

TEST(Rendezvous, RemovingANodeMovesOnlyItsKeys)
{
  const std::vector<RendezvousNode> all = Nodes(20);
  const std::vector<RendezvousNode> fewer(all.begin(), all.end() - 1);
  std::mt19937_64 random(2);
  for (int i = 0; i < 5'000; ++i) {
    const std::uint64_t key = random();
    std::vector<std::size_t> before = RankNodes(key, all, all.size());
    std::erase(before, all.size() - 1);
    ASSERT_EQ(before, RankNodes(key, fewer, fewer.size()));
  }
}

TEST(Rendezvous, RankMatchesFullSort)
{
  rc::detail::TestParams params;
  params.seed = 3;
  const auto result = rc::detail::checkTestable(
    [](std::uint64_t aKey, const std::vector<std::uint8_t>& aWeights) {
      std::vector<RendezvousNode> nodes = Nodes(aWeights.size());
      std::vector<std::pair<double, std::size_t>> sorted;
      for (std::size_t i = 0; i < nodes.size(); ++i) {
        nodes[i].m_weight = 1.0 + aWeights[i];
        sorted.emplace_back(RendezvousDistance(aKey, nodes[i]), i);
      }
      std::sort(sorted.begin(), sorted.end());
      const std::size_t limit = std::min<std::size_t>(5, nodes.size());
      const auto ranked = RankNodes(aKey, nodes, limit);
      RC_ASSERT(ranked.size() == limit);
      for (std::size_t i = 0; i < limit; ++i) {
        RC_ASSERT(ranked[i] == sorted[i].second);
      }
    },
    rc::detail::TestMetadata(),
    params);
  EXPECT_TRUE(result.template is<rc::detail::SuccessResult>());
}

TEST(Rendezvous, OwnerIsIndependentOfOrderAndOfRemovedNonOwners)
{
  std::vector<DaemonId> members;
  members.reserve(8);
  for (int i = 0; i < 8; ++i) {
    members.emplace_back("daemon-" + std::to_string(i));
  }
  EXPECT_TRUE(OwnerOf(UpstreamId("e"), {}).Empty());
  for (int i = 0; i < 600; ++i) {
    const UpstreamId upstream("engine-" + std::to_string(i));
    const DaemonId owner = OwnerOf(upstream, members);
    std::vector<DaemonId> other(members.rbegin(), members.rend());
    ASSERT_EQ(owner, OwnerOf(upstream, other));
    std::erase_if(other, [&](const DaemonId& aMember) {
      return aMember != owner && aMember < DaemonId("daemon-4");
    });
    ASSERT_EQ(owner, OwnerOf(upstream, other));
  }
}

TEST(Rendezvous, RejectsNonPositiveWeight)
{
  EXPECT_THROW(RendezvousDistance(1, { 2, 0.0 }), std::invalid_argument);
}

} // namespace
} // namespace walnutwing
