#ifndef WALNUTWING_ROUTER_PART_NEWS_CODEC_H_
#define WALNUTWING_ROUTER_PART_NEWS_CODEC_H_

// Codec of what daemons tell each other about prompt parts that crash
// upstreams, in their datagrams and in the platform's store. Times are encoded
// as ages, or as wall time in the store, since clocks of VMs differ.

#include <optional>
#include <string>
#include <string_view>

#include "router_peer.pb.h"
#include "walnutwing/routing/part_breaker.h"

namespace walnutwing::router {

void
EncodePartNews(const PartNews& aNews,
               Time aNow,
               proto::RouterPeerMessage& aMessage);

PartNews
DecodePartNews(const proto::RouterPeerMessage& aMessage, Time aNow);

// A blocked part has a record of its own in the members' topic, so that daemons
// know of it that start when no other one is left: a JSON object with the key
// kBlockedPartPrefix and the part. No daemon's name contains a slash.
inline constexpr std::string_view kBlockedPartPrefix = "blocked/";

std::string
EncodeBlockedPart(const BlockedPart& aBlocked, Time aNow, WallTime aWallNow);

// Returns nullopt if aJson is not a valid record.
std::optional<BlockedPart>
DecodeBlockedPart(std::string_view aPart,
                  std::string_view aJson,
                  Time aNow,
                  WallTime aWallNow);

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_PART_NEWS_CODEC_H_
