#ifndef WALNUTWING_PLACEMENT_RENDEZVOUS_H_
#define WALNUTWING_PLACEMENT_RENDEZVOUS_H_

// Weighted rendezvous hashing. Daemons that know the same nodes compute the
// same ranking for a key without shared state. When a node leaves, only its own
// keys move; when a node joins, it takes over only its share of the keys.

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "walnutwing/base/id.h"

namespace walnutwing {

// Returns a 64-bit hash that is the same on every daemon and in every build.
std::uint64_t
StableHash(std::string_view aText);

// Returns the rendezvous key of a chat: a hash of its customer, service and id.
std::uint64_t
ChatHash(const CustomerId& aCustomer,
         const ServiceId& aService,
         const ChatId& aChat);

struct RendezvousNode
{
  std::uint64_t m_hash = 0; // StableHash of the node's id
  double m_weight = 1.0;    // > 0; share of the keys relative to others
};

// Returns the distance between a key and a node, >= 0; the nearest node ranks
// first. A node of weight w is nearest for a share w / (sum of weights) of the
// keys. Throws std::invalid_argument unless the weight is positive.
double
RendezvousDistance(std::uint64_t aKey, const RendezvousNode& aNode);

// Returns the indexes of the aLimit nearest nodes, nearest first; of equally
// near nodes the one with the lower hash comes first. Costs at most O(nodes log
// limit). Throws as RendezvousDistance does.
std::vector<std::size_t>
RankNodes(std::uint64_t aKey,
          std::span<const RendezvousNode> aNodes,
          std::size_t aLimit);

// Returns the daemon that owns an upstream, chosen among the live daemons of
// the upstream's availability zone; an empty id if there are none. The order of
// aMembers does not matter.
DaemonId
OwnerOf(const UpstreamId& aUpstream, std::span<const DaemonId> aMembers);

} // namespace walnutwing

#endif // WALNUTWING_PLACEMENT_RENDEZVOUS_H_
