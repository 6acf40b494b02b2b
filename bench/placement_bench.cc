// Compares placement with baseline policies in virtual time: cache reuse, load
// skew, and behaviour when a zone leaves and returns. Also measures the CPU
// time and memory of a placement decision. Prints CSV lines
// "measure,variant,value,unit"; seeds are fixed and printed.

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include <malloc.h>

#include "bench/fleet_driver.h"
#include "walnutwing/placement/chat_hint.h"

namespace walnutwing::bench {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20'261'203;

void
Print(const std::string& aMeasure,
      const std::string& aVariant,
      double aValue,
      const std::string& aUnit)
{
  std::printf("%s,%s,%.4g,%s\n",
              aMeasure.c_str(),
              aVariant.c_str(),
              aValue,
              aUnit.c_str());
  std::fflush(stdout);
}

struct FleetSize
{
  const char* m_name;
  FleetOptions m_options;
  Duration m_warmUp;
  Duration m_measuredTime; // measured after the warm-up
};

FleetSize
MakeFleetSize(const char* aName,
              std::size_t aEngines,
              std::size_t aDaemons,
              double aStreams)
{
  FleetSize size{ aName, {}, seconds(300), seconds(3000) };
  size.m_options.m_seed = kSeed;
  size.m_options.m_engines = aEngines;
  size.m_options.m_daemons = aDaemons;
  size.m_options.m_streamsPerEngine = aStreams;
  size.m_options.m_engineReplacementInterval = seconds(300);
  size.m_options.m_daemonReplacementInterval = seconds(300);
  size.m_options.m_owner.m_slots = static_cast<std::uint32_t>(aStreams * 3);
  return size;
}

FleetSize
WaterFleet()
{
  return MakeFleetSize("water_20_8", 20, 8, 5);
}

FleetSize
HamasakiFleet()
{
  return MakeFleetSize("hamasaki_12_7", 12, 7, 5);
}

FleetSize
LargeFleet()
{
  FleetSize size = MakeFleetSize("large_600_390", 600, 390, 95);
  size.m_options.m_zones = 7;
  size.m_options.m_regions = 3;
  size.m_options.m_engineReplacementInterval = seconds(20);
  size.m_options.m_daemonReplacementInterval = seconds(15);
  size.m_warmUp = seconds(60);
  size.m_measuredTime = seconds(60);
  return size;
}

struct PolicyName
{
  Policy m_policy;
  const char* m_name;
};

constexpr PolicyName kPolicies[] = {
  { Policy::HashModN, "hash_mod_n" },
  { Policy::BoundedRing, "ring_bounded" },
  { Policy::LeastLoaded, "least_loaded" },
  { Policy::TwoChoices, "two_choices" },
  { Policy::PlacementWithoutHint, "ours_no_hint" },
  { Policy::PlacementWithHint, "ours_hint" },
  { Policy::Oracle, "ceiling" },
};

// Sums the counts of all seconds from aFirst on.
FleetSecondStats
SumFrom(const FleetDriver& aDriver, Duration aFirst)
{
  FleetSecondStats sum;
  const auto first = static_cast<std::size_t>(aFirst / seconds(1));
  for (std::size_t i = first; i < aDriver.Seconds().size(); ++i) {
    const FleetSecondStats& second = aDriver.Seconds()[i];
    sum.m_completed += second.m_completed;
    sum.m_refused += second.m_refused;
    sum.m_startedLate += second.m_startedLate;
    sum.m_startedInZoneOut += second.m_startedInZoneOut;
    sum.m_started += second.m_started;
    sum.m_cacheHits += second.m_cacheHits;
    sum.m_returningChats += second.m_returningChats;
    sum.m_lost += second.m_lost;
    sum.m_overBound += second.m_overBound;
    sum.m_coldExcess += second.m_coldExcess;
    sum.m_permitMessages += second.m_permitMessages;
    sum.m_permitBytes += second.m_permitBytes;
  }
  return sum;
}

double
Share(std::uint64_t aPart, std::uint64_t aWhole)
{
  return aWhole == 0 ? 0
                     : static_cast<double>(aPart) / static_cast<double>(aWhole);
}

void
MeasureCacheReuse(const FleetSize& aSize)
{
  for (const PolicyName& policy : kPolicies) {
    FleetOptions options = aSize.m_options;
    options.m_policy = policy.m_policy;
    FleetDriver driver(options);
    driver.RunTo(aSize.m_warmUp + aSize.m_measuredTime);
    const FleetSecondStats sum = SumFrom(driver, aSize.m_warmUp);
    const std::string variant = std::string(aSize.m_name) + "/" + policy.m_name;
    Print("cache_reuse",
          variant,
          Share(sum.m_cacheHits, sum.m_returningChats),
          "share");
    Print("cold_excess_churn",
          variant,
          static_cast<double>(sum.m_coldExcess),
          "requests");
    Print(
      "refused_churn", variant, Share(sum.m_refused, sum.m_started), "share");
    if (policy.m_policy == Policy::PlacementWithHint) {
      const double daemonSeconds =
        static_cast<double>(aSize.m_measuredTime.count()) / 1000 *
        static_cast<double>(aSize.m_options.m_daemons);
      Print("permit_bytes_sent_by_askers",
            variant,
            static_cast<double>(sum.m_permitBytes) / daemonSeconds,
            "B/s");
      Print("permit_messages_sent_by_askers",
            variant,
            static_cast<double>(sum.m_permitMessages) / daemonSeconds,
            "1/s");
    }
  }
}

void
MeasureCacheReuseByBound(const FleetSize& aSize)
{
  for (const std::uint32_t percent : { 110, 150, 200 }) {
    FleetOptions options = aSize.m_options;
    options.m_owner.m_loadBoundPercent = percent;
    FleetDriver driver(options);
    driver.RunTo(aSize.m_warmUp + aSize.m_measuredTime);
    const FleetSecondStats sum = SumFrom(driver, aSize.m_warmUp);
    const std::string variant =
      std::string(aSize.m_name) + "/c=" + std::to_string(percent);
    Print("cache_reuse_by_bound",
          variant,
          Share(sum.m_cacheHits, sum.m_returningChats),
          "share");
    Print("refused_by_bound",
          variant,
          Share(sum.m_refused, sum.m_started),
          "of started");
    Print("late_by_bound",
          variant,
          Share(sum.m_startedLate, sum.m_started),
          "share");
  }
}

struct SkewCase
{
  const char* m_name;
  void (*m_injectFault)(FleetDriver&);
  bool m_churn;
  bool m_loadReports;
  bool m_twoOwners;
  bool m_atLargeSize; // other cases run only at the smaller sizes
};

void
MeasureSkew(const FleetSize& aSize)
{
  const SkewCase cases[] = {
    { "quiet", [](FleetDriver&) {}, false, true, false, true },
    { "surge",
      [](FleetDriver& aDriver) { aDriver.SetArrivalFactor(10); },
      false,
      true,
      false,
      false },
    { "churn", [](FleetDriver&) {}, true, true, false, true },
    { "differing_views",
      [](FleetDriver& aDriver) { aDriver.SetViewsSplit(true); },
      false,
      true,
      true,
      true },
    { "two_owners_no_reports",
      [](FleetDriver& aDriver) { aDriver.SetViewsSplit(true); },
      false,
      false,
      true,
      true },
    { "frozen_owner",
      [](FleetDriver& aDriver) { aDriver.SetOneDaemonFrozen(true); },
      false,
      true,
      true,
      false },
  };
  const bool large = aSize.m_options.m_regions > 1;
  for (const SkewCase& test : cases) {
    if (large && !test.m_atLargeSize) {
      continue;
    }
    FleetOptions options = aSize.m_options;
    options.m_loadReports = test.m_loadReports;
    if (!test.m_churn) {
      options.m_engineReplacementInterval = Duration(0);
      options.m_daemonReplacementInterval = Duration(0);
    }
    FleetDriver driver(options);
    driver.RunTo(aSize.m_warmUp);
    test.m_injectFault(driver);
    driver.RunTo(aSize.m_warmUp + seconds(60));
    double worst = 0;
    double bound = 0;
    std::uint64_t above = 0;
    std::uint64_t count = 0;
    const auto first = static_cast<std::size_t>(aSize.m_warmUp / seconds(1));
    for (std::size_t i = first; i + 1 < driver.Seconds().size(); ++i) {
      const FleetSecondStats& second = driver.Seconds()[i];
      const double limit =
        std::max<double>(options.m_owner.m_minWindow,
                         std::ceil(second.m_meanRunning *
                                   options.m_owner.m_loadBoundPercent / 100));
      above += second.m_maxRunning > limit ? 1 : 0;
      ++count;
      const double ratio = second.m_maxRunning / second.m_meanRunning;
      if (ratio > worst) {
        worst = ratio;
        bound = limit / second.m_meanRunning * (test.m_twoOwners ? 2 : 1);
      }
    }
    const std::string variant = std::string(aSize.m_name) + "/" + test.m_name;
    Print("load_skew_max", variant, worst, "max/mean");
    Print("load_skew_bound_then", variant, bound, "max/mean");
    Print("load_skew_above_window", variant, Share(above, count), "of samples");
    const FleetSecondStats sum = SumFrom(driver, aSize.m_warmUp);
    Print("load_bound_passed_at_start",
          variant,
          Share(sum.m_overBound, sum.m_started),
          "of requests");
    Print("load_skew_refused",
          variant,
          static_cast<double>(sum.m_refused),
          "requests");
  }
}

void
MeasureZoneOutAndReturn(const FleetSize& aSize)
{
  FleetOptions options = aSize.m_options;
  options.m_engineReplacementInterval = Duration(0);
  options.m_daemonReplacementInterval = Duration(0);
  FleetDriver driver(options);
  const Duration out = aSize.m_warmUp;
  const Duration back = out + seconds(60);
  driver.RunTo(out);
  driver.TakeZoneOut(0);
  driver.RunTo(back);
  driver.BringZoneBack(0);
  driver.RunTo(back + seconds(60));
  const auto print = [&](const char* aMeasure, Duration aFrom) {
    const auto first = static_cast<std::size_t>(aFrom / seconds(1));
    std::size_t last = 0;
    for (std::size_t i = 0; i < 60; ++i) {
      const FleetSecondStats& second = driver.Seconds()[first + i];
      const std::string variant =
        std::string(aSize.m_name) + "/t=" + std::to_string(i);
      last = second.m_startedInZoneOut > 0 ? i + 1 : last;
      if (i % 5 != 0 && i > 5) {
        continue;
      }
      Print(std::string(aMeasure) + "_completed",
            variant,
            static_cast<double>(second.m_completed),
            "requests");
      Print(std::string(aMeasure) + "_refused",
            variant,
            static_cast<double>(second.m_refused),
            "requests");
    }
    FleetSecondStats sum;
    for (std::size_t i = 0; i < 60; ++i) {
      const FleetSecondStats& second = driver.Seconds()[first + i];
      sum.m_startedLate += second.m_startedLate;
      sum.m_refused += second.m_refused;
      sum.m_startedInZoneOut += second.m_startedInZoneOut;
      sum.m_coldExcess += second.m_coldExcess;
      sum.m_lost += second.m_lost;
    }
    const std::string name = aMeasure;
    const auto total = [&](const char* aWhat, std::uint64_t aValue) {
      Print(name + aWhat,
            std::string(aSize.m_name) + "/60s",
            static_cast<double>(aValue),
            "requests");
    };
    total("_refused_total", sum.m_refused);
    total("_late_total", sum.m_startedLate);
    total("_wrongly_sent", sum.m_startedInZoneOut);
    total("_cold_excess", sum.m_coldExcess);
    total("_lost", sum.m_lost);
    Print(name + "_last_wrongly_sent",
          aSize.m_name,
          static_cast<double>(last),
          "s");
  };
  print("zone_departure", out);
  print("zone_return", back);
}

void
MeasureUnannouncedCold(const FleetSize& aSize)
{
  FleetOptions options = aSize.m_options;
  options.m_engineReplacementInterval = Duration(0);
  options.m_daemonReplacementInterval = Duration(0);
  FleetDriver driver(options);
  driver.RunTo(aSize.m_warmUp);
  driver.TurnCold(0.1);
  driver.RunTo(aSize.m_warmUp + seconds(30));
  const auto first = static_cast<std::size_t>(aSize.m_warmUp / seconds(1));
  std::uint64_t total = 0;
  std::size_t last = 0;
  for (std::size_t i = 0; i < 30; ++i) {
    const std::uint64_t excess = driver.Seconds()[first + i].m_coldExcess;
    total += excess;
    last = excess > 0 ? i + 1 : last;
  }
  Print("cold_excess_unannounced",
        aSize.m_name,
        static_cast<double>(total),
        "requests");
  Print("cold_excess_unannounced_until",
        aSize.m_name,
        static_cast<double>(last),
        "s");
}

std::size_t
HeapBytes()
{
  return mallinfo2().uordblks;
}

// Returns the mean duration of one run in ns.
template<typename F>
double
MeanNanoseconds(int aRuns, const F& aRun)
{
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < aRuns; ++i) {
    aRun(i);
  }
  const std::chrono::duration<double, std::nano> passed =
    std::chrono::steady_clock::now() - start;
  return passed.count() / aRuns;
}

