#include "walnutwing/rollout/version_judge.h"

#include <gtest/gtest.h>

#include "walnutwing/rollout/rollout_schedule.h"

namespace walnutwing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class VersionJudgeTest : public testing::Test
{
protected:
  // Answers arrive since the last Update. aUpstream: of the bad ones.
  void Old(std::uint64_t aAnswers, std::uint64_t aFailed)
  {
    m_sums.m_routes[""].m_old.m_answers += aAnswers;
    m_sums.m_routes[""].m_old.m_failed += aFailed;
  }
  void New(std::uint64_t aAnswers,
           std::uint64_t aFailed,
           const char* aUpstream = "n1")
  {
    m_sums.m_routes[""].m_new.m_answers += aAnswers;
    m_sums.m_routes[""].m_new.m_failed += aFailed;
    m_sums.m_badByUpstream[UpstreamId(aUpstream)] += aFailed;
  }
  bool IsBad()
  {
    m_clock.Advance(milliseconds(200));
    return m_judge.Update(m_sums, 4, false, m_clock.Now()).has_value();
  }

  PausedClock m_clock;
  EvidenceSums m_sums;
  VersionJudge m_judge;
};

// Long before the 50th bad answer.
TEST_F(VersionJudgeTest, FindsABadVersionAfterAFewAnswers)
{
  Old(400, 0);
  New(1, 1, "n2");
  New(5, 2);
  EXPECT_FALSE(IsBad());
  New(6, 3, "n2");
  EXPECT_TRUE(IsBad());
}

// A single upstream may have a fault of its own; but a version may be bad for
// requests that only one upstream gets.
TEST_F(VersionJudgeTest, BadAnswersOfOneUpstreamMustBeMany)
{
  Old(400, 0);
  New(19, 19);
  EXPECT_FALSE(IsBad());
  New(1, 1);
  EXPECT_TRUE(IsBad());
}

// The old version's failures begin at the same moment.
TEST_F(VersionJudgeTest, AServiceThatFailsCondemnsNothing)
{
  for (int i = 0; i < 50; ++i) {
    Old(40, i < 10 ? 0 : 30);
    New(2, i < 10 ? 0 : 1, "n1");
    New(2, i < 10 ? 0 : 2, "n2");
    EXPECT_FALSE(IsBad());
  }
}

// A router is silent and comes back with all its counts: none counts twice.
TEST_F(VersionJudgeTest, CountsThatFallAndRiseAgainAreNoEvidence)
{
  for (int i = 0; i < 100; ++i) {
    Old(100, 1);
    New(20, 0);
    EXPECT_FALSE(IsBad());
  }
  New(4, 2, "n1");
  New(4, 2, "n2");
  EXPECT_FALSE(IsBad());
  for (int i = 0; i < 20; ++i) {
    const EvidenceSums all = m_sums;
    m_sums.m_routes[""].m_new.m_answers -= 8;
    m_sums.m_routes[""].m_new.m_failed -= 4;
    EXPECT_FALSE(IsBad());
    m_sums = all;
    EXPECT_FALSE(IsBad());
  }
}

// All stages must fit, and the end must leave time to drain.
TEST(RolloutSchedule, StagesFitIntoTheDuration)
{
  for (const int duration : { 1, 10, 20, 60, 3600, 86400 }) {
    for (const int longest : { 0, 1, 10, 60 }) {
      const Duration whole = seconds(duration);
      const RolloutTimes times = PlanRollout(whole, seconds(longest));
      EXPECT_GE(times.m_surge, whole * 0.3);
      EXPECT_LT(times.m_surge, times.m_switch);
      EXPECT_LT(times.m_switch, times.m_drain);
      EXPECT_LE(times.m_drain, whole * 0.85);
    }
  }
}

// An upstream of the new version gets no more than an old one.
TEST(RolloutSchedule, FocusGivesEachNewUpstreamTheLoadOfAnOldOne)
{
  RolloutFleetView view;
  view.m_oldSlots = 80;
  view.m_newWarmSlots = 80;
  view.m_newUpstreams = 10;
  EXPECT_EQ(FocusOf(view, 0.2, 1), 3U); // a fifth for 10 / 4
  EXPECT_EQ(FocusOf(view, 0.05, 2), 2U);
  EXPECT_EQ(FocusOf(view, 0.5, 1), 0U); // all
  EXPECT_EQ(CapacityShare(view, false), 1);
  view.m_newWarmSlots = 40;
  EXPECT_EQ(CapacityShare(view, false), 0.5);
  EXPECT_EQ(CapacityShare(view, true), 1);
}

} // namespace
} // namespace walnutwing
