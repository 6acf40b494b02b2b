#include "walnutwing/config/config_follower.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "walnutwing/config/fake_fleet.h"

namespace walnutwing {
namespace {

using namespace std::chrono_literals;

constexpr Duration kSmallFleetLimit = 3s; // target for 8 daemons
constexpr Duration kLargeFleetLimit = 9s; // target for 390 daemons

// Returns a fleet in which all daemons have TestConfig() in force.
FakeFleet
MakeStartedFleet(FakeFleetOptions aOptions = {})
{
  FakeFleet fleet(aOptions);
  fleet.AppendChange(ReplaceAll(TestConfig()));
  fleet.Run(10s);
  EXPECT_TRUE(fleet.IsInForceEverywhere(1));
  return fleet;
}

testing::AssertionResult
IsInForceWithin(FakeFleet& aFleet, ConfigVersion aVersion, Duration aLimit)
{
  const Duration took = aFleet.RunUntil(
    [&] { return aFleet.IsInForceEverywhere(aVersion); }, aLimit);
  if (aFleet.IsInForceEverywhere(aVersion) &&
      aFleet.Counters().m_reverts == 0) {
    return testing::AssertionSuccess();
  }
  return testing::AssertionFailure()
         << "version " << aVersion << " after " << took.count() << " ms, "
         << aFleet.Counters().m_reverts << " reverts";
}

TEST(ConfigFollower, ChangeReachesAllDaemons)
{
  const struct
  {
    std::size_t m_daemons;
    std::size_t m_zones;
    unsigned m_loss;
    Duration m_limit;
  } cases[] = { { 1, 1, 0, kSmallFleetLimit },
                { 8, 3, 0, kSmallFleetLimit },
                { 8, 3, 20, kSmallFleetLimit },
                { 56, 7, 5, kLargeFleetLimit },
                { 390, 7, 5, kLargeFleetLimit } };
  for (const auto& test : cases) {
    FakeFleetOptions options;
    options.m_daemons = test.m_daemons;
    options.m_zones = test.m_zones;
    options.m_lossPercent = test.m_loss;
    FakeFleet fleet = MakeStartedFleet(options);
    EXPECT_TRUE(IsInForceWithin(
      fleet, fleet.AppendChange(SwitchPreset("night")), test.m_limit))
      << test.m_daemons << " daemons";
  }
}

// A large change that peers sent each other at 4 KB/s would delay the next one.
TEST(ConfigFollower, LargeChangeDoesNotDelayNextChange)
{
  FakeFleetOptions options;
  options.m_daemons = 56;
  options.m_zones = 7;
  FakeFleet fleet = MakeStartedFleet(options);
  fleet.AppendChange(ReplaceAll(TestConfig(650)));
  fleet.Run(5s);
  EXPECT_TRUE(IsInForceWithin(
    fleet, fleet.AppendChange(SwitchPreset("night")), kLargeFleetLimit));
}

TEST(ConfigFollower, WithoutAcceptedConfigVersionStaysZero)
{
  FakeFleet fleet({});
  fleet.AppendChange(SwitchPreset("night")); // has no base version
  fleet.Run(30s);
  EXPECT_TRUE(fleet.IsInForceEverywhere(0));
  fleet.SetLogDown(true);
  fleet.ReplaceDaemon(0);
  fleet.Run(30s);
  EXPECT_TRUE(fleet.IsInForceEverywhere(0));
}

TEST(ConfigFollower, NewDaemonStartsFromPeersWhileLogIsDown)
{
  // After more changes than peers cache, a new daemon is sent the complete
  // configuration.
  for (const int changes : { 0, 100 }) {
    FakeFleet fleet = MakeStartedFleet();
    for (int i = 0; i < changes; ++i) {
      fleet.AppendChange(i % 2 == 0 ? ZoneOut("b") : ZoneBack("b"));
    }
    fleet.Run(5s);
    const ConfigVersion version = fleet.ReferenceState().Version();
    fleet.SetLogDown(true);
    for (std::size_t i = 0; i < 8; ++i) {
      fleet.ReplaceDaemon(i);
      EXPECT_TRUE(IsInForceWithin(fleet, version, kSmallFleetLimit)) << i;
    }
    fleet.SetLogDown(false);
    EXPECT_TRUE(IsInForceWithin(
      fleet, fleet.AppendChange(ZoneOut("a")), kLargeFleetLimit));
  }
}

TEST(ConfigFollower, FrozenDaemonCatchesUp)
{
  FakeFleet fleet = MakeStartedFleet();
  fleet.SetFrozen(7, true);
  for (int i = 0; i < 100; ++i) {
    fleet.AppendChange(i % 2 == 0 ? SwitchPreset("night")
                                  : SwitchPreset("ordinary"));
    fleet.Run(500ms);
  }
  EXPECT_EQ(1U, fleet.VersionOf(7));
  fleet.SetFrozen(7, false);
  EXPECT_TRUE(IsInForceWithin(fleet, 101, kSmallFleetLimit));
}

TEST(ConfigFollower, PartitionedZoneKeepsItsVersionAndCatchesUp)
{
  FakeFleet fleet = MakeStartedFleet();
  fleet.SetZonePartitioned(1, true);
  const std::uint64_t version = fleet.AppendChange(ZoneOut("zone-1"));
  EXPECT_TRUE(IsInForceWithin(fleet, version, kSmallFleetLimit));
  fleet.ReplaceDaemon(4); // others in its zone have the configuration
  fleet.Run(5min);
  EXPECT_EQ(1U, fleet.VersionOf(1));
  EXPECT_EQ(1U, fleet.VersionOf(4));
  fleet.SetZonePartitioned(1, false);
  EXPECT_TRUE(IsInForceWithin(fleet, version, kLargeFleetLimit));
}

TEST(ConfigFollower, DeadReaderDoesNotDelayChanges)
{
  FakeFleet fleet = MakeStartedFleet();
  fleet.KillDaemon(0);
  EXPECT_TRUE(
    IsInForceWithin(fleet, fleet.AppendChange(ZoneOut("a")), kSmallFleetLimit));
  fleet.KillDaemon(1);
  fleet.KillDaemon(2); // no zone has a reader until the deaths are detected
  EXPECT_TRUE(IsInForceWithin(
    fleet, fleet.AppendChange(ZoneBack("a")), kLargeFleetLimit));
}

TEST(ConfigFollower, LaggingOrSlowLogCausesNoRevert)
{
  FakeFleet fleet = MakeStartedFleet();
  const std::uint64_t version = fleet.AppendChange(ZoneOut("a"));
  EXPECT_TRUE(IsInForceWithin(fleet, version, kSmallFleetLimit));
  fleet.SetLogLag(1);
  fleet.Run(1min);
  EXPECT_TRUE(IsInForceWithin(fleet, version, kSmallFleetLimit));
  fleet.SetLogLag(100); // the log looks empty
  fleet.Run(1min);
  EXPECT_TRUE(IsInForceWithin(fleet, version, kSmallFleetLimit));
  fleet.SetLogLag(0);
  fleet.SetLogDelay(1s);
  EXPECT_TRUE(IsInForceWithin(
    fleet, fleet.AppendChange(ZoneBack("a")), kLargeFleetLimit));
}

TEST(ConfigFollower, SnapshotsKeepConfigBeyondLogRetention)
{
  for (const bool duplicateAppends : { false, true }) {
    FakeFleetOptions options;
    options.m_follower.m_retention = 20min;
    options.m_follower.m_slowPollInterval = 10s;
    FakeFleet fleet = MakeStartedFleet(options);
    fleet.SetRetention(20min);
    fleet.SetDuplicateAppends(duplicateAppends);
    ConfigVersion version = 1;
    for (int hour = 0; hour < 3; ++hour) {
      // This change races with the snapshots of the hour.
      version = fleet.AppendChange(hour % 2 == 0 ? SwitchPreset("night")
                                                 : SwitchPreset("ordinary"));
      fleet.Run(1h);
      EXPECT_TRUE(IsInForceWithin(fleet, version, kSmallFleetLimit));
    }
    EXPECT_LT(version, fleet.FirstOffset());
    // Upper limit for 3 hours: a snapshot is due after each half retention, 6
    // times per hour, and each of the 3 readers (one per zone) appends it at
    // most once. Duplicate appends make each of them count twice. Usually only
    // one reader appends, as the others see its snapshot first, so the limit
    // also covers the few changes, which are counted too.
    EXPECT_GE(2U * 3 * 3 * 6, fleet.Counters().m_appends);
    // The log is the only source that a new daemon can start from.
    for (std::size_t i = 0; i < 8; ++i) {
      fleet.KillDaemon(i);
    }
    fleet.ReplaceDaemon(0);
    EXPECT_TRUE(IsInForceWithin(fleet, version, kSmallFleetLimit))
      << duplicateAppends;
    EXPECT_TRUE(IsInForceWithin(
      fleet, fleet.AppendChange(ZoneOut("a")), kSmallFleetLimit));
  }
}

TEST(ConfigFollower, OverrideRestoresConfigWhenNoSnapshotIsLeft)
{
  FakeFleet fleet = MakeStartedFleet();
  fleet.SetLogDown(true);
  fleet.SetRetention(1h);
  fleet.Run(2h);
  fleet.SetLogDown(false);
  // By now the first record has expired, so a new daemon does not have the base
  // of this change.
  fleet.AppendChange(ZoneOut("a"));
  for (std::size_t i = 1; i < 8; ++i) {
    fleet.KillDaemon(i);
  }
  fleet.ReplaceDaemon(0);
  fleet.Run(1min);
  EXPECT_EQ(0U, fleet.VersionOf(0));
  EXPECT_FALSE(fleet.Follower(0).State().Anchored());
  EXPECT_TRUE(
    IsInForceWithin(fleet,
                    fleet.AppendChange(ReplaceAll(TestConfig(3), true)),
                    kSmallFleetLimit));
}

TEST(ConfigFollower, RacingOperatorsAndRandomFaultsCauseNoRevert)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FakeFleetOptions options;
    options.m_seed = seed;
    options.m_lossPercent = 10;
    options.m_follower.m_retention = 2min;
    FakeFleet fleet = MakeStartedFleet(options);
    fleet.SetRetention(10min);
    std::mt19937_64 random(seed);
    std::vector<proto::FleetConfig> seen = { fleet.ReferenceState().Config() };
    for (int step = 0; step < 60; ++step) {
      const std::size_t daemon = random() % 8;
      switch (random() % 10) {
        case 0:
          fleet.KillDaemon(daemon);
          break;
        case 1:
          fleet.ReplaceDaemon(daemon);
          break;
        case 2:
          fleet.SetFrozen(daemon, random() % 2 == 0);
          break;
        case 3:
          fleet.SetZonePartitioned(random() % 3, random() % 2 == 0);
          break;
        case 4:
          fleet.SetLogDown(random() % 2 == 0);
          break;
        case 5:
          fleet.SetLogLag(random() % 3);
          break;
        default: // an operator whose view is up to three changes old
          fleet.Append(
            Signed(seen[seen.size() - 1 -
                        random() % std::min<std::size_t>(4, seen.size())],
                   std::to_string(random()),
                   random() % 2 == 0 ? SwitchPreset("night")
                                     : SwitchPreset("ordinary")));
          seen.push_back(fleet.ReferenceState().Config());
          break;
      }
      fleet.Run(Duration(random() % 5000));
    }
    fleet.SetLogDown(false);
    fleet.SetLogLag(0);
    for (std::size_t i = 0; i < 8; ++i) {
      fleet.SetZonePartitioned(i % 3, false);
      fleet.SetFrozen(i, false);
      fleet.ReplaceDaemon(i);
    }
    EXPECT_TRUE(IsInForceWithin(fleet, fleet.ReferenceState().Version(), 60s))
      << "seed " << seed;
  }
}

} // namespace
} // namespace walnutwing
