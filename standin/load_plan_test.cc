#include "standin/load_plan.h"

#include <map>
#include <set>
#include <stdexcept>

#include <gtest/gtest.h>

namespace walnutwing::standin {
namespace {

LoadPlanOptions
MakeOptions(LoadPattern aPattern, std::uint64_t aSeed = 1)
{
  LoadPlanOptions options;
  options.m_requestsPerSecond = 200;
  options.m_length = Duration(30'000);
  options.m_pattern = aPattern;
  options.m_seed = aSeed;
  LoadClass chat;
  chat.m_weight = 3;
  chat.m_parts = { { 500, 4 }, { 1000, 200 } };
  chat.m_uniqueTokens = 300;
  chat.m_answerTokens = 50;
  LoadClass lookup;
  lookup.m_kind = LoadKind::Lookup;
  options.m_classes = { chat, lookup };
  return options;
}

struct Thirds
{
  std::size_t m_requests[3] = {};
  std::size_t m_customer0[3] = {};
  std::map<std::uint64_t, std::size_t> m_keys[3]; // by key of the last part
};

Thirds
CountByThird(const std::vector<PlannedRequest>& aPlan)
{
  Thirds thirds;
  for (const PlannedRequest& request : aPlan) {
    const auto third = static_cast<std::size_t>(request.m_at.count() / 10'000);
    ++thirds.m_requests[third];
    thirds.m_customer0[third] += request.m_customer == 0 ? 1 : 0;
    if (!request.m_parts.empty()) {
      ++thirds.m_keys[third][request.m_parts.back().m_key];
    }
  }
  return thirds;
}

std::size_t
MaxCount(const std::map<std::uint64_t, std::size_t>& aCounts)
{
  std::size_t largest = 0;
  for (const auto& [key, count] : aCounts) {
    largest = std::max(largest, count);
  }
  return largest;
}

TEST(LoadPlan, SameSeedGivesSamePlanAndAnotherSeedAnother)
{
  const auto one = MakeLoadPlan(MakeOptions(LoadPattern::Steady, 7));
  const auto same = MakeLoadPlan(MakeOptions(LoadPattern::Steady, 7));
  const auto other = MakeLoadPlan(MakeOptions(LoadPattern::Steady, 8));
  ASSERT_EQ(one.size(), same.size());
  for (std::size_t i = 0; i < one.size(); ++i) {
    EXPECT_EQ(one[i].m_at, same[i].m_at);
    EXPECT_EQ(one[i].m_class, same[i].m_class);
    EXPECT_EQ(one[i].m_answerTokens, same[i].m_answerTokens);
  }
  EXPECT_NE(one.size(), other.size());
}

// Expects 2,000 requests per third within five standard deviations (45 each),
// or 4,000 (63 each) in the middle third if the pattern doubles the rate.
TEST(LoadPlan, PatternsChangeTheMiddleThird)
{
  for (const LoadPattern pattern : AllLoadPatterns()) {
    const Thirds thirds = CountByThird(MakeLoadPlan(MakeOptions(pattern)));
    const bool raisesRate =
      pattern == LoadPattern::Burst || pattern == LoadPattern::HotCustomer;
    EXPECT_NEAR(2000, thirds.m_requests[0], 225) << NameOf(pattern);
    EXPECT_NEAR(raisesRate ? 4000 : 2000, thirds.m_requests[1], 320)
      << NameOf(pattern);
    EXPECT_NEAR(2000, thirds.m_requests[2], 225) << NameOf(pattern);
    const double customer0Share = static_cast<double>(thirds.m_customer0[1]) /
                                  static_cast<double>(thirds.m_requests[1]);
    const double expected = pattern == LoadPattern::HotCustomer ? 0.54 : 0.083;
    EXPECT_NEAR(expected, customer0Share, 0.04) << NameOf(pattern);
    const std::size_t hottest = MaxCount(thirds.m_keys[1]);
    if (pattern == LoadPattern::HotKey) {
      EXPECT_GT(hottest, 800U);
    } else {
      EXPECT_LT(hottest, 500U) << NameOf(pattern);
    }
  }
}

TEST(LoadPlan, ClassSharesAndMeanTokensMatchOptions)
{
  const auto plan = MakeLoadPlan(MakeOptions(LoadPattern::Steady));
  std::size_t chats = 0;
  double answer = 0;
  for (const PlannedRequest& request : plan) {
    EXPECT_EQ(request.m_class == 0 ? 2U : 0U, request.m_parts.size());
    if (request.m_class == 0) {
      ++chats;
      answer += request.m_answerTokens;
    }
  }
  EXPECT_NEAR(0.75, static_cast<double>(chats) / plan.size(), 0.03);
  EXPECT_NEAR(49, answer / static_cast<double>(chats), 3);
}

TEST(LoadPlan, NamesRoundTrip)
{
  for (const LoadPattern pattern : AllLoadPatterns()) {
    EXPECT_EQ(pattern, ParseLoadPattern(NameOf(pattern)));
  }
  for (const LoadKind kind :
       { LoadKind::Chat, LoadKind::Lookup, LoadKind::Order }) {
    EXPECT_EQ(kind, ParseLoadKind(NameOf(kind)));
  }
  EXPECT_EQ(std::nullopt, ParseLoadPattern("calm"));
}

TEST(LoadPlan, InvalidOptionsThrow)
{
  LoadPlanOptions options = MakeOptions(LoadPattern::Steady);
  options.m_classes.clear();
  EXPECT_THROW(MakeLoadPlan(options), std::invalid_argument);
  options = MakeOptions(LoadPattern::Steady);
  options.m_requestsPerSecond = 0;
  EXPECT_THROW(MakeLoadPlan(options), std::invalid_argument);
  options = MakeOptions(LoadPattern::Steady);
  options.m_classes[0].m_parts[0].m_count = 0;
  EXPECT_THROW(MakeLoadPlan(options), std::invalid_argument);
}

} // namespace
} // namespace walnutwing::standin
