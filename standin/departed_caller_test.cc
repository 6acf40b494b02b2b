// Tests of callers who leave at each step of a request. Guards against
// review/15, GONE: an order whose caller had left went on from one unreachable
// upstream to the next and ran for nobody.

#include "standin/router_harness.h"

#include <csignal>

#include <gtest/gtest.h>

#include "standin/dark_address.h"

namespace walnutwing::standin {
namespace {

using Exchange = std::shared_ptr<UpstreamExchange>;

constexpr std::size_t kUpstreams = 5;
// A connect to a dark upstream is given up after 400 ms, and the next one is
// tried: these are the middles of the first three.
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

// How a caller leaves.
struct Departure
{
  const char* m_name;
  std::string m_sentBefore; // behind the request
  void (*m_leave)(CallerStandin&);
};

void
PrintTo(const Departure& aDeparture, std::ostream* aStream)
{
  *aStream << aDeparture.m_name;
}

const Departure kClose{ "Close", "", [](CallerStandin& aCaller) {
                         aCaller.Close();
                       } };

class DepartedCallerBase : public testing::Test
{
protected:
  explicit DepartedCallerBase(int aStopLimitSeconds = 8)
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

  void MakeAllDark()
  {
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      m_harness.Upstream(i).Crash();
      m_dark.push_back(std::make_unique<DarkAddress>(
        m_harness.Loop(), m_harness.Upstream(i).Endpoint()));
    }
  }

  void BringAllBack()
  {
    m_dark.clear();
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      m_harness.Upstream(i).Restart();
    }
  }

  void Send(const std::string& aPath, const Departure& aDeparture)
  {
    m_caller = m_harness.Connect();
    m_caller->Send(Request(aPath, "a1") + aDeparture.m_sentBefore);
  }

  bool WaitForArrival()
  {
    return m_harness.WaitUntil([&] { return !m_arrivals.empty(); });
  }

