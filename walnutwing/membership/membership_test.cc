// Tests of whole daemons on a simulated network in virtual time. Time limits
// are derived from the options.

#include "walnutwing/membership/membership.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "walnutwing/membership/fake_peer_network.h"

namespace walnutwing {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;
using Node = FakePeerNetwork::Node;

const MembershipOptions kOptions;

// Upper bound on the detection of a death within a zone. The member is pinged
// within three periods and suspected one later; the death takes two periods to
// spread.
const Duration kDetectionTime =
  6 * kOptions.m_probePeriod + kOptions.m_suspicionTime;

// Upper bound on the detection of an unreachable zone: the round until its
// first ping, then for each failed ping its timeout and the wait for the next
// one.
Duration
ZoneDetectionTime(std::size_t aZones)
{
  const Duration round = static_cast<int>(aZones) * kOptions.m_zoneProbePeriod;
  return round +
         static_cast<int>(kOptions.m_zoneFailureThreshold) *
           (kOptions.m_zoneAckTimeout + 2 * kOptions.m_zoneProbePeriod) +
         4 * kOptions.m_probePeriod;
}

// Upper bound on the convergence after a partition: a lost member is contacted,
// then the views are synchronized.
const Duration kConvergenceTime =
  3 * kOptions.m_contactPeriod + 10 * kOptions.m_syncInterval;

FakePeerNetwork
MakeNetwork(std::uint64_t aSeed,
            int aZones,
            int aPerZone,
            MembershipOptions aOptions = {})
{
  FakePeerNetwork net(aOptions, {}, aSeed);
  for (int i = 0; i < aZones * aPerZone; ++i) {
    net.Add(std::string(1, static_cast<char>('a' + i % aZones)));
  }
  net.DeliverVmList(net.MakeVmList());
  net.Run(kConvergenceTime);
  return net;
}

std::uint64_t
CountDownActions(FakePeerNetwork& aNet)
{
  std::uint64_t downs = 0;
  for (const auto& node : aNet.Nodes()) {
    downs += node->m_downActions;
  }
  return downs;
}

TEST(Membership, DaemonsJoinFromVmListOrFromSeedsAlone)
{
  FakePeerNetwork listed = MakeNetwork(1, 7, 8);
  EXPECT_EQ(0U, listed.CountDifferences());
  EXPECT_EQ(0U, CountDownActions(listed));

  FakePeerNetwork seeded({}, {}, 2);
  for (int i = 0; i < 24; ++i) {
    seeded.Add(std::string(1, static_cast<char>('a' + i % 3)));
  }
  EXPECT_LT(seeded.RunUntilConverged(minutes(2)), minutes(1));
  EXPECT_EQ(0U, CountDownActions(seeded));
}

TEST(Membership, AllDaemonsReportDeadMemberWithinDetectionTime)
{
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    FakePeerNetwork net = MakeNetwork(seed, 3, 8);
    net.Kill(*net.Nodes()[seed]);
    EXPECT_LT(net.RunUntilConverged(minutes(1)), kDetectionTime)
      << "seed " << seed;
  }
}

// Guards against false deaths under message loss. The second case disables
// indirect probes and the time to refute, to show that the test detects deaths.
TEST(Membership, MessageLossCausesNoFalseDeathsWhenSuspectsCanRefute)
{
  struct Case
  {
    double m_loss;
    Duration m_suspicionTime;
    std::uint32_t m_indirectProbes;
    bool m_expectDeaths;
  };
  const std::vector<Case> cases = {
    { 0.10, kOptions.m_suspicionTime, kOptions.m_indirectProbes, false },
    // No time to refute, no indirect probes: members must be declared dead.
    { 0.10, Duration(1), 0, true },
  };
  for (const Case& row : cases) {
    MembershipOptions options;
    options.m_suspicionTime = row.m_suspicionTime;
    options.m_indirectProbes = row.m_indirectProbes;
    FakePeerNetwork net = MakeNetwork(7, 2, 12, options);
    net.m_loss = row.m_loss;
    net.Run(minutes(10));
    EXPECT_EQ(row.m_expectDeaths, CountDownActions(net) > 0)
      << "loss " << row.m_loss;
    if (!row.m_expectDeaths) {
      EXPECT_EQ(0U, net.CountDifferences());
    }
  }
}

TEST(Membership, ResumedProcessSuspectsNobodyAndRefutesItsDeath)
{
  struct Case
  {
    Duration m_freeze;
    bool m_declaredDead;
  };
  const std::vector<Case> cases = {
    { Duration(1500), false },
    { kOptions.m_suspicionTime + 10 * kOptions.m_probePeriod, true },
    { minutes(5), true },
  };
  for (const Case& row : cases) {
    FakePeerNetwork net = MakeNetwork(11, 2, 8);
    Node& frozen = *net.Nodes()[3];
    net.Freeze(frozen);
    net.Run(row.m_freeze);
    EXPECT_EQ(row.m_declaredDead ? 0U : 15U, net.CountDifferences());
    net.Thaw(frozen);
    EXPECT_LT(net.RunUntilConverged(kConvergenceTime),
              kOptions.m_contactPeriod);
    EXPECT_EQ(0U, frozen.m_downActions);
    EXPECT_EQ(row.m_declaredDead ? 15U : 0U, CountDownActions(net));
  }
}

