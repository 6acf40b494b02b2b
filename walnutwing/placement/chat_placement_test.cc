#include "walnutwing/placement/chat_placement.h"

#include <algorithm>
#include <random>
#include <string>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

ChatKey
Chat(std::uint64_t aNumber)
{
  return { CustomerId("c"), ServiceId("s"), ChatId(std::to_string(aNumber)) };
}

// Upstreams e0..e8: zones a, b (region r) and c (region q) in turn.
std::vector<PlacementUpstream>
NineUpstreams()
{
  const char* const zones[] = { "a", "b", "c" };
  std::vector<PlacementUpstream> upstreams;
  for (std::size_t i = 0; i < 9; ++i) {
    PlacementUpstream upstream;
    upstream.m_id = UpstreamId("e" + std::to_string(i));
    upstream.m_zone = ZoneId(zones[i % 3]);
    upstream.m_region = RegionId(i % 3 == 2 ? "q" : "r");
    upstreams.push_back(upstream);
  }
  return upstreams;
}

ChatPlacement
Placement(std::vector<PlacementUpstream> aUpstreams,
          PlacementOptions aOptions = {})
{
  ChatPlacement placement(ZoneId("a"), RegionId("r"), aOptions);
  placement.SetUpstreams(std::move(aUpstreams));
  return placement;
}

proto::UpstreamState
State(const UpstreamId& aId,
      std::uint32_t aInProgress,
      std::uint32_t aWindow,
      std::uint64_t aIncarnation = 1)
{
  proto::UpstreamState state;
  state.set_upstream(aId.Value());
  state.set_in_progress(aInProgress);
  state.set_window(aWindow);
  state.set_incarnation(aIncarnation);
  return state;
}

// Covers every reason for which an upstream accepts no new requests.
TEST(ChatPlacement, RankExcludesUpstreamsThatAcceptNoRequests)
{
  struct Case
  {
    const char* m_name;
    void (*m_change)(PlacementUpstream&);
    bool m_byState;
  };
  const Case cases[] = {
    { "leaving", [](PlacementUpstream& aUp) { aUp.m_leaving = true; }, false },
    { "zone out", [](PlacementUpstream& aUp) { aUp.m_zoneOut = true; }, false },
    { "dead",
      [](PlacementUpstream& aUp) { aUp.m_deadOrNotInView = true; },
      false },
    { "owner says leaving", [](PlacementUpstream&) {}, true },
  };
  for (const Case& test : cases) {
    for (std::uint64_t chat = 0; chat < 50; ++chat) {
      std::vector<PlacementUpstream> upstreams = NineUpstreams();
      const auto usual = Placement(upstreams).Rank(Chat(chat));
      const UpstreamId& excluded = usual.front();
      for (PlacementUpstream& upstream : upstreams) {
        if (upstream.m_id == excluded) {
          test.m_change(upstream);
        }
      }
      ChatPlacement placement = Placement(upstreams);
      if (test.m_byState) {
        proto::UpstreamState state = State(excluded, 0, 0);
        state.set_leaving(true);
        placement.OnUpstreamState(state);
      }
      const auto ranked = placement.Rank(Chat(chat), excluded);
      EXPECT_FALSE(std::ranges::count(ranked, excluded)) << test.m_name;
      // The chat moves to its second choice.
      EXPECT_EQ(usual[1], ranked.front()) << test.m_name;
    }
  }
}

TEST(ChatPlacement, RankPutsHintThenOwnRegionFirst)
{
  for (std::uint64_t chat = 0; chat < 50; ++chat) {
    const ChatPlacement placement = Placement(NineUpstreams());
    const auto ranked = placement.Rank(Chat(chat));
    ASSERT_EQ(6U, ranked.size());
    EXPECT_FALSE(std::ranges::count(ranked, UpstreamId("e2")));
    const auto hinted = placement.Rank(Chat(chat), ranked.back());
    EXPECT_EQ(ranked.back(), hinted.front());
    EXPECT_EQ(ranked.front(), hinted[1]);
    EXPECT_EQ(6U, hinted.size());
    // A hint that names another region's or an unknown upstream is ignored.
    EXPECT_EQ(ranked, placement.Rank(Chat(chat), UpstreamId("e2")));
    EXPECT_EQ(ranked, placement.Rank(Chat(chat), UpstreamId("gone")));
    PlacementOptions options;
    options.m_followHintAcrossRegions = true;
    options.m_maxRanked = 9;
    const ChatPlacement wide = Placement(NineUpstreams(), options);
    EXPECT_EQ(UpstreamId("e2"),
              wide.Rank(Chat(chat), UpstreamId("e2")).front());
    EXPECT_EQ(9U, wide.Rank(Chat(chat)).size());
  }
}

