#include "walnutwing/routing/waiting_reports.h"

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

constexpr Time kStart{ std::chrono::seconds(1000) };
const ServiceId kService("s");

// Two daemons of one zone; a is the hub or gets its digest from b.
LoadExchange
MakeExchange(const char* aName)
{
  LoadExchange exchange(DaemonId(aName), ZoneId("z1"), {});
  exchange.SetMembers({ { DaemonId("a"), ZoneId("z1"), "a:1" },
                        { DaemonId("b"), ZoneId("z1"), "b:1" } },
                      kStart);
  return exchange;
}

// What waits at one daemon is known at the other, by class, until the counts
// are too old.
TEST(WaitingReports, CountsReachTheOtherDaemon)
{
  LoadExchange a = MakeExchange("a");
  LoadExchange b = MakeExchange("b");
  LoadExchange& hub = a.IsHub() ? a : b;
  LoadExchange& other = a.IsHub() ? b : a;
  WaitingReports atHub(hub);
  WaitingReports atOther(other);
  WaitingCounts counts{};
  counts[WaitingClassOf(1, true)] = 3;
  atHub.Set(kService, counts);
  UpstreamLoads own;
  atHub.AddTo(own);
  EXPECT_EQ(1U, own.size());
  for (const LoadMessage& message : hub.OnPeriod(own, kStart)) {
    other.OnDigest(hub.Hub(), message.m_loads, {}, kStart);
  }
  EXPECT_EQ(counts, atOther.AtOthers(kService, kStart));
  EXPECT_EQ(WaitingCounts{}, atOther.AtOthers(ServiceId("t"), kStart));
  EXPECT_EQ(WaitingCounts{},
            atOther.AtOthers(kService, kStart + std::chrono::seconds(2)));
}

} // namespace
} // namespace walnutwing
