// Faults of a whole fleet in virtual time. Each bound is a product target or
// follows from the owner's options.

#include "bench/fleet_driver.h"

#include <algorithm>
#include <cmath>

#include <gtest/gtest.h>

namespace walnutwing::bench {
namespace {

using std::chrono::seconds;

constexpr Duration kWarmUp = seconds(120);
constexpr std::size_t kWarmUpSeconds = 120;

FleetOptions
MakeOptions()
{
  FleetOptions options;
  options.m_seed = 7;
  options.m_owner.m_slots = 15;
  return options;
}

// Sums a field over aLength seconds, starting at second aFirst.
std::uint64_t
Sum(const FleetDriver& aDriver,
    std::uint64_t FleetSecondStats::*aField,
    std::size_t aFirst,
    std::size_t aLength)
{
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i < aLength; ++i) {
    sum += aDriver.Seconds().at(aFirst + i).*aField;
  }
  return sum;
}

TEST(FleetFaults, ZoneOutGetsNoRequestsAfterThreeSecondsAndLosesNone)
{
  FleetDriver driver(MakeOptions());
  driver.RunTo(kWarmUp);
  driver.TakeZoneOut(0);
  driver.RunTo(kWarmUp + seconds(60));
  EXPECT_EQ(
    0U,
    Sum(driver, &FleetSecondStats::m_startedInZoneOut, kWarmUpSeconds + 3, 57));
  EXPECT_EQ(0U, Sum(driver, &FleetSecondStats::m_lost, kWarmUpSeconds, 60));
  EXPECT_EQ(0U, Sum(driver, &FleetSecondStats::m_refused, kWarmUpSeconds, 60));
}

TEST(FleetFaults, ReturningZoneStaysWithinColdSlots)
{
  FleetDriver driver(MakeOptions());
  driver.RunTo(kWarmUp);
  driver.TakeZoneOut(1);
  driver.RunTo(kWarmUp + seconds(30));
  driver.BringZoneBack(1);
  driver.RunTo(kWarmUp + seconds(90));
  EXPECT_EQ(
    0U, Sum(driver, &FleetSecondStats::m_coldExcess, kWarmUpSeconds + 30, 60));
  EXPECT_EQ(0U, Sum(driver, &FleetSecondStats::m_refused, kWarmUpSeconds, 90));
}

TEST(FleetFaults, EnginesTurnedColdStayWithinColdSlotsOnceReportsArrive)
{
  FleetDriver driver(MakeOptions());
  driver.RunTo(kWarmUp);
  driver.TurnCold(1.0);
  driver.RunTo(kWarmUp + seconds(20));
  // Load reports are sampled each second and arrive one second later.
  EXPECT_EQ(
    0U, Sum(driver, &FleetSecondStats::m_coldExcess, kWarmUpSeconds + 3, 17));
}

struct Fault
{
  const char* m_name;
  void (*m_begin)(FleetDriver&);
  void (*m_end)(FleetDriver&);
  bool m_loadReports;
};

// When two daemons believe that they own an engine, it runs at most two windows
// of requests and none is lost. While load reports arrive, none is refused
// either. Without reports each owner counts only its own part of the load, so
// that the known mean and the window are too small and requests are refused as
// not run.
TEST(FleetFaults, TwoOwnersKeepLoadWithinTwoWindows)
{
  const Fault faults[] = {
    { "views differ",
      [](FleetDriver& aDriver) { aDriver.SetViewsSplit(true); },
      [](FleetDriver& aDriver) { aDriver.SetViewsSplit(false); },
      true },
    { "views differ and reports stop",
      [](FleetDriver& aDriver) { aDriver.SetViewsSplit(true); },
      [](FleetDriver& aDriver) { aDriver.SetViewsSplit(false); },
      false },
    { "owner frozen, then resumed",
      [](FleetDriver& aDriver) { aDriver.SetOneDaemonFrozen(true); },
      [](FleetDriver& aDriver) { aDriver.SetOneDaemonFrozen(false); },
      true },
  };
  for (const Fault& fault : faults) {
    FleetOptions options = MakeOptions();
    options.m_loadReports = fault.m_loadReports;
    FleetDriver driver(options);
    driver.RunTo(kWarmUp);
    fault.m_begin(driver);
    driver.RunTo(kWarmUp + seconds(30));
    fault.m_end(driver);
    driver.RunTo(kWarmUp + seconds(60));
    double largestMean = 0;
    for (const FleetSecondStats& second : driver.Seconds()) {
      largestMean = std::max(largestMean, second.m_meanRunning);
    }
    const double window = std::ceil(largestMean * 1.25);
    for (std::size_t i = kWarmUpSeconds; i < kWarmUpSeconds + 60; ++i) {
      EXPECT_LE(driver.Seconds().at(i).m_maxRunning, 2 * window)
        << fault.m_name << " second " << i;
    }
    EXPECT_EQ(0U, Sum(driver, &FleetSecondStats::m_lost, kWarmUpSeconds, 60))
      << fault.m_name;
    if (fault.m_loadReports) {
      EXPECT_EQ(0U,
                Sum(driver, &FleetSecondStats::m_refused, kWarmUpSeconds, 60))
        << fault.m_name;
    }
  }
}

TEST(FleetFaults, SameSeedGivesSameResult)
{
  std::uint64_t started[2] = {};
  for (std::uint64_t& count : started) {
    FleetOptions options = MakeOptions();
    options.m_daemonReplacementInterval = seconds(20);
    options.m_engineReplacementInterval = seconds(30);
    FleetDriver driver(options);
    driver.RunTo(kWarmUp);
    count = Sum(driver, &FleetSecondStats::m_started, 0, kWarmUpSeconds);
  }
  EXPECT_EQ(started[0], started[1]);
  EXPECT_GT(started[0], 0U);
}

} // namespace
} // namespace walnutwing::bench