TEST(Membership, RestartedProcessReplacesPreviousIncarnation)
{
  FakePeerNetwork net = MakeNetwork(13, 2, 6);
  Node& restarted = *net.Nodes()[4];
  const std::uint64_t before = restarted.m_membership->Incarnation();
  net.Kill(restarted);
  net.Run(Duration(200));
  net.Start(restarted);
  net.Run(seconds(10));
  EXPECT_EQ(0U, net.CountDifferences());
  for (const auto& node : net.Nodes()) {
    EXPECT_EQ(node.get() == &restarted ? 0U : 1U, node->m_downActions)
      << node->m_self.m_daemon;
    for (const MemberView& member : node->m_membership->View()) {
      if (member.m_daemon == restarted.m_self.m_daemon) {
        EXPECT_GT(member.m_incarnation, before);
      }
    }
  }
}

TEST(Membership, PartitionedZoneGoesDownAndReturnsUndamped)
{
  FakePeerNetwork net = MakeNetwork(17, 3, 6);
  const ZoneId cut("b");
  for (int round = 0; round < 4; ++round) {
    net.m_canReach = [&](const Node& aFrom, const Node& aTo) {
      return (aFrom.m_self.m_zone == cut) == (aTo.m_self.m_zone == cut);
    };
    net.Run(ZoneDetectionTime(3));
    for (const auto& node : net.Nodes()) {
      const bool inside = node->m_self.m_zone == cut;
      EXPECT_EQ(inside ? 5U : 11U, node->m_up.size()) << node->m_self.m_daemon;
      EXPECT_EQ(inside, node->m_membership->ZoneReachable(cut));
    }
    net.Run(minutes(1));
    net.m_canReach = nullptr;
    EXPECT_LT(net.RunUntilConverged(minutes(2)), kConvergenceTime)
      << "round " << round;
  }
}

TEST(Membership, PartitionWithinZoneHeals)
{
  FakePeerNetwork net = MakeNetwork(19, 1, 10);
  std::map<const Node*, int> side;
  for (const auto& node : net.Nodes()) {
    side[node.get()] = static_cast<int>(side.size()) % 2;
  }
  net.m_canReach = [&](const Node& aFrom, const Node& aTo) {
    return side[&aFrom] == side[&aTo];
  };
  net.Run(minutes(2));
  for (const auto& node : net.Nodes()) {
    EXPECT_EQ(4U, node->m_up.size());
  }
  net.m_canReach = nullptr;
  EXPECT_LT(net.RunUntilConverged(minutes(3)), kConvergenceTime);
}

TEST(Membership, FlappingMemberIsDampedUntilStable)
{
  for (const bool damping : { true, false }) {
    MembershipOptions options;
    options.m_flapSuppressThreshold =
      damping ? options.m_flapSuppressThreshold : 1000;
    FakePeerNetwork net = MakeNetwork(23, 1, 6, options);
    Node& flapping = *net.Nodes()[2];
    for (int i = 0; i < 6; ++i) {
      net.Kill(flapping);
      net.Run(seconds(1));
      net.Start(flapping);
      net.Run(seconds(9));
    }
    for (const auto& node : net.Nodes()) {
      if (node.get() != &flapping) {
        EXPECT_EQ(!damping, node->m_up.contains(flapping.m_self.m_daemon));
      }
    }
    // A penalty of at most 6 falls to the reuse threshold of 1 within log2(6)
    // half-lives, which is less than 3.
    net.Run(3 * options.m_flapHalfLife);
    EXPECT_EQ(0U, net.CountDifferences());
  }
}

TEST(Membership, AllDaemonsReportLeavingMemberWithinThreeSeconds)
{
  FakePeerNetwork net = MakeNetwork(29, 3, 8);
  Node& leaving = *net.Nodes()[5];
  std::size_t leavingActions = 0;
  std::size_t downActions = 0;
  net.m_onAction = [&](Node&, const MembershipAction& aAction) {
    leavingActions += std::holds_alternative<MemberLeaving>(aAction) ? 1 : 0;
    downActions += std::holds_alternative<MemberDown>(aAction) ? 1 : 0;
  };
  MembershipActions actions;
  leaving.m_membership->OnStop(net.Now(), actions);
  net.Execute(leaving, actions);
  net.Run(seconds(3));
  EXPECT_EQ(23U, leavingActions);
  net.Run(seconds(20)); // a leaving member that still runs is not down
  EXPECT_EQ(0U, downActions);
  net.Kill(leaving);
  net.Run(kDetectionTime);
  EXPECT_EQ(23U, downActions);
}

