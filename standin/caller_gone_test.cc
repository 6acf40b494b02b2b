// Tests of callers that disconnect at each step of a request. Guards against
// review/15, GONE: an order whose caller had left went on from one unreachable
// upstream to the next and ran for nobody.

#include "standin/router_harness.h"

#include <csignal>

#include <gtest/gtest.h>

#include "standin/blackhole_address.h"

namespace walnutwing::standin {
namespace {

using Exchange = std::shared_ptr<UpstreamExchange>;

constexpr std::size_t kUpstreams = 5;
// A connect to an unresponsive upstream is given up after 400 ms, and the next
// one is tried: these are the middles of the first three.
constexpr std::array<Duration, 3> kMiddlesOfConnects = { Duration(150),
                                                         Duration(550),
                                                         Duration(950) };
// In which all attempts of a request end, or would end, and a later one
// arrives.
constexpr Duration kSettleTime{ 1200 };
constexpr Duration kWorkTime{ 300 };
// More than a router's input buffer takes; the rest fits into its socket's.
constexpr std::size_t kUnreadBytes = 90'000;

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

std::string
Request(const std::string& aPath, const std::string& aId)
{
  return "POST " + aPath +
         " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + aId +
         "\r\nAuthorization: Bearer k1\r\nContent-Length: 4\r\n\r\nbody";
}

// How a caller disconnects.
struct Disconnect
{
  const char* m_name;
  std::string m_sentBefore; // after the request
  void (*m_disconnect)(CallerStandin&);
};

void
PrintTo(const Disconnect& aDisconnect, std::ostream* aStream)
{
  *aStream << aDisconnect.m_name;
}

const Disconnect kClose{ "Close", "", [](CallerStandin& aCaller) {
                          aCaller.Close();
                        } };

class CallerGoneFixture : public testing::Test
{
protected:
  explicit CallerGoneFixture(int aStopLimitSeconds = 8)
    : m_harness(HarnessOptions{ .m_upstreams = kUpstreams,
                                .m_stopLimitSeconds = aStopLimitSeconds })
  {
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      m_harness.Upstream(i).SetHandler([this](const Exchange& aExchange) {
        m_arrivals.push_back(aExchange);
        if (m_answers) {
          aExchange->Write(
            MakeUpstreamResponse(aExchange->Request(), 200, "done"));
        }
      });
    }
  }

  void BlackholeAll()
  {
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      m_harness.Upstream(i).Crash();
      m_blackholes.push_back(std::make_unique<BlackholeAddress>(
        m_harness.Loop(), m_harness.Upstream(i).Endpoint()));
    }
  }

  void BringAllBack()
  {
    m_blackholes.clear();
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      m_harness.Upstream(i).Restart();
    }
  }

  void Send(const std::string& aPath, const Disconnect& aDisconnect)
  {
    m_caller = m_harness.Connect();
    m_caller->Send(Request(aPath, "a1") + aDisconnect.m_sentBefore);
  }

  bool WaitForArrival()
  {
    return m_harness.WaitUntil([&] { return !m_arrivals.empty(); });
  }

  // The request is sent while all upstreams are unresponsive. Its caller
  // disconnects after aAfter, and then all upstreams are back.
  void LeaveWhileNoneResponds(const std::string& aPath,
                              const Disconnect& aDisconnect,
                              Duration aAfter)
  {
    BlackholeAll();
    Send(aPath, aDisconnect);
    m_harness.RunLoopFor(aAfter);
    aDisconnect.m_disconnect(*m_caller);
    BringAllBack();
    m_harness.RunLoopFor(kSettleTime);
  }

  // Whether the router runs and answers.
  void ExpectService()
  {
    m_answers = true;
    EXPECT_TRUE(m_harness.WaitUntil([&] {
      return m_harness.Fetch("GET", "/lookup/").starts_with("HTTP/1.1 200");
    }));
  }

  RouterHarness m_harness;
  std::vector<std::unique_ptr<BlackholeAddress>> m_blackholes;
  std::vector<Exchange> m_arrivals;
  std::unique_ptr<CallerStandin> m_caller;
  bool m_answers = false;
};

class CallerGone
  : public CallerGoneFixture
  , public testing::WithParamInterface<Disconnect>
{};

// Guards against an order that is sent to the next upstream once a connect has
// failed, or to the first one once a connect succeeds, after its caller left.
TEST_P(CallerGone, OrderThatWaitsForAConnectionEnds)
{
  for (const Duration after : kMiddlesOfConnects) {
    LeaveWhileNoneResponds("/order/", GetParam(), after);
    EXPECT_EQ(0U, m_arrivals.size()) << "left after " << after.count() << " ms";
    m_arrivals.clear();
  }
  ExpectService();
}

// The same of a request that may be repeated.
TEST_P(CallerGone, LookupThatWaitsForAConnectionEnds)
{
  LeaveWhileNoneResponds("/lookup/", GetParam(), kMiddlesOfConnects.front());
  EXPECT_EQ(0U, m_arrivals.size());
  ExpectService();
}

