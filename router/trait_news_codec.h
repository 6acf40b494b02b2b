#ifndef WALNUTWING_ROUTER_TRAIT_NEWS_CODEC_H_
#define WALNUTWING_ROUTER_TRAIT_NEWS_CODEC_H_

// Codec of what daemons tell each other about traits that crash
// upstreams, in their datagrams and in the platform's store. Times are encoded
// as ages, or as wall time in the store, since clocks of VMs differ.

#include <optional>
#include <string>
#include <string_view>

#include "router_peer.pb.h"
#include "walnutwing/routing/trait_breaker.h"

namespace walnutwing::router {

void
EncodeTraitNews(const TraitNews& aNews,
                Time aNow,
                proto::RouterPeerMessage& aMessage);

TraitNews
DecodeTraitNews(const proto::RouterPeerMessage& aMessage, Time aNow);

// A blocked trait has a record of its own in the members' topic, so that
// daemons know of it that start when no other one is left: a JSON object with
// the key kBlockedTraitPrefix and the trait. No daemon's name contains a slash.
inline constexpr std::string_view kBlockedTraitPrefix = "blocked/";

std::string
EncodeBlockedTrait(const BlockedTrait& aBlocked, Time aNow, WallTime aWallNow);

// Returns nullopt if aJson is not a valid record.
std::optional<BlockedTrait>
DecodeBlockedTrait(std::string_view aTrait,
                   std::string_view aJson,
                   Time aNow,
                   WallTime aWallNow);

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_TRAIT_NEWS_CODEC_H_