void
MeasureCost()
{
  for (const std::size_t count : { 20, 100, 600 }) {
    const std::string engines = "engines=" + std::to_string(count);
    const std::size_t before = HeapBytes();
    ChatPlacement placement(ZoneId("z"), RegionId("r"));
    std::vector<PlacementUpstream> upstreams(count);
    for (std::size_t i = 0; i < count; ++i) {
      upstreams[i].m_id = UpstreamId("engine-" + std::to_string(i));
      upstreams[i].m_zone = ZoneId("z");
      upstreams[i].m_region = RegionId("r");
    }
    placement.SetUpstreams(std::move(upstreams));
    for (std::size_t i = 0; i < count; ++i) {
      proto::UpstreamState state;
      state.set_upstream("engine-" + std::to_string(i));
      state.set_in_progress(5);
      state.set_window(10);
      placement.OnUpstreamState(state);
    }
    Print("decision_memory_view",
          engines,
          static_cast<double>(HeapBytes() - before),
          "B");
    std::size_t sink = 0;
    const double rank = MeanNanoseconds(5'000, [&](int aRun) {
      sink +=
        placement
          .Rank(
            { CustomerId("c"), ServiceId("s"), ChatId(std::to_string(aRun)) })
          .size();
    });
    Print("decision_cost_rank", engines, sink == 0 ? 0 : rank, "ns");
  }
  for (const std::uint32_t permits : { 5, 95 }) {
    const Time now(std::chrono::hours(1));
    OwnerActions actions;
    UpstreamOwner owner(UpstreamId("e"), {}, 1, false, {}, now);
    owner.OnHandover(now, actions);
    owner.OnMeanLoad(200, now, actions);
    proto::PermitRequest request;
    request.set_customer("c");
    const auto requestPermit = [&](int aId) {
      request.set_request_id(static_cast<std::uint64_t>(aId));
      owner.OnPermitRequest(DaemonId("d"), request, now, actions);
      actions.clear();
    };
    for (std::uint32_t i = 0; i < permits; ++i) {
      requestPermit(1'000'000 + static_cast<int>(i));
    }
    proto::PermitRelease release;
    const double cost = MeanNanoseconds(4'000, [&](int aRun) {
      requestPermit(aRun);
      release.set_request_id(static_cast<std::uint64_t>(aRun));
      owner.OnRelease(DaemonId("d"), release, now, actions);
      actions.clear();
    });
    Print("decision_cost_grant_and_release",
          "permits=" + std::to_string(permits),
          cost,
          "ns");
  }
  const HintSigner signer({ "key" });
  const ChatKey chat{ CustomerId("c"), ServiceId("s"), ChatId("x") };
  const WallTime now(std::chrono::hours(24 * 365 * 56));
  const std::string hint = signer.Encode(chat, UpstreamId("engine-1"), now);
  std::size_t valid = 0;
  const double verify = MeanNanoseconds(5'000, [&](int /*aRun*/) {
    valid += signer.Verify(hint, chat, now) ? 1 : 0;
  });
  Print("decision_cost_hint_verify", "one_key", valid == 0 ? 0 : verify, "ns");
}

} // namespace
} // namespace walnutwing::bench

int
main()
{
  using namespace walnutwing::bench;
  std::printf("measure,variant,value,unit\n");
  Print("seed", "placement_bench", static_cast<double>(kSeed), "seed");
  MeasureCost();
  for (const FleetSize& size :
       { WaterFleet(), HamasakiFleet(), LargeFleet() }) {
    MeasureCacheReuseByBound(size);
    MeasureCacheReuse(size);
    MeasureSkew(size);
    MeasureZoneOutAndReturn(size);
    MeasureUnannouncedCold(size);
  }
  return 0;
}
