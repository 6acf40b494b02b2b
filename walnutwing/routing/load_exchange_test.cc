#include "walnutwing/routing/load_exchange.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <set>

#include <gtest/gtest.h>

#include "walnutwing/routing/selector_fixture.h"

namespace walnutwing {
namespace {

using std::chrono::milliseconds;

const UpstreamId kUpstream("e0");

// Each daemon d starts d + 1 requests at e0, the only upstream.
void
StartRequests(TestFleet& aFleet)
{
  SelectionRequest selection;
  selection.m_service = ServiceId("s");
  for (std::size_t d = 0; d < aFleet.Size(); ++d) {
    for (std::size_t i = 0; i <= d; ++i) {
      UpstreamSelector& selector = aFleet.Daemon(d).m_selector;
      selector.OnSent(selector.Choose(selection, aFleet.m_clock.Now()),
                      aFleet.m_clock.Now());
    }
  }
}

std::optional<double>
OtherLoadSeenBy(TestFleet& aFleet, std::size_t aDaemon)
{
  TestDaemon& daemon = aFleet.Daemon(aDaemon);
  const std::uint32_t key = LoadKey(kUpstream);
  return daemon.m_exchange.OtherDaemonsLoad(
    key, daemon.m_selector.OwnLoads()[key], aFleet.m_clock.Now());
}

void
RunPeriods(TestFleet& aFleet,
           int aCount,
           const std::set<DaemonId>& aSilent = {})
{
  for (int i = 0; i < aCount; ++i) {
    aFleet.m_clock.Advance(milliseconds(300));
    aFleet.Exchange(aSilent);
  }
}

// Reports, sums and digests take one period each.
constexpr int kPeriodsToConverge = 4;

TEST(LoadExchange, EveryDaemonLearnsTheRequestsOfAllOthers)
{
  for (const std::size_t daemons : { 1U, 2U, 3U, 8U, 31U }) {
    TestFleet fleet(daemons, 1);
    StartRequests(fleet);
    RunPeriods(fleet, kPeriodsToConverge);
    const std::size_t total = daemons * (daemons + 1) / 2;
    for (std::size_t d = 0; d < daemons; ++d) {
      EXPECT_EQ(static_cast<double>(total - (d + 1)), OtherLoadSeenBy(fleet, d))
        << d << " of " << daemons;
    }
  }
}

// The hub fails: the next candidate takes over, and the requests of the failed
// daemon no longer count.
TEST(LoadExchange, NextCandidateTakesOverWhenTheHubIsSilent)
{
  constexpr std::size_t kDaemons = 9;
  TestFleet fleet(kDaemons, 1);
  StartRequests(fleet);
  RunPeriods(fleet, kPeriodsToConverge);
  const DaemonId hub = fleet.Daemon(0).m_exchange.Hub();
  const std::size_t hubIndex = std::stoul(hub.Value().substr(1));
  RunPeriods(fleet, 12, { hub });
  constexpr std::size_t kTotal = kDaemons * (kDaemons + 1) / 2;
  const auto total = static_cast<double>(kTotal);
  for (std::size_t d = 0; d < kDaemons; ++d) {
    if (d == hubIndex) {
      continue;
    }
    EXPECT_NE(hub, fleet.Daemon(d).m_exchange.Hub()) << d;
    EXPECT_EQ(total - static_cast<double>(d + 1) -
                static_cast<double>(hubIndex + 1),
              OtherLoadSeenBy(fleet, d))
      << d;
  }
  // The first hub sends messages again and becomes the hub again.
  RunPeriods(fleet, 12);
  EXPECT_EQ(hub, fleet.Daemon(0).m_exchange.Hub());
  EXPECT_EQ(total - 1, OtherLoadSeenBy(fleet, 0));
}

// After a network partition, a zone knows only the requests of its own daemons;
// older sums of the other zones have expired.
TEST(LoadExchange, PartitionedZoneDropsExpiredSumsOfOtherZones)
{
  constexpr std::size_t kDaemons = 9;
  TestFleet fleet(kDaemons, 1);
  StartRequests(fleet);
  RunPeriods(fleet, kPeriodsToConverge);
  std::set<DaemonId> others;
  for (std::size_t d = 0; d < kDaemons; ++d) {
    if (d % kTestZones != 0) {
      others.insert(fleet.Daemon(d).m_name);
    }
  }
  RunPeriods(fleet, 6, others);
  // d0, d3 and d6 have 1, 4 and 7 requests in progress.
  EXPECT_EQ(11, OtherLoadSeenBy(fleet, 0));
  EXPECT_EQ(5, OtherLoadSeenBy(fleet, 6));
}

TEST(LoadExchange, LoadIsUnknownAfterTheLifetimeWithoutMessages)
{
  TestFleet fleet(6, 1);
  StartRequests(fleet);
  RunPeriods(fleet, kPeriodsToConverge);
  EXPECT_TRUE(OtherLoadSeenBy(fleet, 0));
  fleet.m_clock.Advance(milliseconds(1001));
  EXPECT_FALSE(OtherLoadSeenBy(fleet, 0));
}

// Messages per period: one per daemon and direction, regardless of the size of
// the fleet; only a hub sends one per daemon of its zone.
TEST(LoadExchange, OnlyHubMessagesGrowWithTheSizeOfTheZone)
{
  for (const std::size_t daemons : { 30U, 99U, 300U }) {
    TestFleet fleet(daemons, 1);
    RunPeriods(fleet, kPeriodsToConverge);
    std::size_t most = 0;
    std::size_t total = 0;
    for (std::size_t d = 0; d < daemons; ++d) {
      const std::size_t count =
        fleet.Daemon(d).m_exchange.OnPeriod({}, fleet.m_clock.Now()).size();
      most = std::max(most, count);
      total += count;
    }
    const std::size_t zone = daemons / kTestZones;
    EXPECT_EQ(zone - 1 + 2 * (kTestZones - 1), most);
    EXPECT_EQ(2 * (daemons - kTestZones) + kTestZones * 2 * (kTestZones - 1),
              total);
  }
}

TEST(LoadExchange, PeriodGrowsWithTheSizeOfTheZoneUpToItsMaximum)
{
  EXPECT_EQ(milliseconds(100), TestFleet(8, 1).Daemon(0).m_exchange.Period());
  EXPECT_EQ(milliseconds(150), TestFleet(150, 1).Daemon(0).m_exchange.Period());
  EXPECT_EQ(milliseconds(300), TestFleet(600, 1).Daemon(0).m_exchange.Period());
}

TEST(LoadExchange, RosterHashDependsOnTheMembersAndNotOnTheirOrder)
{
  TestFleet fleet(6, 1);
  LoadExchange& exchange = fleet.Daemon(0).m_exchange;
  const std::uint32_t hashOfAll = exchange.RosterHash();
  EXPECT_EQ(hashOfAll, fleet.Daemon(5).m_exchange.RosterHash());
  std::vector<RosterMember> members = fleet.Members();
  std::reverse(members.begin(), members.end());
  exchange.SetMembers(members, fleet.m_clock.Now());
  EXPECT_EQ(hashOfAll, exchange.RosterHash());
  members.pop_back();
  exchange.SetMembers(members, fleet.m_clock.Now());
  EXPECT_NE(hashOfAll, exchange.RosterHash());
}

TEST(FleetRoster, MemberWithTheLargerWeightServesAsHub)
{
  FleetRoster roster(milliseconds(24'000));
  const Time now = PausedClock().Now();
  roster.OnAnnounced({ DaemonId("small"), ZoneId("z"), "a", 0.12, 1 }, now);
  roster.OnAnnounced({ DaemonId("large"), ZoneId("z"), "b", 0.5, 1 }, now);
  roster.OnAnnounced({ DaemonId("other"), ZoneId("y"), "c", 9, 1 }, now);
  const auto hubs = RankHubs(roster.Alive(now), ZoneId("z"));
  ASSERT_EQ(2U, hubs.size());
  EXPECT_EQ("large", hubs[0].m_name.Value());
}

// An announcement is valid for its lifetime from its first read, whatever the
// wall clocks of the VMs show; reading it again does not extend it.
TEST(FleetRoster, AnnouncementsExpireByTheLocalMonotonicClock)
{
  FleetRoster roster(milliseconds(24'000));
  PausedClock clock;
  roster.OnAnnounced({ DaemonId("d"), ZoneId("z"), "a", 1, 77 }, clock.Now());
  clock.Advance(milliseconds(16'000));
  roster.OnAnnounced({ DaemonId("d"), ZoneId("z"), "a", 1, 77 }, clock.Now());
  clock.Advance(milliseconds(7999));
  EXPECT_EQ(1U, roster.Alive(clock.Now()).size());
  clock.Advance(milliseconds(1));
  EXPECT_TRUE(roster.Alive(clock.Now()).empty());
  // After its clock was set back, a daemon announces a smaller number. It is a
  // new announcement nevertheless.
  roster.OnAnnounced({ DaemonId("d"), ZoneId("z"), "b", 1, 5 }, clock.Now());
  ASSERT_EQ(1U, roster.Alive(clock.Now()).size());
  EXPECT_EQ("b", roster.Alive(clock.Now())[0].m_address);
}

// Guards against two daemons that act for the fleet at once, and against none
// that does.
TEST(LoadExchange, RanksOfThoseThatActForTheFleetDiffer)
{
  TestFleet fleet(9, 1);
  for (const std::size_t perZone : { 1U, 2U }) {
    std::multiset<std::uint32_t> ranks;
    std::set<std::uint32_t> ranksOfHubs;
    for (std::size_t i = 0; i < 9; ++i) {
      const LoadExchange& exchange = fleet.Daemon(i).m_exchange;
      const auto rank = exchange.RankAmongHubs(perZone);
      if (rank) {
        ranks.insert(*rank);
      }
      if (exchange.IsHub()) {
        ranksOfHubs.insert(rank.value_or(UINT32_MAX));
      }
    }
    const std::multiset<std::uint32_t> all{ 0, 1, 2, 3, 4, 5 };
    const auto end =
      std::next(all.begin(), static_cast<std::ptrdiff_t>(3 * perZone));
    EXPECT_EQ(std::multiset<std::uint32_t>(all.begin(), end), ranks);
    EXPECT_EQ((std::set<std::uint32_t>{ 0, 1, 2 }), ranksOfHubs);
  }
}

} // namespace
} // namespace walnutwing
