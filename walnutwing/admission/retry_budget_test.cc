#include "walnutwing/admission/retry_budget.h"

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

// A full outage: every attempt fails and every failure asks for a retry.
TEST(RetryBudget, LimitsRetriesDuringAnOutage)
{
  struct Case
  {
    RetryBudgetOptions m_options;
    int m_requests;
    int m_seconds;
    double m_retries; // maximum: initial + ratio * requests + rate * seconds
  };
  const Case cases[] = {
    { { 0.1, 0, 20 }, 1000, 100, 1 + 100 },
    { { 0.1, 1, 20 }, 1000, 100, 1 + 100 + 100 },
    { { 0, 0, 20 }, 1000, 100, 1 },
    { { 0, 1, 5 }, 10, 1000, 1 + 10 * 5 },
  };
  for (const Case& test : cases) {
    Time now{};
    RetryBudget budget(test.m_options, now);
    int retries = 0;
    for (int i = 0; i < test.m_requests; ++i) {
      now += Duration(test.m_seconds * 1000 / test.m_requests);
      budget.OnRequest();
      while (budget.TryRetry(now)) {
        ++retries;
      }
    }
    EXPECT_LE(retries, test.m_retries);
    EXPECT_GE(retries + 1, test.m_retries - 1); // the budget is used up
  }
}

TEST(RetryBudget, RejectsNegativeOptions)
{
  EXPECT_THROW(RetryBudget({ -1, 0, 0 }, Time{}), std::invalid_argument);
}

} // namespace
} // namespace walnutwing
