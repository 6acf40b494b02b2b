// Tests of a fleet of routers whose upstreams state how many requests a second
// they take from all routers together. Guards against issue 32, LIMIT: routers
// did not read the limit, so an upstream in need got its share of all requests.
//
// The bound is that of the platform's rules: from kContact after an upstream
// first stated its limit, it gets in any kWindow at most one and a half times
// what the limit allows, plus kAllowance.

#include "standin/router_harness.h"

#include <algorithm>
#include <csignal>
#include <deque>

#include <gtest/gtest.h>

namespace walnutwing::standin {
namespace {

using Exchange = std::shared_ptr<UpstreamExchange>;

constexpr Duration kContact{ 3000 };
constexpr Duration kWindow{ 4000 };
constexpr double kAllowedMultiple = 1.5;
constexpr double kAllowance = 5;

constexpr std::size_t kRouters = 4; // two in each of two zones
constexpr std::size_t kUpstreams = 6;
constexpr double kLimit = 3; // requests a second
constexpr Duration kServiceTime{ 150 };

Time
Now()
{
  return SteadyClock().Now();
}

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

class RequestLimit : public testing::Test
{
protected:
  RequestLimit()
    : m_harness(
        HarnessOptions{ .m_upstreams = kUpstreams, .m_routers = kRouters })
    , m_arrivals(kUpstreams)
    , m_limits(kUpstreams)
  {
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      m_harness.Upstream(i).SetRecordsExchanges(false);
      m_harness.Upstream(i).SetHandler([this, i](const Exchange& aExchange) {
        m_arrivals[i].push_back(Now());
        m_pending.push_back({ Now() + kServiceTime, i, aExchange });
      });
    }
    for (std::size_t i = 0; i < kRouters; ++i) {
      EXPECT_TRUE(m_harness.WaitUntil(
        [&] { return Contains(m_harness.LogText(i), R"("daemons":4)"); }));
    }
  }

  void RunFor(Duration aTime)
  {
    const Time end = Now() + aTime;
    while (Now() < end) {
      m_harness.RunLoopFor(Duration(5));
      while (!m_pending.empty() && Now() >= m_pending.front().m_at) {
        Answer(m_pending.front());
        m_pending.pop_front();
      }
    }
  }

  // Sends 50 requests a second, in turn to these routers.
  void Play(Duration aTime, const std::vector<std::size_t>& aRouters)
  {
    const Time end = Now() + aTime;
    for (std::size_t i = 0; Now() < end; ++i) {
      m_callers.push_back(m_harness.Connect(aRouters[i % aRouters.size()]));
      m_callers.back()->Send("GET /lookup/ HTTP/1.1\r\nHost: h.example\r\n"
                             "X-Attempt-Id: a" +
                             std::to_string(m_callers.size()) +
                             "\r\nAuthorization: Bearer k1\r\n\r\n");
      RunFor(Duration(20));
    }
  }
  void Play(Duration aTime) { Play(aTime, { 0, 1, 2, 3 }); }

  void SetLimit(std::size_t aUpstreams, std::optional<double> aPerSecond)
  {
    for (std::size_t i = 0; i < aUpstreams; ++i) {
      m_limits[i] = aPerSecond;
    }
  }

  // The most requests that an upstream got in any window since aSince.
  std::size_t MostInAWindow(std::size_t aUpstream, Time aSince) const
  {
    const std::vector<Time>& times = m_arrivals[aUpstream];
    std::size_t most = 0;
    auto begin = std::lower_bound(times.begin(), times.end(), aSince);
    for (auto end = begin; end != times.end(); ++end) {
      while (*end - *begin >= kWindow) {
        ++begin;
      }
      most = std::max(most, static_cast<std::size_t>(end - begin) + 1);
    }
    return most;
  }

  static std::size_t AllowedInAWindow(double aLimit)
  {
    const double seconds = std::chrono::duration<double>(kWindow).count();
    return static_cast<std::size_t>(kAllowedMultiple * aLimit * seconds +
                                    kAllowance);
  }

  std::size_t CountAnswers(std::size_t aFrom, const std::string& aText) const
  {
    return static_cast<std::size_t>(
      std::count_if(m_callers.begin() + static_cast<std::ptrdiff_t>(aFrom),
                    m_callers.end(),
                    [&](const auto& aCaller) {
                      return Contains(aCaller->Received(), aText);
                    }));
  }

  struct Pending
  {
    Time m_at;
    std::size_t m_upstream;
    Exchange m_exchange;
  };

