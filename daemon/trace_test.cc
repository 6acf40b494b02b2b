#include "daemon/trace.h"

#include <cstdio>
#include <fstream>
#include <string>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace walnutwing {
namespace {

constexpr const char* kTraceId = "4bf92f3577b34da6a3ce929d0e0e4736";
constexpr const char* kSpanId = "00f067aa0ba902b7";

TEST(TraceContext, ParseAcceptsOnlyValidTraceparentHeaders)
{
  const std::string good =
    std::string("00-") + kTraceId + "-" + kSpanId + "-01";
  const struct
  {
    std::string m_header;
    bool m_valid;
  } cases[] = {
    { good, true },
    { "01" + good.substr(2) + "-more", true }, // later versions may add fields
    { good + "-more", false },
    { "ff" + good.substr(2), false },
    { "", false },
    { std::string("00-") + std::string(32, '0') + "-" + kSpanId + "-01",
      false },
    { std::string("00-") + kTraceId + "-" + std::string(16, '0') + "-01",
      false },
    { std::string("00-") + kTraceId + "-" + kSpanId + "-0g", false },
    { std::string("00-4BF92F3577B34DA6A3CE929D0E0E4736-") + kSpanId + "-01",
      false },
  };
  for (const auto& test : cases) {
    EXPECT_EQ(test.m_valid, TraceContext::Parse(test.m_header).has_value())
      << test.m_header;
  }
  EXPECT_EQ(good, TraceContext::Parse(good)->ToHeader());
  EXPECT_FALSE(TraceContext::Parse(good.substr(0, 53) + "00")->m_sampled);
}

TEST(Tracer, WritesOneOtlpLineForEachSampledSpan)
{
  const std::string file = testing::TempDir() + "/trace_test.jsonl";
  std::remove(file.c_str());
  const PausedClock clock;
  {
    Tracer tracer("d1", file, 1);
    const TraceContext parent{ kTraceId, kSpanId, true };
    Span span = tracer.Begin("attempt", parent, clock.WallNow());
    span.m_attributes.emplace_back("upstream", "e1");
    tracer.End(span, clock.WallNow() + Duration(5));
    const TraceContext unsampled{ kTraceId, kSpanId, false };
    tracer.End(tracer.Begin("dropped", unsampled, clock.WallNow()),
               clock.WallNow());
  }
  std::ifstream lines(file);
  std::string line;
  ASSERT_TRUE(std::getline(lines, line));
  const auto span = nlohmann::json::parse(
    line)["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
  EXPECT_EQ(kTraceId, span["traceId"]);
  EXPECT_EQ(kSpanId, span["parentSpanId"]);
  EXPECT_NE(kSpanId, span["spanId"]);
  EXPECT_EQ("attempt", span["name"]);
  EXPECT_FALSE(std::getline(lines, line));
}

} // namespace
} // namespace walnutwing
