#include "router/store_pace.h"

#include <gtest/gtest.h>

namespace walnutwing::router {
namespace {

using std::chrono::milliseconds;

// For any bound, a change is known within it with a reserve for one more read,
// even if the hub has just lost the store, and the state of a healthy hub is
// always recent enough to be relied on.
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
