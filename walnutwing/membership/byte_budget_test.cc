#include "walnutwing/membership/byte_budget.h"

#include <random>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

constexpr Time kStart{};

TEST(ByteBudget, LessImportantClassesAreRefusedFirst)
{
  ByteBudget budget({ 100, 1000, 20, 50 }, kStart);
  EXPECT_EQ(500U, budget.Available(Traffic::Gossip, kStart));
  EXPECT_FALSE(budget.TrySpend(Traffic::Gossip, 501, kStart));
  EXPECT_TRUE(budget.TrySpend(Traffic::Gossip, 500, kStart));
  EXPECT_FALSE(budget.TrySpend(Traffic::Gossip, 1, kStart));
  EXPECT_TRUE(budget.TrySpend(Traffic::Permit, 300, kStart));
  EXPECT_FALSE(budget.TrySpend(Traffic::Permit, 1, kStart));
  EXPECT_TRUE(budget.TrySpend(Traffic::Probe, 200, kStart));
  EXPECT_FALSE(budget.TrySpend(Traffic::Probe, 1, kStart));
  EXPECT_EQ(1000U, budget.SpentBytes());
  EXPECT_EQ(4U, budget.RefusedSpends());
  EXPECT_EQ(50U, budget.Available(Traffic::Probe, kStart + Duration(500)));
  EXPECT_EQ(1000U, budget.Available(Traffic::Probe, kStart + Duration(999999)));
}

TEST(ByteBudget, RandomSpendsNeverExceedRateAndBurst)
{
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    std::mt19937_64 random(seed);
    ByteBudget budget({ 333, 700, 10, 30 }, kStart);
    Time now = kStart;
    for (int i = 0; i < 500; ++i) {
      now += Duration(random() % 40);
      budget.TrySpend(static_cast<Traffic>(random() % 3), random() % 60, now);
      const auto elapsed = static_cast<std::uint64_t>((now - kStart).count());
      ASSERT_LE(budget.SpentBytes(), 700 + elapsed * 333 / 1000);
    }
  }
}

} // namespace
} // namespace walnutwing
