#include "walnutwing/routing/service_demand.h"

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

const ServiceId kService("s");
constexpr std::uint32_t kSmall = 1000; // tokens
constexpr std::uint32_t kLarge = 12000;

class ServiceDemandTest : public testing::Test
{
protected:
  // Sends requests for five seconds.
  void Send(ServiceDemand& aDemand, int aPerSecond, std::uint32_t aTokens)
  {
    for (int i = 0; i < 5 * aPerSecond; ++i) {
      aDemand.OnRequest(
        kService, aTokens, m_now + Duration(i * 1000 / aPerSecond));
    }
  }

  Time m_now{ std::chrono::hours(1) };
  LoadExchange m_exchange{ DaemonId("d1"), ZoneId("z1"), {} };
  ServiceDemand m_demand{ m_exchange };
};

TEST_F(ServiceDemandTest, CountsByPromptClass)
{
  Send(m_demand, 10, kSmall);
  Send(m_demand, 4, kLarge);
  const auto perSecond =
    m_demand.PerSecond(kService, 1, m_now + Duration(4999));
  EXPECT_NEAR(10, perSecond[PromptClassOf(kSmall)], 0.1);
  EXPECT_NEAR(4, perSecond[PromptClassOf(kLarge)], 0.1);
  EXPECT_NE(PromptClassOf(kSmall), PromptClassOf(kLarge));
  EXPECT_EQ(0U, PromptClassOf(0));
}

TEST_F(ServiceDemandTest, UnknownDaemonsAreTakenToBeAlike)
{
  Send(m_demand, 10, kSmall);
  const auto perSecond =
    m_demand.PerSecond(kService, 4, m_now + Duration(4999));
  EXPECT_NEAR(40, perSecond[PromptClassOf(kSmall)], 0.1);
}

TEST_F(ServiceDemandTest, AddsWhatOtherDaemonsReport)
{
  const std::vector<RosterMember> members = {
    { DaemonId("d1"), ZoneId("z1"), "1", 2, 1 },
    { DaemonId("d2"), ZoneId("z1"), "2", 1, 1 }
  };
  m_exchange.SetMembers(members, m_now);
  ServiceDemand other(m_exchange);
  Send(other, 3, kSmall);
  Send(m_demand, 10, kSmall);
  m_now += Duration(4999);
  UpstreamLoads report;
  other.AddTo(report);
  m_exchange.OnReport(DaemonId("d2"), report, m_now);
  m_exchange.OnPeriod({}, m_now); // d1 is the hub
  const auto perSecond = m_demand.PerSecond(kService, 2, m_now);
  EXPECT_NEAR(13, perSecond[PromptClassOf(kSmall)], 0.1);
}

// Guards against prompts that move with each small change of the rate.
TEST_F(ServiceDemandTest, EstimateChangesOnlyIfClearlyOff)
{
  Send(m_demand, 20, kSmall);
  m_now += Duration(4999);
  const PromptClass small = PromptClassOf(kSmall);
  EXPECT_NEAR(20, m_demand.PerSecond(kService, 1, m_now)[small], 0.1);
  m_now += Duration(1);
  Send(m_demand, 23, kSmall);
  m_now += Duration(4999);
  EXPECT_NEAR(20, m_demand.PerSecond(kService, 1, m_now)[small], 0.1);
  m_now += Duration(1);
  Send(m_demand, 40, kSmall);
  m_now += Duration(4999);
  EXPECT_NEAR(40, m_demand.PerSecond(kService, 1, m_now)[small], 0.1);
}

} // namespace
} // namespace walnutwing
