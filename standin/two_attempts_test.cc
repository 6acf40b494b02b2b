// Tests of a request that has two attempts, as the upstream of the first one is
// silent. Guards against review/9, LOST: the silent attempt was canceled before
// another one had begun, so that nothing was left when that one was refused.

#include "standin/router_harness.h"

#include <gtest/gtest.h>

namespace walnutwing::standin {
namespace {

using Exchange = std::shared_ptr<UpstreamExchange>;

const std::string kLastChunk = "0\r\n\r\n";
const std::string kFields = "X-Attempt-Id: a1\r\nX-Response-Seal: seal\r\n";
const std::string kRefusal = "HTTP/1.1 503 Full\r\nX-Attempt-Id: a1\r\n"
                             "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const std::string kFailure =
  "HTTP/1.1 500 Failure\r\n" + kFields + "Content-Length: 0\r\n\r\n";
constexpr Duration kSettleTime{ 200 };

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

std::size_t
Count(const std::string& aText, const std::string& aPart)
{
  std::size_t count = 0;
  for (std::size_t at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + aPart.size())) {
    ++count;
  }
  return count;
}

std::string
Answer(const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\n" + kFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

class TwoAttempts : public testing::Test
{
protected:
  explicit TwoAttempts(std::size_t aUpstreams = 2)
    : m_harness(HarnessOptions{ .m_upstreams = aUpstreams,
                                .m_extraBounds = "repeat_allowance = 300\n" })
  {
    for (std::size_t i = 0; i < m_harness.Upstreams(); ++i) {
      m_harness.Upstream(i).SetHandler(
        [this](const Exchange& aExchange) { m_attempts.push_back(aExchange); });
    }
  }

  void Send(const std::string& aPath, const std::string& aFields = "")
  {
    m_caller = m_harness.Connect();
    m_caller->Send("POST " + aPath +
                   " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n"
                   "Authorization: Bearer k1\r\nConnection: close\r\n" +
                   aFields + "Content-Length: 0\r\n\r\n");
  }

  bool WaitForAttempts(std::size_t aCount)
  {
    return m_harness.WaitUntil([&] { return m_attempts.size() == aCount; });
  }

  // A stream that has begun, with these bytes behind its first event, and whose
  // second attempt has been sent.
  void BeginStream(const std::string& aBytes = "")
  {
    Send("/resume/");
    ASSERT_TRUE(WaitForAttempts(1));
    m_attempts[0]->Write(MakeStreamHead(m_attempts[0]->Request()) +
                         MakeEventChunk(1) + aBytes);
    ASSERT_TRUE(WaitForAttempts(2));
  }

  // The caller has got two events, each once, and the end.
  void ExpectWholeStream()
  {
    EXPECT_TRUE(m_harness.WaitUntil([&] { return m_caller->Ended(); }));
    const std::string& received = m_caller->Received();
    EXPECT_EQ(1U, Count(received, "data: e1")) << received;
    EXPECT_EQ(1U, Count(received, "data: e2")) << received;
    EXPECT_TRUE(received.ends_with(kLastChunk)) << received;
  }

  void ExpectAnswer(const std::string& aBody)
  {
    EXPECT_TRUE(m_harness.WaitUntil([&] { return m_caller->Ended(); }));
    EXPECT_TRUE(m_caller->Received().starts_with("HTTP/1.1 200"))
      << m_caller->Received();
    EXPECT_TRUE(m_caller->Received().ends_with(aBody)) << m_caller->Received();
  }

  bool Closed(std::size_t aAttempt)
  {
    return m_harness.WaitUntil(
      [&] { return m_attempts[aAttempt]->PeerClosed(); });
  }

  RouterHarness m_harness;
  std::vector<Exchange> m_attempts;
  std::unique_ptr<CallerStandin> m_caller;
};

// Guards against a stream that is cut, or begun a third time, because the
// second attempt was refused, failed or broke.
TEST_F(TwoAttempts, StreamGoesOnAfterTheSecondIsRefused)
{
  BeginStream();
  m_attempts[1]->Write(kRefusal);
  m_harness.RunLoopFor(kSettleTime);
  EXPECT_FALSE(m_attempts[0]->PeerClosed());
  m_attempts[0]->Write(MakeEventChunk(2) + kLastChunk);
  ExpectWholeStream();
  EXPECT_EQ(2U, m_attempts.size());
  EXPECT_TRUE(Contains(m_harness.LogText(), "attempt_kept"));
}

// The same, as the second upstream fails.
TEST_F(TwoAttempts, StreamGoesOnAfterTheSecondFails)
{
  BeginStream();
  m_attempts[1]->Write(kFailure);
  m_harness.RunLoopFor(kSettleTime);
  m_attempts[0]->Write(MakeEventChunk(2) + kLastChunk);
  ExpectWholeStream();
}

// The same, as the second connection is reset.
TEST_F(TwoAttempts, StreamGoesOnAfterTheSecondIsReset)
{
  BeginStream();
  m_attempts[1]->Reset();
  m_harness.RunLoopFor(kSettleTime);
  m_attempts[0]->Write(MakeEventChunk(2) + kLastChunk);
  ExpectWholeStream();
}

// Guards against an event that is lost or torn because its first half came
// before the second attempt.
TEST_F(TwoAttempts, EventThatIsInterruptedIsWhole)
{
  BeginStream(MakeChunk("id: 2\nda"));
  m_attempts[1]->Write(kRefusal);
  m_harness.RunLoopFor(kSettleTime);
  m_attempts[0]->Write(MakeChunk("ta: e2\n\n") + kLastChunk);
  ExpectWholeStream();
}

// Guards against a stream with both attempts' events.
TEST_F(TwoAttempts, FirstToSendTheNextEventGoesOnAlone)
{
  BeginStream(MakeChunk("id: 2\nda"));
  m_attempts[0]->Write(MakeChunk("ta: e2\n\n"));
  EXPECT_TRUE(Closed(1));
  m_attempts[0]->Write(kLastChunk);
  ExpectWholeStream();
}

TEST_F(TwoAttempts, SecondThatBeginsGoesOnAlone)
{
  BeginStream(MakeChunk("id: 2\nda"));
  m_attempts[1]->Write(MakeStreamHead(m_attempts[1]->Request()) +
                       MakeEventChunk(2));
  EXPECT_TRUE(Closed(0));
  m_attempts[1]->Write(kLastChunk);
  ExpectWholeStream();
}

TEST_F(TwoAttempts, BothAtTheSameTimeMakeOneStream)
{
  BeginStream();
  m_attempts[0]->Write(MakeEventChunk(2) + kLastChunk);
  m_attempts[1]->Write(MakeStreamHead(m_attempts[1]->Request()) +
                       MakeEventChunk(2) + kLastChunk);
  ExpectWholeStream();
}

// Guards against a second attempt that is canceled with the first one.
TEST_F(TwoAttempts, SecondGoesOnAfterTheFirstIsReset)
{
  BeginStream(MakeChunk("id: 2\nda"));
  m_attempts[0]->Reset();
  m_harness.RunLoopFor(kSettleTime);
  EXPECT_FALSE(m_caller->Ended());
  m_attempts[1]->Write(MakeStreamHead(m_attempts[1]->Request()) +
                       MakeEventChunk(2) + kLastChunk);
  ExpectWholeStream();
}

// Guards against upstreams that work for nobody.
TEST_F(TwoAttempts, BothAreCanceledWhenTheCallerLeaves)
{
  BeginStream();
  m_caller->Close();
  EXPECT_TRUE(Closed(0));
  EXPECT_TRUE(Closed(1));
}

TEST_F(TwoAttempts, BothAreCanceledAtTheDeadline)
{
  Send("/lookup/", "X-Deadline-Ms: 3000\r\n");
  ASSERT_TRUE(WaitForAttempts(2));
  EXPECT_TRUE(m_harness.WaitUntil([&] { return m_caller->Ended(); }));
  EXPECT_TRUE(m_caller->Received().starts_with("HTTP/1.1 504"));
  EXPECT_TRUE(Closed(0));
  EXPECT_TRUE(Closed(1));
}

// The same of a request whose response is forwarded as a whole.
TEST_F(TwoAttempts, LookupGoesOnAfterTheSecondIsRefused)
{
  Send("/lookup/");
  ASSERT_TRUE(WaitForAttempts(2));
  m_attempts[1]->Write(kRefusal);
  m_harness.RunLoopFor(kSettleTime);
  m_attempts[0]->Write(Answer("first"));
  ExpectAnswer("first");
}

TEST_F(TwoAttempts, LookupTakesTheResponseThatComesFirst)
{
  Send("/lookup/");
  ASSERT_TRUE(WaitForAttempts(2));
  m_attempts[0]->Write(Answer("first"));
  ExpectAnswer("first");
  EXPECT_TRUE(Closed(1));
}

TEST_F(TwoAttempts, LookupTakesTheSecondResponse)
{
  Send("/lookup/");
  ASSERT_TRUE(WaitForAttempts(2));
  m_attempts[1]->Write(Answer("second"));
  ExpectAnswer("second");
  EXPECT_TRUE(Closed(0));
}

// Guards against half of a body that is lost with the second attempt.
TEST_F(TwoAttempts, LookupKeepsTheBodySoFar)
{
  Send("/lookup/");
  ASSERT_TRUE(WaitForAttempts(1));
  const std::string answer = Answer("first half, second half");
  m_attempts[0]->Write(answer.substr(0, answer.size() - 13));
  ASSERT_TRUE(WaitForAttempts(2));
  m_attempts[1]->Write(kFailure);
  m_harness.RunLoopFor(kSettleTime);
  m_attempts[0]->Write(answer.substr(answer.size() - 13));
  ExpectAnswer("first half, second half");
}

// Guards against a failure of the first attempt that ends the second one, which
// may still succeed.
TEST_F(TwoAttempts, LateFailureOfTheFirstLeavesTheSecondAlone)
{
  Send("/lookup/");
  ASSERT_TRUE(WaitForAttempts(2));
  m_attempts[0]->Write(kFailure);
  m_harness.RunLoopFor(kSettleTime);
  m_attempts[1]->Write(Answer("second"));
  ExpectAnswer("second");
}

// Guards against a storm of attempts when all upstreams slow down at once.
class ManyStreams : public TwoAttempts
{
protected:
  ManyStreams()
    : TwoAttempts(4)
  {
  }
};

TEST_F(ManyStreams, FewHaveTwoAttemptsWhenAllUpstreamsPause)
{
  constexpr std::size_t kStreams = 30;
  constexpr std::size_t kMaxExtra = kStreams / 10;
  constexpr Duration kPause{ 2000 };
  std::vector<std::unique_ptr<CallerStandin>> callers;
  for (std::size_t i = 0; i < kStreams; ++i) {
    Send("/resume/");
    callers.push_back(std::move(m_caller));
    ASSERT_TRUE(WaitForAttempts(i + 1));
    m_attempts[i]->Write(MakeStreamHead(m_attempts[i]->Request()) +
                         MakeEventChunk(1));
  }
  m_harness.RunLoopFor(kPause);
  EXPECT_LE(m_attempts.size(), kStreams + kMaxExtra);
  for (std::size_t i = 0; i < kStreams; ++i) {
    EXPECT_FALSE(m_attempts[i]->PeerClosed());
    m_attempts[i]->Write(MakeEventChunk(2) + kLastChunk);
  }
  for (const auto& caller : callers) {
    EXPECT_TRUE(m_harness.WaitUntil([&] { return caller->Ended(); }));
    EXPECT_TRUE(caller->Received().ends_with(kLastChunk));
    EXPECT_EQ(1U, Count(caller->Received(), "data: e2"));
  }
}

} // namespace
} // namespace walnutwing::standin
