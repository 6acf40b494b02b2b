#include "walnutwing/relay/chunk_scanner.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

struct Case
{
  std::string m_json;
  bool m_complete;
  std::string m_id;
  FinishReason m_finish;
};

TEST(ChunkScanner, FindsIdAndFinishReason)
{
  using enum FinishReason;
  const std::vector<Case> cases = {
    { R"({"id":"a"})", true, "a", Absent },
    { R"( { "x" : [1,{"id":"no"}] , "id" : "a" } )", true, "a", Absent },
    { R"({"id":"a","choices":[{"finish_reason":null}]})", true, "a", Null },
    { R"({"id":"a","choices":[{"finish_reason":"stop"}]})", true, "a", Set },
    { R"({"t":"\"id\":\"b\",\"finish_reason\":\"stop\"","id":"a"})",
      true,
      "a",
      Absent },
    { R"({"t":"a \\","id":"b"})", true, "b", Absent },
    { R"({"id":7})", true, "", Absent },
    { R"({"choices":["id","a"]})", true, "", Absent },
    { "[1]", false, "", Absent },
    { "", false, "", Absent },
    { R"({"id":"a"]})", false, "a", Absent },
    { R"({"id":"a"} x)", false, "a", Absent },
    { std::string(70, '{'), false, "", Absent },
  };
  for (const Case& row : cases) {
    const ChunkFacts facts = ScanChunk(row.m_json);
    EXPECT_EQ(row.m_complete, facts.m_complete) << row.m_json;
    EXPECT_EQ(row.m_id, facts.m_id) << row.m_json;
    EXPECT_EQ(row.m_finish, facts.m_finish) << row.m_json;
  }
}

TEST(ChunkScanner, EveryProperPrefixIsIncomplete)
{
  const std::string json =
    R"({"id":"a","choices":[{"delta":{"content":"\\\"}]} "},"finish_reason":null}]})";
  ASSERT_TRUE(ScanChunk(json).m_complete);
  for (std::size_t size = 0; size < json.size(); ++size) {
    EXPECT_FALSE(ScanChunk(json.substr(0, size)).m_complete) << size;
  }
}

} // namespace
} // namespace walnutwing
