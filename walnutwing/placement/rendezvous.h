#ifndef WALNUTWING_PLACEMENT_RENDEZVOUS_H_
#define WALNUTWING_PLACEMENT_RENDEZVOUS_H_

// Weighted rendezvous hashing. Every daemon that knows the same nodes ranks
// them alike for a key, with no state; a node that leaves moves only its own
// keys, and a node that joins takes only its share.

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "walnutwing/base/id.h"

namespace walnutwing {

// A stable 64-bit hash, the same on every daemon and in every build.
std::uint64_t
StableHash(std::string_view aText);

// The key of a chat: its customer, its service and its own id.
std::uint64_t
ChatHash(const CustomerId& aCustomer,
         const ServiceId& aService,
         const ChatId& aChat);

struct RendezvousNode
{
  std::uint64_t m_hash = 0; // StableHash of the node's id
  double m_weight = 1.0;    // > 0; share of the keys against other nodes
};

// The distance between a key and a node, >= 0: the nearest node comes first. A
// node of weight w is nearest for a share w / (sum of weights) of the keys.
double
RendezvousDistance(std::uint64_t aKey, const RendezvousNode& aNode);

// Indexes of the aLimit nearest nodes, nearest first. Ties go to the lower
// hash. Costs O(nodes + limit log limit).
std::vector<std::size_t>
RankNodes(std::uint64_t aKey,
          std::span<const RendezvousNode> aNodes,
          std::size_t aLimit);

// The daemon that owns an upstream among the live daemons of the upstream's
// availability zone, in any order; an empty id when there are none.
DaemonId
OwnerOf(const UpstreamId& aUpstream, std::span<const DaemonId> aMembers);

} // namespace walnutwing

#endif // WALNUTWING_PLACEMENT_RENDEZVOUS_H_
