#include "router/standstill.h"

#include <gtest/gtest.h>

namespace walnutwing::router {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(200);

TEST(Standstill, IsNotSeenWhileTicksComeInTime)
{
  Standstill standstill;
  Duration now(100'000);
  standstill.OnTick(now);
  now += Standstill::kCatchUpTime;
  standstill.OnTick(now);
  for (int i = 0; i < 10; ++i) {
    now += kTickInterval;
    EXPECT_FALSE(standstill.IsCatchingUp(now));
    standstill.OnTick(now);
  }
}

// Guards against old messages that are taken for new ones after the process has
// stood still, before and after the first tick.
TEST(Standstill, LastsUntilWhatHasWaitedIsRead)
{
  Standstill standstill;
  Duration now(100'000);
  standstill.OnTick(now);
  now += Standstill::kMaxGap + Duration(1);
  EXPECT_TRUE(standstill.IsCatchingUp(now));
  standstill.OnTick(now);
  EXPECT_TRUE(standstill.IsCatchingUp(now));
  now += kTickInterval;
  standstill.OnTick(now);
  EXPECT_TRUE(standstill.IsCatchingUp(now));
  now += Standstill::kCatchUpTime - kTickInterval;
  EXPECT_FALSE(standstill.IsCatchingUp(now));
}

} // namespace
} // namespace walnutwing::router
