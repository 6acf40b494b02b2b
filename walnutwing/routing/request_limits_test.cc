#include "walnutwing/routing/request_limits.h"

#include <limits>
#include <stdexcept>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

constexpr std::uint32_t kUpstream = 7;

class RequestLimitsTest : public testing::Test
{
protected:
  void Advance(int aMs) { m_now += Duration(aMs); }

  Time m_now{ std::chrono::hours(1) };
  RequestLimits m_limits;
};

TEST_F(RequestLimitsTest, HoldsAsLongAsResponsesStateIt)
{
  EXPECT_FALSE(m_limits.OnResponse(kUpstream, std::nullopt, m_now, m_now));
  const Time before = m_now;
  Advance(10);
  EXPECT_TRUE(m_limits.OnResponse(kUpstream, 2.5, before, m_now));
  EXPECT_FALSE(m_limits.OnResponse(kUpstream, 2.5, before, m_now));
  // The response to a request that was sent before says nothing newer.
  EXPECT_FALSE(m_limits.OnResponse(kUpstream, std::nullopt, before, m_now));
  EXPECT_EQ(2.5, m_limits.LimitOf(kUpstream, m_now));
  Advance(10);
  EXPECT_TRUE(m_limits.OnResponse(kUpstream, std::nullopt, m_now, m_now));
  EXPECT_EQ(std::nullopt, m_limits.LimitOf(kUpstream, m_now));
}

// Guards against an upstream that is spared although nobody has heard of a
// limit for a long time.
TEST_F(RequestLimitsTest, EndsIfNotStatedAgain)
{
  m_limits.OnResponse(kUpstream, 3, m_now, m_now);
  Advance(9'000);
  EXPECT_EQ(3, m_limits.LimitOf(kUpstream, m_now));
  Advance(2'000);
  EXPECT_EQ(std::nullopt, m_limits.LimitOf(kUpstream, m_now));
  m_limits.DropExpired(m_now);
  EXPECT_TRUE(m_limits.News(m_now).empty());
}

TEST_F(RequestLimitsTest, NewestStatementCounts)
{
  EXPECT_TRUE(m_limits.OnStatement({ kUpstream, 3, m_now }, m_now));
  EXPECT_FALSE(
    m_limits.OnStatement({ kUpstream, 5, m_now - Duration(100) }, m_now));
  EXPECT_EQ(3, m_limits.LimitOf(kUpstream, m_now));
  Advance(10);
  EXPECT_TRUE(m_limits.OnStatement({ kUpstream, std::nullopt, m_now }, m_now));
  EXPECT_FALSE(
    m_limits.OnStatement({ kUpstream, 3, m_now - Duration(5) }, m_now));
  EXPECT_EQ(std::nullopt, m_limits.LimitOf(kUpstream, m_now));
}

// Guards against a datagram whose limit is no number: all that is computed with
// it would be none either.
TEST_F(RequestLimitsTest, RefusesStatementsThatAreNoLimit)
{
  for (const double limit : { std::numeric_limits<double>::quiet_NaN(),
                              std::numeric_limits<double>::infinity(),
                              -1.0 }) {
    EXPECT_THROW(m_limits.OnStatement({ kUpstream, limit, m_now }, m_now),
                 std::invalid_argument);
  }
  EXPECT_TRUE(m_limits.Empty());
}

// Guards against messages that repeat all limits all the time, and against
// daemons that miss one.
TEST_F(RequestLimitsTest, TellsChangesAtOnceAndWhatHoldsNowAndThen)
{
  m_limits.OnResponse(kUpstream, 3, m_now, m_now);
  int told = 0;
  int firstSecond = 0;
  for (int i = 0; i < 90; ++i) {
    Advance(100);
    m_limits.OnResponse(kUpstream, 3, m_now, m_now);
    const std::size_t news = m_limits.News(m_now).size();
    told += static_cast<int>(news);
    firstSecond += i < 10 ? static_cast<int>(news) : 0;
  }
  EXPECT_GE(firstSecond, 5);
  EXPECT_GE(told, 15);
  EXPECT_LE(told, 30);
}

} // namespace
} // namespace walnutwing
