#include "walnutwing/base/id.h"

#include <type_traits>
#include <unordered_set>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

static_assert(!std::is_convertible_v<DaemonId, UpstreamId>);
static_assert(!std::is_convertible_v<std::string, DaemonId>);

TEST(TextId, ComparesAndHashesLikeItsText)
{
  EXPECT_EQ(ZoneId("a"), ZoneId("a"));
  EXPECT_LT(ZoneId("a"), ZoneId("b"));
  const std::unordered_set<ZoneId> zones = { ZoneId("a"),
                                             ZoneId("a"),
                                             ZoneId("b") };
  EXPECT_EQ(2U, zones.size());
  EXPECT_TRUE(ZoneId().Empty());
}

TEST(NumberId, ComparesLikeItsNumber)
{
  EXPECT_LT(LogOffset(9), LogOffset(10));
  EXPECT_EQ(RequestId(3).Value(), 3U);
}

} // namespace
} // namespace walnutwing
