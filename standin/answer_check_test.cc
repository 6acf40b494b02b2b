// Which streams StreamCheck accepts as the complete answer to a request, and
// how CallRecord and CallFaults count.

#include "standin/answer_check.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "standin/call_faults.h"
#include "standin/call_record.h"

namespace walnutwing::standin {
namespace {

const std::string kBody = R"({"max_tokens":3,"stream":true,"messages":[]})";

std::string
Chunk(const std::string& aText)
{
  const nlohmann::json chunk = {
    { "choices", { { { "index", 0 }, { "delta", { { "content", aText } } } } } }
  };
  return "id: 1\ndata: " + chunk.dump() + "\n\n";
}

TEST(StreamCheck, AcceptsOnlyTheCompleteAnswerToItsOwnRequest)
{
  const AnswerText ownText(kBody);
  const AnswerText otherText(R"({"max_tokens":3})");
  const std::string first = Chunk(ownText.Token(0));
  const std::string second = Chunk(ownText.Token(1));
  const std::string third = Chunk(ownText.Token(2));
  const std::string done = "data: [DONE]\n\n";
  const std::string error =
    "event: error\ndata: {\"error\":{\"code\":3005}}\n\n";
  struct Case
  {
    const char* m_description;
    std::string m_stream;
    Verdict m_verdict;
  };
  const Case kCases[] = {
    { "whole answer", first + second + third + done, Verdict::Complete },
    { "with comments",
      ": ping\n\n" + first + second + ":\n\n" + third + done,
      Verdict::Complete },
    { "cut off", first + second, Verdict::Unfinished },
    { "cut off within an event",
      first + second + "data: [DO",
      Verdict::Unfinished },
    { "no [DONE]", first + second + third, Verdict::Unfinished },
    { "[DONE] too early", first + second + done, Verdict::Wrong },
    { "token left out", first + third + done, Verdict::Wrong },
    { "token twice", first + first + second + third + done, Verdict::Wrong },
    { "tokens swapped", second + first + third + done, Verdict::Wrong },
    { "token after the last one",
      first + second + third + third + done,
      Verdict::Wrong },
    { "token of another answer",
      first + Chunk(otherText.Token(1)) + third + done,
      Verdict::Wrong },
    { "numbered error", first + error, Verdict::ErrorWithCode },
    { "chunk after the error", first + error + second, Verdict::Wrong },
    { "chunk after the end",
      first + second + third + done + third,
      Verdict::Wrong },
    { "error without a number",
      "event: error\ndata: {\"error\":{}}\n\n",
      Verdict::Wrong },
    { "not a chunk", "data: hello\n\n", Verdict::Wrong },
  };
  for (const Case& test : kCases) {
    StreamCheck checkAtOnce(kBody);
    checkAtOnce.Feed(test.m_stream);
    EXPECT_EQ(checkAtOnce.Result(), test.m_verdict) << test.m_description;
    StreamCheck checkBytewise(kBody);
    for (const char byte : test.m_stream) {
      checkBytewise.Feed({ &byte, 1 });
    }
    EXPECT_EQ(checkBytewise.Result(), test.m_verdict) << test.m_description;
  }
}

TEST(AnswerText, IsDeterminedByTheRequestBody)
{
  EXPECT_EQ(AnswerText(kBody).FullText(), AnswerText(kBody).FullText());
  EXPECT_EQ(AnswerText(kBody).TokenCount(), 3U);
  EXPECT_NE(AnswerText(kBody).Token(0), AnswerText(kBody + " ").Token(0));
  EXPECT_FALSE(ParseChatRequest("[]").m_valid);
  EXPECT_FALSE(ParseChatRequest("{").m_valid);
  const ChatRequest request =
    ParseChatRequest(R"({"user":"u","priority":-2,"model":7,"stream":1})");
  EXPECT_EQ(request.m_user, "u");
  EXPECT_EQ(request.m_priority, -2);
  EXPECT_EQ(request.m_model, "");
  EXPECT_FALSE(request.m_stream);
}

TEST(CallRecord, CountsOneRunPerCallOfAKey)
{
  CallRecord record(2);
  SeenCall call;
  call.m_orderKey = "k";
  const std::uint64_t refused = record.AddCall(call);
  record.SetState(refused, CallState::Refused);
  EXPECT_EQ(record.RunCount("k"), 0U);
  const std::uint64_t ran = record.AddCall(call);
  record.SetState(ran, CallState::Running);
  record.SetState(ran, CallState::Completed);
  EXPECT_EQ(record.RunCount("k"), 1U);
  record.SetState(record.AddCall(call), CallState::Broken);
  record.SetState(refused, CallState::Running); // no longer kept
  const nlohmann::json json = nlohmann::json::parse(record.ToJson());
  EXPECT_EQ(json["seen"], 3);
  EXPECT_EQ(json["ran"], 2);
  EXPECT_EQ(json["refused"], 1);
  EXPECT_EQ(json["completed"], 1);
  EXPECT_EQ(json["broken"], 1);
  EXPECT_EQ(json["most_runs_of_a_key"], 2);
  EXPECT_EQ(json["runs"]["k"], 2);
  ASSERT_EQ(json["calls"].size(), 2U);
  EXPECT_EQ(json["calls"][1]["state"], "broken");
  EXPECT_EQ(json["calls"][1]["ran"], true);
}

TEST(CallFaults, ApplyToTheGivenNumberOfCalls)
{
  CallFaults<ServiceFault> faults;
  EXPECT_EQ(faults.Take(), ServiceFault::None);
  faults.Set(ServiceFault::Refuse, 2);
  EXPECT_EQ(faults.Take(), ServiceFault::Refuse);
  EXPECT_EQ(faults.Take(), ServiceFault::Refuse);
  EXPECT_EQ(faults.Take(), ServiceFault::None);
  faults.Set(ServiceFault::Silent, 0);
  EXPECT_EQ(faults.Take(), ServiceFault::Silent);
  EXPECT_EQ(faults.Take(), ServiceFault::Silent);
  EXPECT_EQ(ParseEngineFault("wrong_id"), EngineFault::WrongId);
  EXPECT_FALSE(ParseServiceFault("wrong_id"));
}

} // namespace
} // namespace walnutwing::standin
