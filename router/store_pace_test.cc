#include "router/store_pace.h"

#include <gtest/gtest.h>

namespace walnutwing::router {
namespace {

using std::chrono::milliseconds;

// Whatever the bounds of an installation are: a change is known within its
// bound, with room for one more read, also through a hub that has lost the
// store, and healthy hubs are young enough to be believed.
TEST(StorePace, KeepsWithinAnyBound)
{
  for (const int bound : { 500, 1000, 2000, 3000, 10'000 }) {
    RouterSettings settings;
    settings.m_configLimit = milliseconds(bound);
    settings.m_drainLimit = milliseconds(bound);
    for (const TopicPace& pace :
         { OperatorPace(settings), UpstreamPace(settings) }) {
      EXPECT_LE(pace.m_oldest + pace.m_relyFor, milliseconds(bound * 9 / 10));
      EXPECT_LT(pace.m_wait + pace.m_interval, pace.m_oldest);
      EXPECT_LE(pace.m_wait + pace.m_interval, milliseconds(bound / 2));
    }
  }
}

TEST(StorePace, IsThatOfTheUsersSites)
{
  RouterSettings settings;
  settings.m_configLimit = milliseconds(2000);
  settings.m_drainLimit = milliseconds(2000);
  EXPECT_EQ(milliseconds(900), OperatorPace(settings).m_wait);
  EXPECT_EQ(milliseconds(1200), OperatorPace(settings).m_oldest);
  EXPECT_EQ(milliseconds(440), UpstreamPace(settings).m_interval);
  EXPECT_EQ(milliseconds(1000), UpstreamPace(settings).m_oldest);
}

} // namespace
} // namespace walnutwing::router
