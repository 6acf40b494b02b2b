// Tests of what a router does with a request whose upstream is silent for a
// while. Guards against issue 41, LOST: the router canceled the attempt before
// it was certain that the request could go on elsewhere, and then ended the
// caller's answer.

#include "standin/router_harness.h"

#include <gtest/gtest.h>

namespace walnutwing::standin {
namespace {

using Exchange = std::shared_ptr<UpstreamExchange>;

// Longer than an upstream may be silent if another one can take over.
constexpr Duration kPause{ 1500 };
const std::string kNoRepeats = "repeat_ratio = 0\nrepeat_allowance = 0\n";
const std::string kManyRepeats = "repeat_allowance = 300\n";

// Of the request "a1".
const std::string kRefusal =
  "HTTP/1.1 503 Full\r\nX-Attempt-Id: a1\r\nX-Not-Executed: 1\r\n"
  "Content-Length: 0\r\n\r\n";

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

std::string
Request(const std::string& aPath, const std::string& aAttempt = "a1")
{
  return "POST " + aPath +
         " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + aAttempt +
         "\r\nAuthorization: Bearer k1\r\nConnection: close\r\n"
         "Content-Length: 0\r\n\r\n";
}

class SilentUpstream
{
public:
  explicit SilentUpstream(const HarnessOptions& aOptions)
    : m_harness(aOptions)
  {
    for (std::size_t i = 0; i < m_harness.Upstreams(); ++i) {
      m_harness.Upstream(i).SetHandler(
        [this](const Exchange& aExchange) { m_exchange = aExchange; });
    }
  }

  void Send(const std::string& aPath)
  {
    m_caller = m_harness.Connect();
    m_caller->Send(Request(aPath));
    EXPECT_TRUE(m_harness.WaitUntil([&] { return m_exchange != nullptr; }));
  }

  // Begins a stream, pauses and ends it.
  void StreamWithPause()
  {
    Send("/resume/");
    const Exchange exchange = m_exchange;
    exchange->Write(MakeStreamHead(exchange->Request()) + MakeEventChunk(1));
    m_harness.RunLoopFor(kPause);
    exchange->Write(MakeEventChunk(2) + "0\r\n\r\n");
    EXPECT_TRUE(m_harness.WaitUntil([&] { return m_caller->Ended(); }));
  }

  bool StreamIsWhole() const
  {
    return Contains(m_caller->Received(), "data: e2") &&
           Contains(m_caller->Received(), "\r\n0\r\n\r\n");
  }

