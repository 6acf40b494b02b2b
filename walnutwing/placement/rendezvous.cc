// Weighted rendezvous hashing after Schindelhauer and Schomaker: a key and a
// node hash to a uniform u in (0, 1), and the distance -ln(u) / weight is an
// exponential variable, so a node has the smallest distance with a probability
// proportional to its weight. The distances of other nodes do not change when a
// node joins or leaves.

#include "walnutwing/placement/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <string>
#include <utility>

#include <xxhash.h>

namespace walnutwing {
namespace {

constexpr int kMantissaBits = 53;
constexpr int kDroppedBits = 64 - kMantissaBits;

// Maps a hash to a uniform number in (0, 1]. It is never 0, so that its
// logarithm is finite; rounding can make it 1, for which the distance is 0.
double
HashToUniform(std::uint64_t aHash)
{
  const double scale = std::ldexp(1.0, -kMantissaBits);
  return (static_cast<double>(aHash >> kDroppedBits) + 0.5) * scale;
}

std::uint64_t
PairHash(std::uint64_t aKey, std::uint64_t aNode)
{
  return XXH3_64bits_withSeed(&aKey, sizeof aKey, aNode);
}

} // namespace

std::uint64_t
StableHash(std::string_view aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

std::uint64_t
ChatHash(const CustomerId& aCustomer,
         const ServiceId& aService,
         const ChatId& aChat)
{
  const std::uint64_t customer = StableHash(aCustomer.Value());
  const std::uint64_t service = StableHash(aService.Value());
  return PairHash(PairHash(customer, service), StableHash(aChat.Value()));
}

double
RendezvousDistance(std::uint64_t aKey, const RendezvousNode& aNode)
{
  if (!(aNode.m_weight > 0)) {
    throw std::invalid_argument("a node's weight must be positive");
  }
  return -std::log(HashToUniform(PairHash(aKey, aNode.m_hash))) /
         aNode.m_weight;
}

std::vector<std::size_t>
RankNodes(std::uint64_t aKey,
          std::span<const RendezvousNode> aNodes,
          std::size_t aLimit)
{
  struct Ranked
  {
    double m_distance;
    std::uint64_t m_hash;
    std::size_t m_index;
  };
  std::vector<Ranked> ranked;
  ranked.reserve(aNodes.size());
  for (std::size_t i = 0; i < aNodes.size(); ++i) {
    ranked.push_back(
      { RendezvousDistance(aKey, aNodes[i]), aNodes[i].m_hash, i });
  }
  const std::size_t count = std::min(aLimit, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(),
                    [](const Ranked& aLeft, const Ranked& aRight) {
                      return std::pair(aLeft.m_distance, aLeft.m_hash) <
                             std::pair(aRight.m_distance, aRight.m_hash);
                    });
  std::vector<std::size_t> indexes;
  indexes.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    indexes.push_back(ranked[i].m_index);
  }
  return indexes;
}

DaemonId
OwnerOf(const UpstreamId& aUpstream, std::span<const DaemonId> aMembers)
{
  const std::uint64_t key = StableHash(aUpstream.Value());
  const DaemonId* owner = nullptr;
  std::uint64_t highest = 0;
  for (const DaemonId& member : aMembers) {
    const std::uint64_t score = PairHash(key, StableHash(member.Value()));
    if (owner != nullptr &&
        (score < highest || (score == highest && member > *owner))) {
      continue;
    }
    owner = &member;
    highest = score;
  }
  return owner == nullptr ? DaemonId() : *owner;
}

} // namespace walnutwing