  void Answer(const Pending& aPending)
  {
    const std::optional<double>& limit = m_limits[aPending.m_upstream];
    aPending.m_exchange->Write(MakeUpstreamResponse(
      aPending.m_exchange->Request(),
      200,
      "done",
      limit ? "Server-Limit: " + std::to_string(*limit) + "\r\n" : ""));
  }

  RouterHarness m_harness;
  std::vector<std::vector<Time>> m_arrivals; // by upstream
  std::vector<std::optional<double>> m_limits;
  std::deque<Pending> m_pending;
  std::vector<std::unique_ptr<CallerStandin>> m_callers;
};

// Guards against an upstream that gets more than its limit, and against
// requests that are refused although other upstreams have room.
TEST_F(RequestLimit, HoldsOverAllRouters)
{
  SetLimit(4, kLimit);
  Play(kContact);
  const Time since = Now();
  const std::size_t first = m_callers.size();
  Play(2 * kWindow);
  RunFor(Duration(500));
  for (std::size_t i = 0; i < 4; ++i) {
    EXPECT_LE(MostInAWindow(i, since), AllowedInAWindow(kLimit)) << i;
    // The upstream is not left alone either: half of what it takes.
    EXPECT_GE(MostInAWindow(i, since), 6U) << i;
  }
  EXPECT_EQ(m_callers.size() - first, CountAnswers(first, "200"));
}

// Guards against requests that wait for nothing: if all upstreams have had what
// they take, a request is refused at once, with a number and a time.
TEST_F(RequestLimit, RefusesAtOnceWhatNoUpstreamTakes)
{
  SetLimit(kUpstreams, kLimit);
  Play(kContact);
  const Time since = Now();
  const std::size_t first = m_callers.size();
  Play(2 * kWindow);
  RunFor(Duration(500));
  for (std::size_t i = 0; i < kUpstreams; ++i) {
    EXPECT_LE(MostInAWindow(i, since), AllowedInAWindow(kLimit)) << i;
  }
  const std::size_t served = CountAnswers(first, "HTTP/1.1 200");
  const std::size_t refused = CountAnswers(first, "walnutwing-code: 2013");
  EXPECT_EQ(m_callers.size() - first, served + refused);
  EXPECT_EQ(refused, CountAnswers(first, "Retry-After: "));
  // Of 18 requests a second that the upstreams take, most are sent.
  EXPECT_GE(served, 2 * kWindow / std::chrono::seconds(1) * 12);
}

// Guards against an upstream that is spared for ever.
TEST_F(RequestLimit, EndsWithTheAnswersThatStateIt)
{
  SetLimit(kUpstreams, kLimit);
  Play(kContact);
  SetLimit(kUpstreams, std::nullopt);
  Play(kContact);
  const std::size_t first = m_callers.size();
  Play(kContact);
  RunFor(Duration(500));
  EXPECT_EQ(m_callers.size() - first, CountAnswers(first, "HTTP/1.1 200"));
}

// Guards against a line for each message, because a limit that another router
// had passed on differed in its last digits from the one in a response.
TEST_F(RequestLimit, IsLoggedOnceAtEachRouter)
{
  SetLimit(kUpstreams, 4.3);
  Play(kContact);
  for (std::size_t i = 0; i < kRouters; ++i) {
    const std::string log = m_harness.LogText(i);
    std::size_t lines = 0;
    for (std::size_t at = log.find("upstream_limited"); at != std::string::npos;
         at = log.find("upstream_limited", at + 1)) {
      ++lines;
    }
    EXPECT_LE(lines, kUpstreams);
  }
}

// Guards against routers that send what they like while the one that counts for
// their zone does not answer.
TEST_F(RequestLimit, HoldsWhileARouterIsFrozen)
{
  SetLimit(4, kLimit);
  Play(kContact);
  const Time since = Now();
  m_harness.Router(0).Signal(SIGSTOP);
  Play(2 * kWindow, { 1, 2, 3 });
  m_harness.Router(0).Signal(SIGCONT);
  for (std::size_t i = 0; i < 4; ++i) {
    EXPECT_LE(MostInAWindow(i, since), AllowedInAWindow(kLimit)) << i;
  }
  m_harness.Router(1).Signal(SIGSTOP);
  Play(kWindow, { 0, 2, 3 });
  m_harness.Router(1).Signal(SIGCONT);
  for (std::size_t i = 0; i < 4; ++i) {
    EXPECT_LE(MostInAWindow(i, since), AllowedInAWindow(kLimit)) << i;
  }
}

} // namespace
} // namespace walnutwing::standin
