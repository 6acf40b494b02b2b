// Which calls a fault applies to, and what a lagging VM list returns.

#include "standin/platform_faults.h"

#include <gtest/gtest.h>

#include "standin/vm_list.h"

namespace walnutwing::standin {
namespace {

TEST(PlatformFaults, ApplyOnlyWithinTheirScope)
{
  struct Case
  {
    const char* m_description;
    PlatformFault m_kind;
    const char* m_stream;
    const char* m_zone;
    int m_elapsedMs;
    bool m_applies;
  };
  constexpr Case kCases[] = {
    { "in scope", PlatformFault::Down, "orders", "a", 0, true },
    { "another kind", PlatformFault::Slow, "orders", "a", 0, false },
    { "another stream", PlatformFault::Down, "config", "a", 0, false },
    { "another zone", PlatformFault::Down, "orders", "b", 0, false },
    { "not a log call", PlatformFault::Down, "", "a", 0, false },
    { "last millisecond", PlatformFault::Down, "orders", "a", 99, true },
    { "at the end", PlatformFault::Down, "orders", "a", 100, false },
  };
  for (const Case& test : kCases) {
    PausedClock clock;
    PlatformFaults faults;
    ActiveFault fault;
    fault.m_kind = PlatformFault::Down;
    fault.m_until = clock.Now() + Duration(100);
    fault.m_stream = "orders";
    fault.m_zone = "a";
    faults.Add(fault);
    clock.Advance(Duration(test.m_elapsedMs));
    EXPECT_EQ(
      faults.TakeFault(test.m_kind, test.m_stream, test.m_zone, clock.Now())
        .has_value(),
      test.m_applies)
      << test.m_description;
  }
}

TEST(PlatformFaults, EndAfterTheirCountOrWhenCleared)
{
  const PausedClock clock;
  PlatformFaults faults;
  ActiveFault twice;
  twice.m_kind = PlatformFault::LoseAnswers;
  twice.m_remainingCalls = 2;
  faults.Add(twice);
  const auto hit = [&] {
    return faults.TakeFault(PlatformFault::LoseAnswers, "s", "z", clock.Now())
      .has_value();
  };
  EXPECT_TRUE(hit());
  EXPECT_TRUE(hit());
  EXPECT_FALSE(hit());
  faults.Add(twice);
  faults.Clear();
  EXPECT_FALSE(hit());
}

TEST(PlatformFaults, AreParsedFromTheirNames)
{
  for (const char* name : { "down", "slow", "lose_answers", "late", "stale" }) {
    EXPECT_TRUE(ParsePlatformFault(name)) << name;
  }
  EXPECT_FALSE(ParsePlatformFault("none"));
  EXPECT_FALSE(ParsePlatformFault(""));
}

TEST(VmList, LaggedListIsOlderByTheLag)
{
  PausedClock clock;
  VmList list(Duration(100));
  proto::VmEntry entry;
  entry.set_id("e1");
  list.Put(entry, clock.WallNow());
  EXPECT_EQ(list.LaggedList(clock.WallNow()).vms_size(), 0);
  clock.Advance(Duration(60));
  entry.set_leaving(true);
  list.Put(entry, clock.WallNow());
  clock.Advance(Duration(40));
  ASSERT_EQ(list.LaggedList(clock.WallNow()).vms_size(), 1);
  EXPECT_FALSE(list.LaggedList(clock.WallNow()).vms(0).leaving());
  clock.Advance(Duration(60));
  EXPECT_TRUE(list.LaggedList(clock.WallNow()).vms(0).leaving());
  list.Remove("e1", clock.WallNow());
  EXPECT_EQ(list.LaggedList(clock.WallNow()).vms_size(), 1);
  clock.Advance(Duration(100));
  EXPECT_EQ(list.LaggedList(clock.WallNow()).vms_size(), 0);
}

} // namespace
} // namespace walnutwing::standin
