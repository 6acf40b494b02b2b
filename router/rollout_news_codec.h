#ifndef WALNUTWING_ROUTER_ROLLOUT_NEWS_CODEC_H_
#define WALNUTWING_ROUTER_ROLLOUT_NEWS_CODEC_H_

// Codec of what daemons tell each other about version roll-outs in their
// datagrams: the newest statuses and the versions that were judged bad. Each
// daemon tells all that it knows, so hubs pass on what they hear. Times are
// encoded as ages, since clocks of VMs differ.

#include "router_peer.pb.h"
#include "walnutwing/rollout/rollouts.h"

namespace walnutwing::router {

// Adds nothing while there is no roll-out.
void
EncodeRolloutNews(const Rollouts& aRollouts,
                  Time aNow,
                  proto::RouterPeerMessage& aMessage);

// Ignores news that cannot be read.
void
ApplyRolloutNews(const proto::RouterPeerMessage& aMessage,
                 Time aNow,
                 Rollouts& aRollouts);

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_ROLLOUT_NEWS_CODEC_H_
