#include "walnutwing/rollout/version_evidence.h"

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

RolloutAnswer
Answer(const char* aRoute, const char* aUpstream, bool aFailed)
{
  RolloutAnswer answer;
  answer.m_route = aRoute;
  answer.m_upstream = UpstreamId(aUpstream);
  answer.m_failed = aFailed;
  return answer;
}

// Two routers must use the same keys, or each judges by its own answers only.
TEST(VersionEvidence, SumsTheCountsOfAllRouters)
{
  const ServiceId service("chat");
  const SoftwareVersion to("v2");
  VersionEvidence here(service, to);
  VersionEvidence there(service, to);
  here.OnAnswer(Answer("short", "n1", true), true, std::nullopt);
  here.OnAnswer(Answer("short", "o1", false), false, true);
  there.OnAnswer(Answer("short", "n1", false), true, true);
  there.OnAnswer(Answer("long", "n2", false), true, false);

  PausedClock clock;
  LoadExchange exchange(DaemonId("r"), ZoneId("z"), LoadExchangeOptions());
  RosterMember hub;
  hub.m_name = DaemonId("hub");
  hub.m_zone = ZoneId("z");
  exchange.SetMembers({ hub }, clock.Now());
  UpstreamLoads others;
  there.AddTo(others);
  exchange.OnDigest(hub.m_name, others, {}, clock.Now());

  const EvidenceSums sums = here.Sums(exchange, clock.Now());
  const RolloutCounts& all = sums.m_routes.at("").m_new;
  EXPECT_EQ(all.m_answers, 3U);
  EXPECT_EQ(all.m_failed, 1U);
  EXPECT_EQ(all.m_timed, 2U);
  EXPECT_EQ(all.m_slow, 1U);
  EXPECT_EQ(sums.m_routes.at("short").m_new.m_answers, 2U);
  EXPECT_EQ(sums.m_routes.at("short").m_old.m_slow, 1U);
  EXPECT_EQ(sums.m_badByUpstream.at(UpstreamId("n1")), 2U);
  // While the others are not known, its own counts remain.
  clock.Advance(std::chrono::seconds(2));
  EXPECT_EQ(here.Sums(exchange, clock.Now()).m_routes.at("").m_new.m_answers,
            1U);
}

} // namespace
} // namespace walnutwing
