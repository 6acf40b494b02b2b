#include "walnutwing/routing/stale_load_draw.h"

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

using Shares = std::vector<double>;

TEST(StaleLoadDraw, FillsTheLowestPlacesToOneLevel)
{
  EXPECT_EQ((Shares{ 1, 0, 0 }), SharesOfArrivals({ 1, 3, 9 }, 0));
  EXPECT_EQ((Shares{ 1, 0, 0 }), SharesOfArrivals({ 1, 3, 9 }, 2));
  EXPECT_EQ((Shares{ 0.75, 0.25, 0 }), SharesOfArrivals({ 1, 3, 9 }, 4));
  EXPECT_EQ((Shares{ 0.5, 0.5 }), SharesOfArrivals({ -2, -2 }, 8));
  EXPECT_EQ((Shares{ 1 }), SharesOfArrivals({ 7 }, 100));
}

// Guards against herding: with many arrivals since the count all get some.
TEST(StaleLoadDraw, DrawsByShares)
{
  StaleLoadDraw draw(1);
  std::vector<int> drawn(3);
  for (int i = 0; i < 10'000; ++i) {
    ++drawn[draw.Draw({ 0, 2, 4 }, 24)]; // 10, 8 and 6 of 24
  }
  EXPECT_NEAR(10'000 * 10.0 / 24, drawn[0], 20);
  EXPECT_NEAR(10'000 * 8.0 / 24, drawn[1], 20);
  EXPECT_NEAR(10'000 * 6.0 / 24, drawn[2], 20);
  EXPECT_EQ(0U, draw.Draw({ 0, 2, 4 }, 0));
}

} // namespace
} // namespace walnutwing
