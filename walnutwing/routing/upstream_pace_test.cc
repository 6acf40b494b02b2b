#include "walnutwing/routing/upstream_pace.h"

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

const Time kStart{ std::chrono::hours(1) };

// Guards against choices by what an upstream was like a while ago.
TEST(UpstreamPace, DecaysTowardsTheUsual)
{
  UpstreamPace pace;
  pace.OnStated(3, kStart);
  EXPECT_DOUBLE_EQ(3, pace.Value(kStart));
  EXPECT_DOUBLE_EQ(2, pace.Value(kStart + UpstreamPace::kHalfLife));
  EXPECT_DOUBLE_EQ(1.5, pace.Value(kStart + 2 * UpstreamPace::kHalfLife));
  EXPECT_NEAR(1, pace.Value(kStart + UpstreamPace::kLifetime), 1e-9);
  pace.OnStated(0.5, kStart);
  EXPECT_DOUBLE_EQ(0.75, pace.Value(kStart + UpstreamPace::kHalfLife));
}

TEST(UpstreamPace, MissingPaceIsTheUsual)
{
  UpstreamPace pace;
  EXPECT_FALSE(pace.IsStated(kStart));
  EXPECT_DOUBLE_EQ(1, pace.Value(kStart));
  pace.OnStated(2, kStart);
  EXPECT_TRUE(pace.IsStated(kStart + UpstreamPace::kLifetime));
  EXPECT_FALSE(pace.IsStated(kStart + UpstreamPace::kLifetime + Duration(1)));
}

// Guards against one absurd figure that attracts or repels every request.
TEST(UpstreamPace, IsWithinAFactorOfTheUsual)
{
  UpstreamPace pace;
  pace.OnStated(1e9, kStart);
  EXPECT_DOUBLE_EQ(UpstreamPace::kMaxFactor, pace.Value(kStart));
  pace.OnStated(1e-9, kStart);
  EXPECT_DOUBLE_EQ(1 / UpstreamPace::kMaxFactor, pace.Value(kStart));
}

TEST(PacePenalty, IsHalfOfWhatAllSlotsTakeLonger)
{
  EXPECT_DOUBLE_EQ(0, PacePenalty(1, 6));
  EXPECT_DOUBLE_EQ(4.5, PacePenalty(2.5, 6));
  EXPECT_LT(PacePenalty(0.5, 6), 0);
}

} // namespace
} // namespace walnutwing