// Guards against a request that a router sends before it has read that its
// caller has left, as it stood still meanwhile.
TEST_P(CallerGone, OrderEndsAtARouterThatStoodStill)
{
  BlackholeAll();
  Send("/order/", GetParam());
  m_harness.RunLoopFor(kMiddlesOfConnects.front());
  m_harness.Router().Signal(SIGSTOP);
  GetParam().m_disconnect(*m_caller);
  BringAllBack();
  m_harness.RunLoopFor(kSettleTime);
  m_harness.Router().Signal(SIGCONT);
  m_harness.RunLoopFor(kSettleTime);
  EXPECT_EQ(0U, m_arrivals.size());
  ExpectService();
}

// The same, as the request itself was not read yet.
TEST_P(CallerGone, OrderThatWasNotReadIsNotSent)
{
  m_harness.Router().Signal(SIGSTOP);
  Send("/order/", GetParam());
  GetParam().m_disconnect(*m_caller);
  m_harness.RunLoopFor(kMiddlesOfConnects.front());
  m_harness.Router().Signal(SIGCONT);
  m_harness.RunLoopFor(kSettleTime);
  EXPECT_EQ(0U, m_arrivals.size());
  ExpectService();
}

// Guards against work that goes on for nobody: the close is behind bytes that
// the router does not read yet.
TEST_P(CallerGone, LookupAtWorkIsCanceled)
{
  Send("/lookup/", GetParam());
  ASSERT_TRUE(WaitForArrival());
  GetParam().m_disconnect(*m_caller);
  EXPECT_TRUE(
    m_harness.WaitUntil([&] { return m_arrivals.front()->PeerClosed(); }));
  m_harness.RunLoopFor(kSettleTime);
  EXPECT_EQ(1U, m_arrivals.size());
}

// Guards against a cut of an order that has begun: it runs to its end.
TEST_P(CallerGone, OrderAtWorkGoesOn)
{
  Send("/order/", GetParam());
  ASSERT_TRUE(WaitForArrival());
  GetParam().m_disconnect(*m_caller);
  m_harness.RunLoopFor(kWorkTime);
  EXPECT_FALSE(m_arrivals.front()->PeerClosed());
  m_arrivals.front()->Write(
    MakeUpstreamResponse(m_arrivals.front()->Request(), 200, "done"));
  m_harness.RunLoopFor(kSettleTime);
  EXPECT_EQ(1U, m_arrivals.size());
}

// Guards against a second attempt for nobody, after the first was refused.
TEST_P(CallerGone, OrderThatIsRefusedAfterwardsEnds)
{
  Send("/order/", GetParam());
  ASSERT_TRUE(WaitForArrival());
  GetParam().m_disconnect(*m_caller);
  m_harness.RunLoopFor(kWorkTime);
  m_arrivals.front()->Write(MakeUpstreamResponse(
    m_arrivals.front()->Request(), 503, "", "X-Not-Executed: 1\r\n"));
  m_harness.RunLoopFor(kSettleTime);
  EXPECT_EQ(1U, m_arrivals.size());
}

INSTANTIATE_TEST_SUITE_P(
  Disconnects,
  CallerGone,
  testing::Values(
    kClose,
    Disconnect{ "Reset", "", [](CallerStandin& aCaller) { aCaller.Reset(); } },
    Disconnect{ "HalfClose",
                "",
                [](CallerStandin& aCaller) { aCaller.HalfClose(); } },
    Disconnect{ "CloseBehindAPipelinedRequest",
                Request("/order/", "a2"),
                [](CallerStandin& aCaller) { aCaller.Close(); } },
    Disconnect{ "HalfCloseBehindUnreadBytes",
                std::string(kUnreadBytes, 'x'),
                [](CallerStandin& aCaller) { aCaller.HalfClose(); } },
    Disconnect{ "ResetBehindUnreadBytes",
                std::string(kUnreadBytes, 'x'),
                [](CallerStandin& aCaller) { aCaller.Reset(); } }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

// Requests whose caller stays, and that wait for a connection when they end.
// Guards against a false answer: that they may have run.
class WaitingRequest : public CallerGoneFixture
{
protected:
  WaitingRequest()
    : CallerGoneFixture(1)
  {
  }

  // aCode: of the response, which says that the request has not run.
  void ExpectRefusal(const std::string& aCode)
  {
    EXPECT_TRUE(
      m_harness.WaitUntil([&] { return !m_caller->Received().empty(); }));
    EXPECT_TRUE(Contains(m_caller->Received(), "walnutwing-code: " + aCode))
      << m_caller->Received();
  }
};

TEST_F(WaitingRequest, IsRefusedAtTheEndOfAStop)
{
  BlackholeAll();
  Send("/order/", kClose);
  m_harness.RunLoopFor(kMiddlesOfConnects.front());
  m_harness.Router().Signal(SIGTERM);
  ExpectRefusal("2006");
}

TEST_F(WaitingRequest, IsRefusedAtItsDeadline)
{
  BlackholeAll();
  m_caller = m_harness.Connect();
  m_caller->Send("GET /order/ HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1"
                 "\r\nAuthorization: Bearer k1\r\nX-Deadline-Ms: 500\r\n\r\n");
  ExpectRefusal("2005");
}

} // namespace
} // namespace walnutwing::standin