TEST(ChatPlacement, ZonesRankAlikeUnlessOtherZonesWeighLess)
{
  PlacementOptions preferOwnZone;
  preferOwnZone.m_otherZoneWeightDivisor = 1e6;
  ChatPlacement other(ZoneId("b"), RegionId("r"));
  other.SetUpstreams(NineUpstreams());
  for (std::uint64_t chat = 0; chat < 50; ++chat) {
    EXPECT_EQ(Placement(NineUpstreams()).Rank(Chat(chat)),
              other.Rank(Chat(chat)));
    const auto near =
      Placement(NineUpstreams(), preferOwnZone).Rank(Chat(chat));
    EXPECT_EQ(0, std::stoi(near.front().Value().substr(1)) % 3);
  }
}

TEST(ChatPlacement, FullUpstreamsRankLastExceptTheFirst)
{
  ChatPlacement placement = Placement(NineUpstreams());
  const auto usual = placement.Rank(Chat(1));
  placement.OnUpstreamState(State(usual[0], 5, 5));
  placement.OnUpstreamState(State(usual[1], 5, 5));
  auto ranked = placement.Rank(Chat(1));
  EXPECT_EQ(usual[0], ranked[0]);
  EXPECT_EQ(usual[2], ranked[1]);
  EXPECT_EQ(usual[1], ranked.back());
  // A state with a smaller incarnation does not replace the stored one.
  placement.OnUpstreamState(State(usual[1], 1, 5, 0));
  EXPECT_EQ(usual[1], placement.Rank(Chat(1)).back());
  placement.OnUpstreamState(State(usual[1], 1, 5, 2));
  EXPECT_EQ(usual[1], placement.Rank(Chat(1))[1]);
}

TEST(ChatPlacement, NewChatsGoToTheLeastLoadedOfTheFirstChoices)
{
  ChatPlacement placement = Placement(NineUpstreams());
  const auto usual = placement.Rank(Chat(1));
  EXPECT_EQ(usual, placement.Rank(Chat(1), std::nullopt, true));
  for (std::uint32_t i = 0; i < 5; ++i) {
    placement.OnUpstreamState(State(usual[i], 9 - i, 100));
  }
  const auto spread = placement.Rank(Chat(1), std::nullopt, true);
  const std::vector<UpstreamId> expected = { usual[2], usual[0], usual[1],
                                             usual[3], usual[4], usual[5] };
  EXPECT_EQ(expected, spread);
  EXPECT_EQ(usual, placement.Rank(Chat(1)));
  EXPECT_EQ(usual[1], placement.Rank(Chat(1), usual[1], true).front());
}

TEST(ChatPlacement, MeanLoadCountsWarmUpstreamsThatAcceptRequests)
{
  std::vector<PlacementUpstream> upstreams = NineUpstreams();
  upstreams[0].m_leaving = true;
  ChatPlacement placement = Placement(upstreams);
  EXPECT_FALSE(placement.MeanLoad());
  placement.OnUpstreamState(State(UpstreamId("e0"), 90, 100));
  proto::UpstreamState cold = State(UpstreamId("e1"), 2, 2);
  cold.set_temperature(proto::COLD);
  placement.OnUpstreamState(cold);
  EXPECT_FALSE(placement.MeanLoad());
  placement.OnUpstreamState(State(UpstreamId("e3"), 10, 100));
  placement.OnUpstreamState(State(UpstreamId("e4"), 20, 100));
  EXPECT_DOUBLE_EQ(15, placement.MeanLoad().value_or(0));
  // SetUpstreams keeps the states.
  placement.SetUpstreams(NineUpstreams());
  EXPECT_DOUBLE_EQ(40, placement.MeanLoad().value_or(0));
}

TEST(ChatPlacement, RejectsOutOfRangeOptions)
{
  PlacementOptions options;
  options.m_maxRanked = 0;
  EXPECT_THROW(ChatPlacement(ZoneId(), RegionId(), options),
               std::invalid_argument);
}

} // namespace
} // namespace walnutwing
