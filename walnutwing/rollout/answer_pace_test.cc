#include "walnutwing/rollout/answer_pace.h"

#include <gtest/gtest.h>

#include "walnutwing/rollout/recent_sends.h"

namespace walnutwing {
namespace {

using std::chrono::milliseconds;

RolloutAnswer
Stream(int aFirstMs, int aTotalMs, PromptClass aClass = 4)
{
  RolloutAnswer answer;
  answer.m_service = ServiceId("chat");
  answer.m_route = "short";
  answer.m_promptClass = aClass;
  answer.m_firstByte = milliseconds(aFirstMs);
  answer.m_total = milliseconds(aTotalMs);
  answer.m_events = 11;
  return answer;
}

// Slow answers are found by either part, and small delays are none.
TEST(AnswerPace, ComparesWithTheMedianOfTheSameClass)
{
  AnswerPace pace;
  EXPECT_EQ(pace.IsSlow(Stream(100, 300), true), std::nullopt);
  for (int i = 0; i < 8; ++i) {
    pace.Learn(Stream(100 + i, 300), true);
    pace.Learn(Stream(5, 15, 1), true);
  }
  EXPECT_EQ(pace.IsSlow(Stream(200, 400), true), false);
  EXPECT_EQ(pace.IsSlow(Stream(300, 500), true), true);
  EXPECT_EQ(pace.IsSlow(Stream(100, 700), true), true);
  EXPECT_EQ(pace.IsSlow(Stream(20, 40, 1), true), false);
  EXPECT_EQ(pace.IsSlow(Stream(300, 500, 9), true), std::nullopt);
}

// Cold upstreams and cold caches delay only the first byte, at any version.
TEST(AnswerPace, IgnoresTheFirstByteOfColdUpstreamsAndCaches)
{
  AnswerPace pace;
  for (int i = 0; i < 8; ++i) {
    pace.Learn(Stream(100, 300), true);
  }
  RolloutAnswer cold = Stream(900, 1100);
  EXPECT_EQ(pace.IsSlow(cold, false), false);
  cold.m_cold = true;
  EXPECT_EQ(pace.IsSlow(cold, true), false);
  cold.m_failed = true;
  EXPECT_EQ(pace.IsSlow(cold, true), std::nullopt);
}

// A part counts as cached some time after its first request, and not for ever.
TEST(RecentSends, KnowsWhatUpstreamsHaveRead)
{
  PausedClock clock;
  RecentSends sends;
  const UpstreamId upstream("e1");
  const auto send = [&] {
    const bool read = sends.HadRead(upstream, 5, clock.Now());
    sends.OnSent(upstream, 5, clock.Now());
    return read;
  };
  EXPECT_FALSE(send());
  clock.Advance(milliseconds(500));
  EXPECT_FALSE(send());
  clock.Advance(milliseconds(500));
  EXPECT_TRUE(send());
  EXPECT_FALSE(sends.HadRead(UpstreamId("e2"), 5, clock.Now()));
  EXPECT_TRUE(sends.HadRead(upstream, 0, clock.Now()));
  clock.Advance(milliseconds(10001));
  sends.OnSent(upstream, 5, clock.Now());
  EXPECT_FALSE(sends.HadRead(upstream, 5, clock.Now()));
}

} // namespace
} // namespace walnutwing
