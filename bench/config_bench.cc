// Measures how configuration changes propagate through a fleet, in virtual
// time: the production followers and encoder run on a paused clock and are
// connected by fake links and a fake log. Prints CSV:
// measure,variant,value,unit. Seeds are fixed.
//
// The baseline ("poll") has no peer messages: every daemon polls the log
// itself.

#include <algorithm>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include "walnutwing/config/fake_fleet.h"

namespace walnutwing {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kSeed = 20'261'203;
constexpr int kChanges = 12;
constexpr unsigned kLossPercent = 1;
constexpr double kMsPerSecond = 1000;

struct Size
{
  std::size_t m_daemons;
  std::size_t m_zones;
  int m_customers;
};

constexpr Size kSizes[] = { { 8, 3, 10 }, { 56, 7, 650 }, { 390, 7, 650 } };

void
Print(const char* aMeasure,
      const std::string& aVariant,
      double aValue,
      const char* aUnit)
{
  std::printf("%s,%s,%.3f,%s\n", aMeasure, aVariant.c_str(), aValue, aUnit);
}

double
ToSeconds(Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / kMsPerSecond;
}

FakeFleetOptions
MakeOptions(const Size& aSize, bool aPollOnly)
{
  FakeFleetOptions options;
  options.m_daemons = aSize.m_daemons;
  options.m_zones = aSize.m_zones;
  options.m_lossPercent = kLossPercent;
  options.m_seed = kSeed;
  options.m_logDelay = 20ms; // one way, between regions
  options.m_peerDelay = 10ms;
  if (aPollOnly) {
    options.m_follower.m_fanout = 0;
    options.m_follower.m_offerInterval = 24h;
    options.m_follower.m_readerPollInterval =
      options.m_follower.m_isolatedPollInterval;
    options.m_follower.m_slowPollInterval =
      options.m_follower.m_isolatedPollInterval;
  }
  return options;
}

proto::ConfigRecord
MakeChange(int aNumber)
{
  return SwitchPreset(aNumber % 2 == 0 ? "night" : "ordinary");
}

// Measures the time from appending a small change until the last daemon applies
// it and the peer bytes of a change, and the log reads and peer bytes of a
// fleet without changes.
void
MeasureSpread(const Size& aSize, bool aPollOnly)
{
  const std::string variant =
    std::to_string(aSize.m_daemons) + "_daemons" + (aPollOnly ? "_poll" : "");
  FakeFleet fleet(MakeOptions(aSize, aPollOnly));
  fleet.AppendChange(ReplaceAll(TestConfig(aSize.m_customers)));
  const Duration start =
    fleet.RunUntil([&] { return fleet.IsInForceEverywhere(1); }, 30min);
  Print("config_spread_first", variant, ToSeconds(start), "s");

  fleet.Run(10s);
  const FakeFleetCounters idleStart = fleet.Counters();
  constexpr Duration kIdleTime = 30s;
  fleet.Run(kIdleTime);
  const FakeFleetCounters idleEnd = fleet.Counters();
  const auto daemons = static_cast<double>(aSize.m_daemons);
  Print("config_log_reads",
        variant,
        static_cast<double>(idleEnd.m_reads - idleStart.m_reads) /
          ToSeconds(kIdleTime),
        "1/s");
  const double idleBytes =
    static_cast<double>(idleEnd.m_peerBytes - idleStart.m_peerBytes) /
    ToSeconds(kIdleTime) / daemons;
  Print("config_peer_bytes_idle", variant, idleBytes, "B/s/daemon");

  std::vector<Duration> spreads;
  double bytes = 0;
  for (int i = 0; i < kChanges; ++i) {
    const std::uint64_t before = fleet.Counters().m_peerBytes;
    const std::uint64_t version = fleet.AppendChange(MakeChange(i));
    spreads.push_back(fleet.RunUntil(
      [&] { return fleet.IsInForceEverywhere(version); }, 30min));
    fleet.Run(Duration(3'000 + 137 * i));
    const Duration took = spreads.back() + Duration(3'000 + 137 * i);
    bytes += static_cast<double>(fleet.Counters().m_peerBytes - before) -
             idleBytes * daemons * ToSeconds(took);
  }
  std::sort(spreads.begin(), spreads.end());
  Print("config_spread_median", variant, ToSeconds(spreads[kChanges / 2]), "s");
  Print("config_spread_max", variant, ToSeconds(spreads.back()), "s");
  Print("config_peer_bytes_per_change",
        variant,
        bytes / kChanges / daemons,
        "B/daemon");
}

// One zone is partitioned from the log and from the other zones for over two
// minutes.
void
MeasureSpreadWithPartition(const Size& aSize)
{
  const std::string variant = std::to_string(aSize.m_daemons) + "_daemons_cut";
  FakeFleet fleet(MakeOptions(aSize, false));
  fleet.AppendChange(ReplaceAll(TestConfig(aSize.m_customers)));
  fleet.RunUntil([&] { return fleet.IsInForceEverywhere(1); }, 30min);
  fleet.SetZonePartitioned(1, true);
  fleet.Run(10s);
  const std::uint64_t version = fleet.AppendChange(MakeChange(0));
  const auto everywhere = [&] { return fleet.IsInForceEverywhere(version); };
  Print("config_spread_reachable",
        variant,
        ToSeconds(fleet.RunUntil(everywhere, 30min)),
        "s");
  fleet.Run(2min);
  fleet.SetZonePartitioned(1, false);
  Print("config_spread_after_heal",
        variant,
        ToSeconds(fleet.RunUntil(everywhere, 30min)),
        "s");
}

// A daemon that starts while the log is down gets the whole configuration from
// its peers.
void
MeasureStartFromPeers(const Size& aSize)
{
  FakeFleet fleet(MakeOptions(aSize, false));
  fleet.AppendChange(ReplaceAll(TestConfig(aSize.m_customers)));
  fleet.RunUntil([&] { return fleet.IsInForceEverywhere(1); }, 30min);
  fleet.SetLogDown(true);
  fleet.Run(10s);
  fleet.ReplaceDaemon(aSize.m_daemons - 1);
  Print("config_start_from_peers",
        std::to_string(aSize.m_daemons) + "_daemons",
        ToSeconds(
          fleet.RunUntil([&] { return fleet.IsInForceEverywhere(1); }, 30min)),
        "s");
}

void
InjectFault(FakeFleet& aFleet, std::mt19937_64& aRandom)
{
  const std::size_t daemon = aRandom() % 8;
  switch (aRandom() % 6) {
    case 0:
      aFleet.KillDaemon(daemon);
      break;
    case 1:
      aFleet.ReplaceDaemon(daemon);
      break;
    case 2:
      aFleet.SetFrozen(daemon, aRandom() % 2 == 0);
      break;
    case 3:
      aFleet.SetZonePartitioned(aRandom() % 3, aRandom() % 2 == 0);
      break;
    case 4:
      aFleet.SetLogDown(aRandom() % 2 == 0);
      break;
    default:
      aFleet.SetLogLag(aRandom() % 3);
      break;
  }
}

// Random histories of concurrent operators, faults and a log with limited
// retention. Counts reverts and histories that do not converge.
void
MeasureReverts()
{
  constexpr int kHistories = 200;
  constexpr int kSteps = 80;
  std::uint64_t reverts = 0;
  std::uint64_t changes = 0;
  int notConverged = 0;
  for (int history = 0; history < kHistories; ++history) {
    FakeFleetOptions options;
    options.m_seed = kSeed + static_cast<std::uint64_t>(history);
    options.m_lossPercent = 10;
    options.m_follower.m_retention = 2min;
    std::mt19937_64 random(options.m_seed);
    FakeFleet fleet(options);
    fleet.SetRetention(10min);
    fleet.AppendChange(ReplaceAll(TestConfig()));
    proto::FleetConfig old = fleet.ReferenceState().Config();
    for (int step = 0; step < kSteps; ++step) {
      if (random() % 2 == 0) {
        InjectFault(fleet, random);
      } else {
        // A stale change is based on a version that may no longer be in force.
        const bool stale = random() % 3 == 0;
        fleet.Append(Signed(stale ? old : fleet.ReferenceState().Config(),
                            std::to_string(random()),
                            MakeChange(step)));
        old = fleet.ReferenceState().Config();
        ++changes;
      }
      fleet.Run(Duration(random() % 4'000));
    }
    fleet.SetLogDown(false);
    fleet.SetLogLag(0);
    for (std::size_t i = 0; i < options.m_daemons; ++i) {
      fleet.SetZonePartitioned(fleet.ZoneOf(i), false);
      fleet.ReplaceDaemon(i);
    }
    const auto converged = [&] {
      return fleet.IsInForceEverywhere(fleet.ReferenceState().Version());
    };
    fleet.RunUntil(converged, 1min);
    notConverged += converged() ? 0 : 1;
    reverts += fleet.Counters().m_reverts;
  }
  const std::string variant = std::to_string(kHistories) + "_histories";
  Print("config_changes", variant, static_cast<double>(changes), "1");
  Print("config_reverts", variant, static_cast<double>(reverts), "1");
  Print("config_not_converged", variant, notConverged, "1");
}

// Snapshots that the daemons append while no operator makes changes, over two
// days.
void
MeasureAppends()
{
  FakeFleetOptions options;
  options.m_tickInterval = 10s;
  options.m_follower.m_readerPollInterval = 10s;
  options.m_follower.m_readTimeout = 1min;
  options.m_follower.m_retention = 4h;
  FakeFleet fleet(options);
  fleet.SetRetention(4h);
  fleet.AppendChange(ReplaceAll(TestConfig()));
  const std::uint64_t before = fleet.Counters().m_appends;
  fleet.Run(48h);
  Print("config_snapshots_per_retention",
        "8_daemons",
        static_cast<double>(fleet.Counters().m_appends - before) / 12,
        "1");
}

// Bytes of log records for a small change and for a full replacement.
void
MeasureRecords()
{
  for (const int customers : { 10, 650 }) {
    const proto::FleetConfig config = TestConfig(customers);
    const std::string variant = std::to_string(customers) + "_customers";
    proto::ConfigRecord small = Signed(config, "x", MakeChange(0));
    proto::ConfigRecord replaceAll = Signed(config, "x", ReplaceAll(config));
    Print("config_record_bytes",
          variant + "_switch",
          static_cast<double>(small.ByteSizeLong()),
          "B");
    Print("config_record_bytes",
          variant + "_replace_all",
          static_cast<double>(replaceAll.ByteSizeLong()),
          "B");
  }
}

void
RunAll()
{
  std::printf("measure,variant,value,unit\n");
  Print("config_seed", "all", static_cast<double>(kSeed), "1");
  for (const Size& size : kSizes) {
    MeasureSpread(size, false);
    MeasureSpread(size, true);
    MeasureSpreadWithPartition(size);
    MeasureStartFromPeers(size);
  }
  MeasureReverts();
  MeasureAppends();
  MeasureRecords();
}

} // namespace
} // namespace walnutwing

int
main()
{
  walnutwing::RunAll();
  return 0;
}
