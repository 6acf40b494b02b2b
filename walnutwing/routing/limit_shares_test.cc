#include "walnutwing/routing/limit_shares.h"

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

using Limits = std::vector<std::optional<double>>;

// The requests a second that each upstream gets by these weights.
std::vector<double>
Shares(const std::vector<double>& aWeights, double aDemand)
{
  double sum = 0;
  for (const double weight : aWeights) {
    sum += weight;
  }
  std::vector<double> shares;
  shares.reserve(aWeights.size());
  for (const double weight : aWeights) {
    shares.push_back(aDemand * weight / sum);
  }
  return shares;
}

TEST(LimitShares, WithoutLimitsAllAreEqual)
{
  const std::vector<double> demands{ 30 };
  EXPECT_EQ((std::vector<double>{ 1, 1, 1 }), LimitWeights(Limits(3), demands));
}

TEST(LimitShares, LimitAboveTheEqualShareDoesNotMatter)
{
  const std::vector<double> demands{ 30 };
  EXPECT_EQ((std::vector<double>{ 1, 1, 1 }),
            LimitWeights(Limits{ 12, std::nullopt, std::nullopt }, demands));
}

TEST(LimitShares, OthersTakeWhatALimitedUpstreamDoesNot)
{
  const std::vector<double> demands{ 60 };
  const Limits limits{ 10, 2, std::nullopt, std::nullopt };
  const std::vector<double> shares = Shares(LimitWeights(limits, demands), 60);
  EXPECT_NEAR(9, shares[0], 0.01);
  EXPECT_NEAR(1.8, shares[1], 0.01);
  EXPECT_NEAR(24.6, shares[2], 0.01);
  EXPECT_NEAR(24.6, shares[3], 0.01);
}

// Pattern: long prompts stay where they are cached; short ones move.
TEST(LimitShares, LargestPromptsHaveTheLimitFirst)
{
  const Limits limits{ 4, 4, std::nullopt };
  const std::vector<double> large{ 6 };
  EXPECT_EQ((std::vector<double>{ 1, 1, 1 }), LimitWeights(limits, large));
  const std::vector<double> both{ 6, 9 };
  const std::vector<double> shares = Shares(LimitWeights(limits, both), 9);
  EXPECT_NEAR(1.6, shares[0], 0.01);
  EXPECT_NEAR(1.6, shares[1], 0.01);
  EXPECT_NEAR(5.8, shares[2], 0.01);
}

TEST(LimitShares, AllLimitedShareInProportionToWhatTheyTake)
{
  const std::vector<double> demands{ 100 };
  const std::vector<double> weights = LimitWeights(Limits{ 1, 2, 4 }, demands);
  EXPECT_NEAR(0.25, weights[0], 0.001);
  EXPECT_NEAR(0.5, weights[1], 0.001);
  EXPECT_NEAR(1, weights[2], 0.001);
}

TEST(LimitShares, WeightsAreAlwaysPositive)
{
  const std::vector<double> demands{ 0, 100, 0, 50 };
  for (const double weight :
       LimitWeights(Limits{ 0, 3, std::nullopt }, demands)) {
    EXPECT_GT(weight, 0);
    EXPECT_LE(weight, 1);
  }
  EXPECT_TRUE(LimitWeights(Limits(), demands).empty());
}

} // namespace
} // namespace walnutwing