TEST(Membership, StaleVmListNeitherRevivesNorRemovesMembers)
{
  FakePeerNetwork net = MakeNetwork(31, 2, 6);
  const proto::VmList stale = net.MakeVmList();
  net.Kill(*net.Nodes()[3]);
  net.Run(kDetectionTime);
  Node& fresh = net.Add("a");
  for (int i = 0; i < 30; ++i) {
    net.DeliverVmList(stale);
    net.Run(seconds(5));
  }
  EXPECT_EQ(0U, net.CountDifferences());
  EXPECT_EQ(11U, fresh.m_up.size());
  // Each other daemon reports one death. The new daemon may have taken the dead
  // member for up, because of the list, until it pinged it.
  EXPECT_LE(fresh.m_downActions, 1U);
  EXPECT_EQ(11U, CountDownActions(net) - fresh.m_downActions);
}

TEST(Membership, UpstreamStatesStayInZoneAndSummariesReachAllZones)
{
  FakePeerNetwork net = MakeNetwork(37, 2, 8);
  std::map<std::string, std::size_t> received;
  net.m_onAction = [&](Node& aNode, const MembershipAction& aAction) {
    const auto* changed = std::get_if<UpstreamChanged>(&aAction);
    if (changed != nullptr && changed->m_state.leaving()) {
      ++received[aNode.m_self.m_zone.Value()];
    }
  };
  Node& owner = *net.Nodes()[0];
  proto::UpstreamState state;
  state.set_upstream("engine-1");
  state.set_window(40);
  state.set_in_progress(30);
  owner.m_membership->SetUpstreamState(state, net.Now());
  owner.m_membership->SetConfigVersion(5);
  net.Run(seconds(5));
  state.set_leaving(true);
  owner.m_membership->SetUpstreamState(state, net.Now());
  net.Run(seconds(4));
  EXPECT_EQ(7U, received["a"]); // all daemons of the zone but the owner
  EXPECT_EQ(0U, received["b"]);
  net.Run(3 * kOptions.m_summaryPeriod);
  for (const auto& node : net.Nodes()) {
    const auto& sum = node->m_membership->ZoneSummaries().at(ZoneId("a"));
    EXPECT_EQ(30U, sum.in_progress());
    EXPECT_EQ(40U, sum.window());
    EXPECT_EQ(8U, sum.members());
    EXPECT_EQ(0U, sum.lowest_config_version()); // 7 members have none
  }
}

// After random crashes, freezes, restarts, zone partitions and message loss
// have ended, all views must converge to the actual state.
TEST(Membership, ViewsConvergeAfterRandomFaults)
{
  for (std::uint64_t seed = 100; seed < 120; ++seed) {
    FakePeerNetwork net = MakeNetwork(seed, 3, 5);
    std::mt19937_64 random(seed);
    for (int i = 0; i < 12; ++i) {
      Node& node = *net.Nodes()[random() % net.Nodes().size()];
      const ZoneId zone = node.m_self.m_zone;
      switch (random() % 6) {
        case 0:
          net.Kill(node);
          break;
        case 1:
          node.m_running ? net.Freeze(node) : net.Start(node);
          break;
        case 2:
          net.Thaw(node);
          break;
        case 3:
          net.m_canReach = [zone](const Node& aFrom, const Node& aTo) {
            return aFrom.m_self.m_zone == aTo.m_self.m_zone ||
                   (aFrom.m_self.m_zone != zone && aTo.m_self.m_zone != zone);
          };
          break;
        case 4:
          net.m_canReach = nullptr;
          break;
        default:
          net.m_loss = static_cast<double>(random() % 4) / 20;
          break;
      }
      net.Run(Duration(random() % 20000));
    }
    net.m_canReach = nullptr;
    net.m_loss = 0;
    for (const auto& node : net.Nodes()) {
      net.Thaw(*node);
    }
    net.DeliverVmList(net.MakeVmList());
    // Damped members come up last.
    EXPECT_LT(net.RunUntilConverged(minutes(10)),
              kConvergenceTime + 4 * kOptions.m_flapHalfLife)
      << "seed " << seed << ", " << net.CountDifferences() << " differences";
  }
}

TEST(Membership, NoSenderExceedsByteBudgetAtStartOrZoneLoss)
{
  const ByteBudgetOptions budget;
  FakePeerNetwork net({}, budget, 41);
  for (int i = 0; i < 40; ++i) {
    net.Add(std::string(1, static_cast<char>('a' + i % 4)));
  }
  const auto checkAll = [&](const char* aWhen) {
    const auto elapsed = static_cast<std::uint64_t>(net.Elapsed().count());
    for (const auto& node : net.Nodes()) {
      EXPECT_LE(node->m_sentBytes,
                budget.m_burstBytes + elapsed * budget.m_bytesPerSecond / 1000)
        << aWhen;
    }
  };
  net.Run(seconds(60)); // all daemons start at once
  checkAll("start");
  for (int i = 0; i < 10; ++i) {
    net.Kill(*net.Nodes()[static_cast<std::size_t>(i) * 4]);
  }
  net.Run(seconds(60)); // a zone is lost
  checkAll("zone loss");
}

} // namespace
} // namespace walnutwing