  RouterHarness m_harness;
  Exchange m_exchange; // of the last attempt
  std::unique_ptr<CallerStandin> m_caller;
};

// Guards against a stream that is cut while its upstream pauses because no
// request may be repeated.
TEST(SilentUpstream, EndsNoStreamWithoutABudgetOfRepeats)
{
  SilentUpstream test({ .m_extraBounds = kNoRepeats });
  test.StreamWithPause();
  EXPECT_TRUE(test.StreamIsWhole());
  EXPECT_EQ(1U, test.m_harness.CountExchanges());
}

// Guards against the same where there is no other upstream.
TEST(SilentUpstream, EndsNoStreamWithoutAnotherUpstream)
{
  SilentUpstream test({ .m_upstreams = 1 });
  test.StreamWithPause();
  EXPECT_TRUE(test.StreamIsWhole());
  EXPECT_EQ(1U, test.m_harness.CountExchanges());
}

// Guards against a lookup that gets an error while its upstream is at work.
TEST(SilentUpstream, EndsNoLookupWithoutABudgetOfRepeats)
{
  SilentUpstream test({ .m_extraBounds = kNoRepeats });
  test.Send("/lookup/");
  const Exchange exchange = test.m_exchange;
  test.m_harness.RunLoopFor(kPause);
  exchange->Write(MakeUpstreamResponse(exchange->Request(), 200, "late"));
  EXPECT_TRUE(test.m_harness.WaitUntil([&] { return test.m_caller->Ended(); }));
  EXPECT_TRUE(Contains(test.m_caller->Received(), "HTTP/1.1 200"));
  EXPECT_TRUE(Contains(test.m_caller->Received(), "late"));
}

// Guards against a stream that stays at a silent upstream although another one
// has come meanwhile.
TEST(SilentUpstream, LosesTheStreamToAnUpstreamThatComesMeanwhile)
{
  SilentUpstream test({});
  test.m_harness.RegisterUpstream(1, "draining");
  test.m_harness.RunLoopFor(Duration(800));
  test.Send("/resume/");
  const Exchange first = test.m_exchange;
  first->Write(MakeStreamHead(first->Request()) + MakeEventChunk(1));
  test.m_harness.RunLoopFor(kPause);
  EXPECT_FALSE(first->PeerClosed());
  test.m_harness.RegisterUpstream(1, "ready", 1);
  ASSERT_TRUE(
    test.m_harness.WaitUntil([&] { return test.m_exchange != first; }));
  test.m_harness.RunLoopFor(Duration(200));
  EXPECT_FALSE(first->PeerClosed()) << "the other one has not begun yet";
  test.m_exchange->Write(MakeStreamHead(test.m_exchange->Request()) +
                         MakeEventChunk(2) + "0\r\n\r\n");
  EXPECT_TRUE(test.m_harness.WaitUntil([&] { return first->PeerClosed(); }));
  EXPECT_TRUE(test.m_harness.WaitUntil([&] { return test.m_caller->Ended(); }));
  EXPECT_TRUE(test.StreamIsWhole());
}

// Guards against issue 48, LOST (soak, seeds 4967 and 35): the same as
// GetsTheStreamBackIfTheOnlyOtherOneRefuses, but the first upstream has nothing
// else to do for this router, which then took it for lost.
TEST(SilentUpstream, GetsTheStreamBackThoughItWasSilentAltogether)
{
  SilentUpstream test({ .m_extraBounds = kManyRepeats });
  test.Send("/resume/");
  const Exchange first = test.m_exchange;
  first->Write(MakeStreamHead(first->Request()) + MakeEventChunk(1));
  ASSERT_TRUE(
    test.m_harness.WaitUntil([&] { return test.m_exchange != first; }));
  test.m_exchange->Write(kRefusal);
  test.m_harness.RunLoopFor(Duration(200));
  EXPECT_FALSE(first->PeerClosed());
  EXPECT_FALSE(test.m_caller->Ended());
  first->Write(MakeEventChunk(2) + "0\r\n\r\n");
  EXPECT_TRUE(test.m_harness.WaitUntil([&] { return test.m_caller->Ended(); }));
  EXPECT_TRUE(test.StreamIsWhole());
}

// Guards against requests that are refused because all upstreams are at work on
// slow orders and seem to be lost (soak, odd_record, seed 1).
TEST(SilentUpstream, GetsRequestsWhileAllAreAtWorkOnSlowOrders)
{
  SilentUpstream test({});
  constexpr int kOrders = 6; // so that each upstream has some
  std::vector<std::unique_ptr<CallerStandin>> callers;
  for (int i = 0; i < kOrders; ++i) {
    callers.push_back(test.m_harness.Connect());
    callers.back()->Send(Request("/order/", "order" + std::to_string(i)));
  }
  ASSERT_TRUE(test.m_harness.WaitUntil(
    [&] { return test.m_harness.CountExchanges() == kOrders; }));
  test.m_harness.RunLoopFor(kPause);
  const Exchange last = test.m_exchange;
  test.m_caller = test.m_harness.Connect();
  test.m_caller->Send(Request("/lookup/"));
  ASSERT_TRUE(test.m_harness.WaitUntil(
    [&] { return test.m_exchange != last || test.m_caller->Ended(); }));
  ASSERT_NE(last, test.m_exchange) << test.m_caller->Received();
  test.m_exchange->Write(
    MakeUpstreamResponse(test.m_exchange->Request(), 200, "done"));
  EXPECT_TRUE(test.m_harness.WaitUntil([&] { return test.m_caller->Ended(); }));
  EXPECT_TRUE(Contains(test.m_caller->Received(), "HTTP/1.1 200"));
}

// An upstream at work on a slow order, which makes it seem lost, and another
// one that comes later. Both are sound.
class SlowOrder : public SilentUpstream
{
public:
  SlowOrder()
    : SilentUpstream({ .m_extraBounds = kManyRepeats })
  {
    m_harness.RegisterUpstream(1, "draining");
    m_harness.RunLoopFor(kNewsTime);
    m_slow = m_harness.Connect();
    m_slow->Send(Request("/order/", "slow"));
    EXPECT_TRUE(m_harness.WaitUntil([&] { return m_exchange != nullptr; }));
    m_harness.RunLoopFor(kPause);
    m_harness.RegisterUpstream(1, "ready", 1);
    m_harness.RunLoopFor(kNewsTime);
  }

  // The order "a1" is answered by the upstream with the slow order.
  void ExpectAnswerOfTheSlowOne()
  {
    EXPECT_TRUE(m_harness.WaitUntil([&] { return m_caller->Ended(); }));
    EXPECT_TRUE(Contains(m_caller->Received(), "HTTP/1.1 200"))
      << m_caller->Received();
  }

