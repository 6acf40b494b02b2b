#include "router/store_pace.h"

#include <gtest/gtest.h>

namespace walnutwing::router {
namespace {

using std::chrono::milliseconds;

// Whatever the bounds of an installation are: a change is known within its
// bound, with room for one more read, also through a hub that has lost the
// store, and healthy hubs are young enough to be believed.
TEST(StoreTiming, DetectsChangesWithinAnyTimeLimit)
{
  for (const int bound : { 500, 1000, 2000, 3000, 10'000 }) {
    RouterSettings settings;
    settings.m_configLimit = milliseconds(bound);
    settings.m_drainLimit = milliseconds(bound);
    for (const TopicTiming& timing :
         { OperatorTopicTiming(settings), UpstreamTopicTiming(settings) }) {
      EXPECT_LE(timing.m_maxAge + timing.m_relyDuration,
                milliseconds(bound * 9 / 10));
      EXPECT_LT(timing.m_wait + timing.m_interval, timing.m_maxAge);
      EXPECT_LE(timing.m_wait + timing.m_interval, milliseconds(bound / 2));
    }
  }
}

TEST(StoreTiming, HasExpectedTimesForTwoSecondLimits)
{
  RouterSettings settings;
  settings.m_configLimit = milliseconds(2000);
  settings.m_drainLimit = milliseconds(2000);
  EXPECT_EQ(milliseconds(900), OperatorTopicTiming(settings).m_wait);
  EXPECT_EQ(milliseconds(1200), OperatorTopicTiming(settings).m_maxAge);
  EXPECT_EQ(milliseconds(440), UpstreamTopicTiming(settings).m_interval);
  EXPECT_EQ(milliseconds(1000), UpstreamTopicTiming(settings).m_maxAge);
}

} // namespace
} // namespace walnutwing::router
