#include "walnutwing/admission/customer_shares.h"

#include <random>
#include <stdexcept>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

const CustomerId kBig("big");
const CustomerId kSmall("small");
const CustomerId kLow("low");

CustomerShares
MakeShares(std::uint32_t aCapacity, CustomerSharesOptions aOptions = {})
{
  CustomerShares shares(aOptions);
  shares.SetCustomers(
    { { kBig, 3, 0, 0 }, { kSmall, 1, 0, 0 }, { kLow, 1, 2, 0 } });
  shares.SetCapacity(aCapacity);
  return shares;
}

std::uint32_t
AdmitMany(CustomerShares& aShares, const CustomerId& aCustomer, int aCount)
{
  std::uint32_t admitted = 0;
  for (int i = 0; i < aCount; ++i) {
    admitted +=
      aShares.Admit(aCustomer, Time()).m_code == ResultCode::Ok ? 1 : 0;
  }
  return admitted;
}

TEST(CustomerShares, SurgingCustomerIsLimitedToItsShareWhileOthersHaveRequests)
{
  CustomerShares shares = MakeShares(100);
  // A single active customer may use the whole capacity.
  EXPECT_EQ(100U, AdmitMany(shares, kSmall, 300));
  for (int i = 0; i < 100; ++i) {
    shares.OnFinished(kSmall);
  }
  // With another active customer, the capacity above the surge threshold is not
  // available to the one that exceeds its share.
  EXPECT_EQ(1U, AdmitMany(shares, kBig, 1));
  EXPECT_EQ(79U, AdmitMany(shares, kSmall, 1000));
  EXPECT_EQ(20U, AdmitMany(shares, kBig, 1000));
  EXPECT_EQ(ResultCode::OverCustomerShare, shares.Admit(kSmall, Time()).m_code);
  EXPECT_EQ(ResultCode::QueueFull, shares.Admit(kBig, Time()).m_code);
  // Capacity released by the surging customer goes to the other one, up to its
  // share.
  for (int i = 0; i < 54; ++i) {
    shares.OnFinished(kSmall);
    const bool first = shares.Admit(kBig, Time()).m_code == ResultCode::Ok;
    EXPECT_TRUE(first) << i;
  }
  EXPECT_EQ(75U, shares.InProgress(kBig));
  EXPECT_EQ(75U, shares.ShareOf(kBig));
}

// A zone leaves: the capacity halves while 80 requests are in progress.
TEST(CustomerShares, CapacityDropRefusesLowPriorityAndCustomersOverTheirShare)
{
  CustomerShares shares = MakeShares(100);
  ASSERT_EQ(40U, AdmitMany(shares, kSmall, 40));
  ASSERT_EQ(40U, AdmitMany(shares, kBig, 40));
  shares.SetCapacity(50);
  for (const CustomerId& customer : { kBig, kSmall, kLow }) {
    EXPECT_EQ(0U, AdmitMany(shares, customer, 10)) << customer;
  }
  for (int i = 0; i < 35; ++i) {
    shares.OnFinished(kSmall);
  }
  EXPECT_EQ(0U, AdmitMany(shares, kLow, 10)); // priority 2 may use 90% of 50
  EXPECT_EQ(0U, AdmitMany(shares, kBig, 10)); // exceeds 3/4 of 50
  EXPECT_EQ(5U, AdmitMany(shares, kSmall, 10));
}

// During a surge each customer may start its share of 40 requests per second.
TEST(CustomerShares, CustomerLimitAndSurgeRateAreEnforced)
{
  CustomerSharesOptions options;
  options.m_surgePercent = 0;
  options.m_surgeRate = 40;
  options.m_burstSeconds = 0.1;
  CustomerShares shares(options);
  shares.SetCapacity(1000);
  shares.SetCustomers({ { kBig, 3, 0, 0 }, { kSmall, 1, 0, 2 } });
  Time now(std::chrono::hours(1));
  std::uint32_t big = 0;
  std::uint32_t small = 0;
  for (int i = 0; i < 10'000; ++i) {
    now += Duration(1);
    big += shares.Admit(kBig, now).m_code == ResultCode::Ok ? 1 : 0;
    small += shares.Admit(kSmall, now).m_code == ResultCode::Ok ? 1 : 0;
  }
  EXPECT_EQ(2U, small); // its m_maxInProgress
  EXPECT_GE(big, 299U); // 30 per second for 10 s, and a burst of at most 4
  EXPECT_LE(big, 304U);
}

TEST(CustomerShares, SetCustomersKeepsRequestsInProgress)
{
  CustomerShares shares = MakeShares(10);
  ASSERT_EQ(2U, AdmitMany(shares, kLow, 2));
  shares.SetCustomers({ { kBig, 1, 0, 0 } });
  EXPECT_EQ(2U, shares.InProgress(kLow));
  shares.OnFinished(kLow);
  EXPECT_EQ(1U, shares.InProgress());
  EXPECT_THROW(shares.OnFinished(kBig), std::logic_error);
}

// Random requests compared with a simple reference model: the capacity is never
// exceeded, and no customer below its share is refused for exceeding it.
TEST(CustomerShares, MatchesReferenceModelForRandomRequests)
{
  std::mt19937_64 random(5);
  CustomerShares shares = MakeShares(60);
  const CustomerId customers[] = { kBig, kSmall, kLow };
  const std::uint32_t weights[] = { 3, 1, 1 };
  std::uint32_t inProgress[] = { 0, 0, 0 };
  for (int step = 0; step < 20'000; ++step) {
    const std::size_t i = random() % 3;
    if (random() % 5 < 2 && inProgress[i] > 0) {
      shares.OnFinished(customers[i]);
      --inProgress[i];
      continue;
    }
    std::uint32_t active = weights[i];
    for (std::size_t j = 0; j < 3; ++j) {
      active += j != i && inProgress[j] > 0 ? weights[j] : 0;
    }
    const std::uint32_t total = inProgress[0] + inProgress[1] + inProgress[2];
    const std::uint32_t usableCapacity = i == 2 ? 54 : 60;
    const bool below = inProgress[i] < 60 * weights[i] / active;
    const bool expected = total < usableCapacity && (total < 48 || below);
    ASSERT_EQ(expected,
              shares.Admit(customers[i], Time()).m_code == ResultCode::Ok)
      << step;
    inProgress[i] += expected ? 1 : 0;
  }
}

} // namespace
} // namespace walnutwing
