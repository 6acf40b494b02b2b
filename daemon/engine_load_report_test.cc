#include "daemon/engine_load_report.h"

#include <limits>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

constexpr WallTime kWallNow{ Duration(1'800'000'000'000) };
constexpr Time kNow{ Duration(50'000) };

TEST(EngineLoadReport, DecodesCountsStateAndAge)
{
  const auto load = DecodeEngineLoad(
    R"({"running":3,"waiting":1,"cold":true,"as_of_ms":1799999999800,"x":[]})",
    kWallNow,
    kNow);
  ASSERT_TRUE(load);
  EXPECT_EQ(3U, load->m_running);
  EXPECT_EQ(1U, load->m_waiting);
  EXPECT_TRUE(load->m_cold);
  EXPECT_EQ(kNow - Duration(200), load->m_measuredAt);
}

TEST(EngineLoadReport, NumbersBeyondTheirRangeAreBounded)
{
  const auto load = DecodeEngineLoad(
    R"({"running":4294967296,"as_of_ms":18446744073709551615})",
    kWallNow,
    kNow);
  ASSERT_TRUE(load);
  EXPECT_EQ(std::numeric_limits<std::uint32_t>::max(), load->m_running);
  EXPECT_EQ(kNow, load->m_measuredAt); // from the future
}

// Guards against a report whose types are wrong and that ends a component of
// the daemon by an exception, each time that the upstream is polled.
TEST(EngineLoadReport, WrongTypesAreMalformed)
{
  for (const char* report : { "",
                              "[]",
                              "{\"running\"",
                              R"({"running":"3"})",
                              R"({"waiting":-1})",
                              R"({"cold":"yes"})",
                              R"({"as_of_ms":"now"})",
                              R"({"as_of_ms":null})",
                              R"({"as_of_ms":1e300})" }) {
    EXPECT_FALSE(DecodeEngineLoad(report, kWallNow, kNow)) << report;
  }
}

} // namespace
} // namespace walnutwing