  // The request is sent while all upstreams are dark; its caller leaves after
  // aAfter, and then all upstreams are back.
  void LeaveWhileAllAreDark(const std::string& aPath,
                            const Departure& aDeparture,
                            Duration aAfter)
  {
    MakeAllDark();
    Send(aPath, aDeparture);
    m_harness.RunLoopFor(aAfter);
    aDeparture.m_leave(*m_caller);
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
  std::vector<std::unique_ptr<DarkAddress>> m_dark;
  std::vector<Exchange> m_arrivals;
  std::unique_ptr<CallerStandin> m_caller;
  bool m_answers = false;
};

class DepartedCaller
  : public DepartedCallerBase
  , public testing::WithParamInterface<Departure>
{};

// Guards against an order that is sent to the next upstream once a connect has
// failed, or to the first one once a connect succeeds, after its caller left.
TEST_P(DepartedCaller, OrderThatWaitsForAConnectionEnds)
{
  for (const Duration after : kMiddlesOfConnects) {
    LeaveWhileAllAreDark("/order/", GetParam(), after);
    EXPECT_EQ(0U, m_arrivals.size()) << "left after " << after.count() << " ms";
    m_arrivals.clear();
  }
  ExpectService();
}

// The same of a request that may be repeated.
TEST_P(DepartedCaller, LookupThatWaitsForAConnectionEnds)
{
  LeaveWhileAllAreDark("/lookup/", GetParam(), kMiddlesOfConnects.front());
  EXPECT_EQ(0U, m_arrivals.size());
  ExpectService();
}

// Guards against a request that a router sends before it has read that its
// caller has left, as it stood still meanwhile.
TEST_P(DepartedCaller, OrderEndsAtARouterThatStoodStill)
{
  MakeAllDark();
  Send("/order/", GetParam());
  m_harness.RunLoopFor(kMiddlesOfConnects.front());
  m_harness.Router().Signal(SIGSTOP);
  GetParam().m_leave(*m_caller);
  BringAllBack();
  m_harness.RunLoopFor(kSettleTime);
  m_harness.Router().Signal(SIGCONT);
  m_harness.RunLoopFor(kSettleTime);
  EXPECT_EQ(0U, m_arrivals.size());
  ExpectService();
}

// The same, as the request itself was not read yet.
TEST_P(DepartedCaller, OrderThatWasNotReadIsNotSent)
{
  m_harness.Router().Signal(SIGSTOP);
  Send("/order/", GetParam());
  GetParam().m_leave(*m_caller);
  m_harness.RunLoopFor(kMiddlesOfConnects.front());
  m_harness.Router().Signal(SIGCONT);
  m_harness.RunLoopFor(kSettleTime);
  EXPECT_EQ(0U, m_arrivals.size());
  ExpectService();
}

// Guards against work that goes on for nobody: the close is behind bytes that
// the router does not read yet.
TEST_P(DepartedCaller, LookupAtWorkIsCanceled)
{
  Send("/lookup/", GetParam());
  ASSERT_TRUE(WaitForArrival());
  GetParam().m_leave(*m_caller);
  EXPECT_TRUE(
    m_harness.WaitUntil([&] { return m_arrivals.front()->PeerClosed(); }));
  m_harness.RunLoopFor(kSettleTime);
  EXPECT_EQ(1U, m_arrivals.size());
}

// Guards against a cut of an order that has begun: it runs to its end.
TEST_P(DepartedCaller, OrderAtWorkGoesOn)
{
  Send("/order/", GetParam());
  ASSERT_TRUE(WaitForArrival());
  GetParam().m_leave(*m_caller);
  m_harness.RunLoopFor(kWorkTime);
  EXPECT_FALSE(m_arrivals.front()->PeerClosed());
  m_arrivals.front()->Write(
    MakeUpstreamResponse(m_arrivals.front()->Request(), 200, "done"));
  m_harness.RunLoopFor(kSettleTime);
  EXPECT_EQ(1U, m_arrivals.size());
}

// Guards against a second attempt for nobody, after the first was refused.
TEST_P(DepartedCaller, OrderThatIsRefusedAfterwardsEnds)
{
  Send("/order/", GetParam());
  ASSERT_TRUE(WaitForArrival());
  GetParam().m_leave(*m_caller);
  m_harness.RunLoopFor(kWorkTime);
  m_arrivals.front()->Write(MakeUpstreamResponse(
    m_arrivals.front()->Request(), 503, "", "X-Not-Executed: 1\r\n"));
  m_harness.RunLoopFor(kSettleTime);
  EXPECT_EQ(1U, m_arrivals.size());
}

INSTANTIATE_TEST_SUITE_P(
  Departures,
  DepartedCaller,
  testing::Values(
    kClose,
    Departure{ "Reset", "", [](CallerStandin& aCaller) { aCaller.Reset(); } },
    Departure{ "HalfClose",
               "",
               [](CallerStandin& aCaller) { aCaller.HalfClose(); } },
    Departure{ "CloseBehindAPipelinedRequest",
               Request("/order/", "a2"),
               [](CallerStandin& aCaller) { aCaller.Close(); } },
    Departure{ "HalfCloseBehindUnreadBytes",
               std::string(kUnreadBytes, 'x'),
               [](CallerStandin& aCaller) { aCaller.HalfClose(); } },
    Departure{ "ResetBehindUnreadBytes",
               std::string(kUnreadBytes, 'x'),
               [](CallerStandin& aCaller) { aCaller.Reset(); } }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

// Requests whose caller stays, and that wait for a connection when they end.
// Guards against a false answer: that they may have run.
class WaitingRequest : public DepartedCallerBase
{
protected:
  WaitingRequest()
    : DepartedCallerBase(1)
  {
  }

  void ExpectRefusal(const std::string& aStatus)
  {
    EXPECT_TRUE(
      m_harness.WaitUntil([&] { return !m_caller->Received().empty(); }));
    EXPECT_TRUE(m_caller->Received().starts_with("HTTP/1.1 " + aStatus))
      << m_caller->Received();
    EXPECT_TRUE(m_harness.WaitUntil([&] {
      const std::string log = m_harness.LogText();
      return Contains(log, "request_refused") ||
             Contains(log, "request_failed");
    }));
    EXPECT_TRUE(Contains(m_harness.LogText(), "request_refused"));
  }
};

TEST_F(WaitingRequest, IsRefusedAtTheEndOfAStop)
{
  MakeAllDark();
  Send("/order/", kClose);
  m_harness.RunLoopFor(kMiddlesOfConnects.front());
  m_harness.Router().Signal(SIGTERM);
  ExpectRefusal("503");
}

TEST_F(WaitingRequest, IsRefusedAtItsDeadline)
{
  MakeAllDark();
  m_caller = m_harness.Connect();
  m_caller->Send("GET /order/ HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1"
                 "\r\nAuthorization: Bearer k1\r\nX-Deadline-Ms: 500\r\n\r\n");
  ExpectRefusal("504");
}

} // namespace
} // namespace walnutwing::standin
