#include "soak/fault_plan.h"

#include <map>
#include <set>
#include <stdexcept>
#include <tuple>

#include <gtest/gtest.h>

namespace walnutwing::soak {
namespace {

FaultPlanOptions
Options(std::uint64_t aSeed)
{
  FaultPlanOptions options;
  options.m_seed = aSeed;
  options.m_length = Duration(60'000);
  return options;
}

TEST(FaultPlan, SameSeedMakesSamePlan)
{
  EXPECT_EQ(ToText(MakeFaultPlan(Options(3))),
            ToText(MakeFaultPlan(Options(3))));
  EXPECT_NE(ToText(MakeFaultPlan(Options(3))),
            ToText(MakeFaultPlan(Options(4))));
}

TEST(FaultPlan, ParsingPlanTextReturnsSamePlan)
{
  const FaultPlan plan = MakeFaultPlan(Options(9));
  ASSERT_FALSE(plan.empty());
  EXPECT_EQ(ToText(plan), ToText(ParseFaultPlan("# seed 9\n" + ToText(plan))));
}

TEST(FaultPlan, InvalidLineThrows)
{
  for (const char* text : { "100 router_kill 1 callers",
                            "100 flood 1 callers 5",
                            "x router_kill 1 callers 5",
                            "100 router_kill 1 nobody 5",
                            "-1 router_kill 1 callers 5" }) {
    EXPECT_THROW(ParseFaultPlan(text), std::invalid_argument) << text;
  }
}

// Over many seeds: every kind and link occurs, targets are in range, no fault
// outlasts the plan, and faults of the same kind, link and target do not
// overlap.
TEST(FaultPlan, PlansAreValidAndCoverAllKinds)
{
  std::set<FaultKind> kinds;
  std::set<Link> links;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    const FaultPlanOptions options = Options(seed);
    std::map<std::tuple<FaultKind, Link, std::uint32_t>, Duration> ends;
    Duration last(0);
    for (const Fault& fault : MakeFaultPlan(options)) {
      kinds.insert(fault.m_kind);
      links.insert(fault.m_link);
      EXPECT_GE(fault.m_at, last);
      EXPECT_LE(fault.End(), options.m_length);
      EXPECT_LT(fault.m_target, options.m_routers);
      Duration& end = ends[{ fault.m_kind, fault.m_link, fault.m_target }];
      EXPECT_GE(fault.m_at, end);
      end = fault.End();
      last = fault.m_at;
    }
  }
  EXPECT_EQ(AllFaultKinds().size(), kinds.size());
  EXPECT_EQ(3U, links.size());
}

TEST(FaultPlan, OnlyKindLimitsPlanToThatKind)
{
  FaultPlanOptions options = Options(2);
  options.m_onlyKind = FaultKind::LinkReset;
  for (const Fault& fault : MakeFaultPlan(options)) {
    EXPECT_EQ(FaultKind::LinkReset, fault.m_kind);
  }
}

TEST(FaultPlan, ParsingKindNameReturnsSameKind)
{
  for (const FaultKind kind : AllFaultKinds()) {
    EXPECT_EQ(kind, ParseFaultKind(NameOf(kind)));
  }
}

} // namespace
} // namespace walnutwing::soak
