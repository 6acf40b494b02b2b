#ifndef WALNUTWING_PLACEMENT_CHAT_PLACEMENT_H_
#define WALNUTWING_PLACEMENT_CHAT_PLACEMENT_H_

// Ranks the upstreams that a chat's request may be sent to. One ChatPlacement
// serves one service of the active preset. It keeps no state per chat.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "peer.pb.h"
#include "walnutwing/base/id.h"
#include "walnutwing/placement/chat_hint.h"
#include "walnutwing/placement/rendezvous.h"

namespace walnutwing {

// An upstream that serves the service, as known to this daemon's view of the
// fleet.
struct PlacementUpstream
{
  UpstreamId m_id;
  ZoneId m_zone;
  RegionId m_region;
  double m_weight = 1.0;          // > 0; share of the chats relative to others
  bool m_leaving = false;         // the platform's list says so
  bool m_zoneOut = false;         // an operator took its zone out of service
  bool m_deadOrNotInView = false; // gets no new requests
};

struct PlacementOptions
{
  // Maximum number of upstreams that Rank returns. A request that does not get
  // the first one spills over to the next ones in this order.
  std::size_t m_maxRanked = 6;
  // Divisor, >= 1, of the weight of upstreams in another availability zone of
  // the own region. 1 ignores zones: the load balancer sends callers to daemons
  // of any zone, and a chat finds its prompt cache again only if all daemons
  // rank upstreams in the same order.
  double m_otherZoneWeightDivisor = 1.0;
  // A new chat goes to the upstream with the fewest requests in progress, by
  // the owners' states, among this many first upstreams of its order.
  std::size_t m_newChatChoices = 3;
  // Whether a hint that names an upstream of another region is followed.
  // Without such a hint, other regions come after the own region.
  bool m_followHintAcrossRegions = false;
};

class ChatPlacement
{
public:
  ChatPlacement(ZoneId aZone, RegionId aRegion, PlacementOptions aOptions = {});

  // Replaces the upstreams. To be called after any change of the view, of the
  // preset or of the zones out of service. States of upstreams that remain are
  // kept.
  void SetUpstreams(std::vector<PlacementUpstream> aUpstreams);

  // Stores the state that an owner sent of its upstream. Ignored if the
  // upstream is unknown or the stored state has a larger incarnation.
  void OnUpstreamState(const proto::UpstreamState& aState);

  // Returns the upstreams to try, best first, and only those that accept new
  // requests: the hinted one, then the own region in the chat's rendezvous
  // order, then other regions. Apart from the first place, upstreams of the own
  // region whose owner reported them full come after its others, so that a chat
  // always spills over to the same second choice unless that is known to be
  // full.
  // aNewChat: the caller supports hints and has none for this chat, so no
  // upstream holds its prompt cache. The least loaded of the first
  // m_newChatChoices upstreams then comes first.
  std::vector<UpstreamId> Rank(
    const ChatKey& aChat,
    const std::optional<UpstreamId>& aHint = std::nullopt,
    bool aNewChat = false) const;

  // Mean number of requests in progress, by the owners' states, over the warm
  // upstreams that accept new requests. Owners multiply it by the load bound.
  // Nothing if no such state is known.
  std::optional<double> MeanLoad() const;

  // The stored state of an upstream; null if there is none. Valid until the
  // next call of SetUpstreams or OnUpstreamState.
  const proto::UpstreamState* StateOf(const UpstreamId& aUpstream) const;

  std::size_t UpstreamCount() const { return m_upstreams.size(); }

private:
  struct Entry
  {
    PlacementUpstream m_upstream;
    RendezvousNode m_node;
    std::optional<proto::UpstreamState> m_state;
  };

  bool AcceptsRequests(const Entry& aEntry) const;
  bool IsKnownFull(const Entry& aEntry) const;
  void RankRegion(std::uint64_t aKey,
                  bool aOwnRegion,
                  std::vector<const Entry*>& aRanked) const;
  void PreferLeastLoaded(std::vector<const Entry*>& aRanked,
                         std::size_t aChoices) const;
  const Entry* FindHintedEntry(const std::optional<UpstreamId>& aHint) const;

  ZoneId m_zone;
  RegionId m_region;
  PlacementOptions m_options;
  std::vector<Entry> m_upstreams;
  std::unordered_map<UpstreamId, std::size_t> m_index;
};

} // namespace walnutwing

#endif // WALNUTWING_PLACEMENT_CHAT_PLACEMENT_H_
