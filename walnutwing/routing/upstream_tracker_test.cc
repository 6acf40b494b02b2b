#include "walnutwing/routing/upstream_tracker.h"

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

using std::chrono::milliseconds;

class UpstreamTrackerTest : public testing::Test
{
protected:
  void AdvanceMs(int aMs) { m_clock.Advance(milliseconds(aMs)); }
  Time Now() const { return m_clock.Now(); }
  void SendAndEnd(SendOutcome aOutcome)
  {
    m_tracker.OnSent(Now());
    m_tracker.OnBytesReceived(Now());
    m_tracker.OnEnded(aOutcome, Now());
  }

  PausedClock m_clock;
  UpstreamTracker m_tracker;
};

TEST_F(UpstreamTrackerTest, LoadIsOwnRequestsPlusOthersFromTheLastReport)
{
  m_tracker.OnSent(Now());
  m_tracker.OnSent(Now());
  m_tracker.OnLoadReport({ 5, 1, 8 }, Now());
  EXPECT_DOUBLE_EQ(6, m_tracker.Load(0, Now()));
  m_tracker.OnSent(Now());
  EXPECT_DOUBLE_EQ(7, m_tracker.Load(0, Now()));
}

// Without new reports, the estimate approaches the mean of the service instead
// of zero.
TEST_F(UpstreamTrackerTest, OldReportIsReplacedByTheMean)
{
  m_tracker.OnLoadReport({ 8, 0, 8 }, Now());
  EXPECT_DOUBLE_EQ(8, m_tracker.Load(4, Now()));
  AdvanceMs(1500);
  EXPECT_DOUBLE_EQ(6, m_tracker.Load(4, Now()));
  AdvanceMs(60'000);
  EXPECT_NEAR(4, m_tracker.Load(4, Now()), 0.01);
  EXPECT_FALSE(m_tracker.OtherDaemonsLoad(Now()));
}

TEST_F(UpstreamTrackerTest, UnreachableUpstreamIsRetriedWithExponentialBackoff)
{
  const int waits[] = { 250, 500, 1000, 2000, 2000 };
  for (const int wait : waits) {
    m_tracker.OnConnectFailed(Now());
    AdvanceMs(wait - 1);
    EXPECT_FALSE(m_tracker.Reachable(Now())) << wait;
    AdvanceMs(1);
    EXPECT_TRUE(m_tracker.Reachable(Now())) << wait;
  }
  SendAndEnd(SendOutcome::Answered);
  m_tracker.OnConnectFailed(Now());
  AdvanceMs(250);
  EXPECT_TRUE(m_tracker.Reachable(Now()));
}

TEST_F(UpstreamTrackerTest, SilentUpstreamIsNotReachable)
{
  m_tracker.OnSent(Now());
  m_tracker.OnSent(Now());
  AdvanceMs(500);
  m_tracker.OnBytesReceived(Now()); // of the response to one of them
  AdvanceMs(600);
  EXPECT_TRUE(m_tracker.Reachable(Now()));
  AdvanceMs(1);
  EXPECT_FALSE(m_tracker.Reachable(Now()));
  m_tracker.OnBytesReceived(Now());
  EXPECT_TRUE(m_tracker.Reachable(Now()));
}

// Callers abandon their requests at a silent upstream one by one. That must not
// make it reachable again (the partitioned zone of vpm inc-56f0).
TEST_F(UpstreamTrackerTest, SilentUpstreamStaysUnreachableWhenItsCallersLeave)
{
  m_tracker.OnSent(Now());
  AdvanceMs(2000);
  m_tracker.OnEnded(SendOutcome::Abandoned, Now());
  EXPECT_FALSE(m_tracker.Reachable(Now()));
  AdvanceMs(249);
  EXPECT_FALSE(m_tracker.Reachable(Now()));
  AdvanceMs(1);
  EXPECT_TRUE(m_tracker.Reachable(Now()));
}

TEST_F(UpstreamTrackerTest, FailureRateFollowsOutcomesAndDecaysWithTime)
{
  for (int i = 0; i < 30; ++i) {
    SendAndEnd(SendOutcome::Failed);
  }
  EXPECT_GT(m_tracker.FailureRate(Now()), 0.95);
  AdvanceMs(2500);
  EXPECT_NEAR(0.5, m_tracker.FailureRate(Now()), 0.03);
  for (int i = 0; i < 30; ++i) {
    SendAndEnd(SendOutcome::Answered);
  }
  EXPECT_LT(m_tracker.FailureRate(Now()), 0.01);
}

TEST_F(UpstreamTrackerTest, AbandonedRequestsDoNotChangeTheFailureRate)
{
  SendAndEnd(SendOutcome::Abandoned);
  EXPECT_DOUBLE_EQ(0, m_tracker.FailureRate(Now()));
  EXPECT_EQ(0U, m_tracker.InFlight());
}

TEST_F(UpstreamTrackerTest, RefusalExpiresAfter150Ms)
{
  m_tracker.OnSent(Now());
  m_tracker.OnBytesReceived(Now());
  m_tracker.OnEnded(SendOutcome::Refused, Now());
  EXPECT_TRUE(m_tracker.RecentlyRefused(Now()));
  AdvanceMs(150);
  EXPECT_FALSE(m_tracker.RecentlyRefused(Now()));
}

} // namespace
} // namespace walnutwing