  // Until the router knows of a change of a registration.
  static constexpr Duration kNewsTime{ 800 };
  std::unique_ptr<CallerStandin> m_slow;
};

void
AnswerOrder(const Exchange& aExchange)
{
  if (aExchange->Request()["X-Attempt-Id"] == "a1") {
    aExchange->Write(MakeUpstreamResponse(aExchange->Request(), 200, "done"));
  }
}

// Guards against issue 61, point 1: an order is refused because the only
// upstream that is left has sent nothing for a while.
TEST(SilentUpstream, GetsTheOrderThatAnotherOneRefuses)
{
  SlowOrder test;
  test.m_harness.Upstream(0).SetHandler(AnswerOrder);
  test.m_harness.Upstream(1).SetHandler(
    [](const Exchange& aExchange) { aExchange->Write(kRefusal); });
  test.m_caller = test.m_harness.Connect();
  test.m_caller->Send(Request("/order/"));
  test.ExpectAnswerOfTheSlowOne();
}

// The same, as no connection to the other one can be made.
TEST(SilentUpstream, GetsTheOrderThatAnotherOneDoesNotTake)
{
  SlowOrder test;
  test.m_harness.Upstream(0).SetHandler(AnswerOrder);
  test.m_harness.Upstream(1).Crash();
  test.m_caller = test.m_harness.Connect();
  test.m_caller->Send(Request("/order/"));
  test.ExpectAnswerOfTheSlowOne();
}

// Two upstreams that serve other streams meanwhile, so that neither of them
// seems to be lost.
class BusyUpstreams
{
public:
  static constexpr int kOthers = 6;
  static constexpr Duration kEventInterval{ 100 };

  BusyUpstreams()
  {
    for (std::size_t i = 0; i < m_harness.Upstreams(); ++i) {
      m_harness.Upstream(i).SetHandler([this](const Exchange& aExchange) {
        const bool isOther = aExchange->Request()["X-Attempt-Id"] != "a1";
        (isOther ? m_others : m_attempts).push_back(aExchange);
      });
    }
    for (int i = 0; i < kOthers; ++i) {
      Send("other" + std::to_string(i));
    }
    EXPECT_TRUE(
      m_harness.WaitUntil([&] { return m_others.size() == kOthers; }));
    for (const Exchange& other : m_others) {
      other->Write(MakeStreamHead(other->Request()));
    }
  }

  CallerStandin& Send(const std::string& aAttempt)
  {
    m_callers.push_back(m_harness.Connect());
    m_callers.back()->Send(Request("/resume/", aAttempt));
    return *m_callers.back();
  }

  // The other streams go on until there are so many attempts at "a1".
  void WaitForAttempts(std::size_t aCount)
  {
    const Time end = SteadyClock().Now() + kHarnessWaitTimeout;
    while (m_attempts.size() < aCount && SteadyClock().Now() < end) {
      ++m_event;
      for (const Exchange& other : m_others) {
        other->Write(MakeEventChunk(m_event));
      }
      m_harness.RunLoopFor(kEventInterval);
    }
  }

  RouterHarness m_harness{ HarnessOptions{} };
  std::vector<Exchange> m_attempts; // at "a1"
  std::vector<Exchange> m_others;
  std::vector<std::unique_ptr<CallerStandin>> m_callers;
  int m_event = 0;
};

// Guards against issue 48, LOST (soak, seeds 4725 and 41): a stream whose
// upstream paused was broken off, as the only other upstream refused it.
TEST(SilentUpstream, GetsTheStreamBackIfTheOnlyOtherOneRefuses)
{
  BusyUpstreams test;
  const CallerStandin& caller = test.Send("a1");
  test.WaitForAttempts(1);
  ASSERT_EQ(1U, test.m_attempts.size());
  const Exchange first = test.m_attempts[0];
  first->Write(MakeStreamHead(first->Request()) + MakeEventChunk(1));
  test.WaitForAttempts(2);
  ASSERT_EQ(2U, test.m_attempts.size());
  EXPECT_EQ("1", test.m_attempts[1]->Request()["Last-Event-Id"]);
  test.m_attempts[1]->Write(kRefusal);
  test.m_harness.RunLoopFor(Duration(200));
  EXPECT_FALSE(first->PeerClosed());
  EXPECT_FALSE(caller.Ended());
  first->Write(MakeEventChunk(2) + "0\r\n\r\n");
  EXPECT_TRUE(test.m_harness.WaitUntil([&] { return caller.Ended(); }));
  EXPECT_TRUE(Contains(caller.Received(), "data: e2"));
  EXPECT_TRUE(caller.Received().ends_with("\r\n0\r\n\r\n"));
}

} // namespace
} // namespace walnutwing::standin
