#include "router/rollout_news_codec.h"

#include <gtest/gtest.h>

namespace walnutwing::router {
namespace {

const ServiceId kService("s");
const SoftwareVersion kNew("v2");
const RolloutOrder kOrder{ kService, kNew, std::chrono::seconds(20), { 1, 7 } };
const Time kNow(std::chrono::hours(1));

struct Daemon
{
  LoadExchange m_exchange{ DaemonId("d"), ZoneId("z"), {} };
  Rollouts m_rollouts{ {}, m_exchange };
};

// Guards against bytes in the datagrams of fleets that have no roll-out.
TEST(RolloutNewsCodec, NothingIsSaidWithoutAnOrder)
{
  const Daemon daemon;
  proto::RouterPeerMessage message;
  EncodeRolloutNews(daemon.m_rollouts, kNow, message);
  EXPECT_EQ(0U, message.ByteSizeLong());
}

// Guards against a daemon that does not hear how far a roll-out is.
TEST(RolloutNewsCodec, StatusIsTakenOver)
{
  Daemon from;
  from.m_rollouts.OnOrder(kOrder, kNow);
  from.m_rollouts.OnStatus({ kService,
                             kNew,
                             RolloutStage::Surge,
                             kOrder.m_id,
                             kNow - std::chrono::seconds(4) },
                           kNow);
  proto::RouterPeerMessage message;
  EncodeRolloutNews(from.m_rollouts, kNow, message);
  ASSERT_EQ(1, message.rollouts_size());
  EXPECT_EQ("surge", message.rollouts(0).stage());
  EXPECT_EQ(4000U, message.rollouts(0).age_ms());

  Daemon to;
  to.m_rollouts.OnOrder(kOrder, kNow);
  ApplyRolloutNews(message, kNow, to.m_rollouts);
  ASSERT_EQ(1U, to.m_rollouts.Views(kNow).size());
  EXPECT_EQ(RolloutStage::Surge, to.m_rollouts.Views(kNow)[0].m_stage);
}

// Guards against a daemon that goes on with a version which another one judged
// bad, and against verdicts that a hub does not pass on.
TEST(RolloutNewsCodec, VerdictIsTakenOverAndPassedOn)
{
  proto::RouterPeerMessage message;
  proto::BadVersion& bad = *message.add_bad_versions();
  bad.set_service("s");
  bad.set_to("v2");
  bad.set_order_era(1);
  bad.set_order_offset(7);
  Daemon hub;
  hub.m_rollouts.OnOrder(kOrder, kNow);
  ApplyRolloutNews(message, kNow, hub.m_rollouts);
  proto::RouterPeerMessage passedOn;
  EncodeRolloutNews(hub.m_rollouts, kNow, passedOn);
  ASSERT_EQ(1, passedOn.bad_versions_size());
  EXPECT_EQ(bad.SerializeAsString(),
            passedOn.bad_versions(0).SerializeAsString());
}

// Guards against a message of another release.
TEST(RolloutNewsCodec, UnknownStageIsIgnored)
{
  proto::RouterPeerMessage message;
  message.add_rollouts()->set_stage("odd");
  Daemon to;
  to.m_rollouts.OnOrder(kOrder, kNow);
  ApplyRolloutNews(message, kNow, to.m_rollouts);
  EXPECT_EQ(RolloutStage::Trial, to.m_rollouts.Views(kNow)[0].m_stage);
}

} // namespace
} // namespace walnutwing::router
