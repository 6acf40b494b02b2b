#ifndef WALNUTWING_PLACEMENT_CHAT_PLACEMENT_H_
#define WALNUTWING_PLACEMENT_CHAT_PLACEMENT_H_

// Which upstreams a chat's request is to try, in order. One ChatPlacement
// serves one service of the preset in force. It keeps no state of chats.

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

// An upstream that serves the service, as this daemon's view has it.
struct PlacementUpstream
{
  UpstreamId m_id;
  ZoneId m_zone;
  RegionId m_region;
  double m_weight = 1.0;   // > 0; its share of the chats
  bool m_leaving = false;  // by the platform's list or its owner
  bool m_zoneOut = false;  // an operator took its availability zone out
  bool m_leftView = false; // dead or unknown to the view: no new work either
};

struct PlacementOptions
{
  // Upstreams to name at most; spill goes down this list.
  std::size_t m_limit = 6;
  // Divides the weight of upstreams in another availability zone of the own
  // region. 1 ignores zones: callers reach any zone's daemons through the
  // balancer, and only an order that all daemons share finds caches again.
  double m_otherZoneCost = 1.0;
  // Upstreams among which a chat that the caller calls new goes to the one
  // with the fewest requests in progress by the owners' states.
  std::size_t m_newChatChoices = 3;
  // Whether a hint that names an upstream of another region is followed.
  // Other regions are tried only after the own region's upstreams.
  bool m_followHintAcrossRegions = false;
};

class ChatPlacement
{
public:
  ChatPlacement(ZoneId aZone, RegionId aRegion, PlacementOptions aOptions = {});

  // Replaces the upstreams, after any change of the view, of the preset or of
  // the zones that are out. States of upstreams that remain are kept.
  void SetUpstreams(std::vector<PlacementUpstream> aUpstreams);

  // What an owner says of its upstream; older incarnations lose.
  void OnUpstreamState(const proto::UpstreamState& aState);

  // The upstreams to try, best first, never one that may get no new work:
  // the hinted one; then the own region in the chat's own order; then other
  // regions. Behind the first, upstreams whose owner said that they are full
  // come after the others, so that spill keeps to the same second choice
  // unless that is known to be full.
  // aNewChat: the caller carries hints and has none for this chat, so that no
  // upstream can hold its cache, and the first m_newChatChoices of its order
  // may change places.
  std::vector<UpstreamId> Rank(
    const ChatKey& aChat,
    const std::optional<UpstreamId>& aHint = std::nullopt,
    bool aNewChat = false) const;

  // Mean requests in progress over the warm upstreams that take new work, by
  // their owners' states: the mean that owners multiply by the load bound.
  // Nothing before any such state is known.
  std::optional<double> MeanLoad() const;

  // The last state of an upstream; null when none came.
  const proto::UpstreamState* StateOf(const UpstreamId& aUpstream) const;

  std::size_t UpstreamCount() const { return m_upstreams.size(); }

private:
  struct Entry
  {
    PlacementUpstream m_upstream;
    RendezvousNode m_node;
    std::optional<proto::UpstreamState> m_state;
  };

  bool TakesWork(const Entry& aEntry) const;
  bool KnownFull(const Entry& aEntry) const;
  void RankRegion(std::uint64_t aKey,
                  bool aOwnRegion,
                  std::vector<const Entry*>& aRanked) const;
  void PreferLeastLoaded(std::vector<const Entry*>& aRanked,
                         std::size_t aChoices) const;
  const Entry* HintedEntry(const std::optional<UpstreamId>& aHint) const;

  ZoneId m_zone;
  RegionId m_region;
  PlacementOptions m_options;
  std::vector<Entry> m_upstreams;
  std::unordered_map<UpstreamId, std::size_t> m_index;
};

} // namespace walnutwing

#endif // WALNUTWING_PLACEMENT_CHAT_PLACEMENT_H_
