// Tests of a router whose upstreams have fewer slots than requests. Guards
// against issue 54: what had no room at once was refused and sent away for
// longer than its target, or queued at the upstream, whoever was urgent.

#include "standin/router_harness.h"

#include <algorithm>
#include <csignal>
#include <deque>
#include <set>

#include <gtest/gtest.h>

namespace walnutwing::standin {
namespace {

using Exchange = std::shared_ptr<UpstreamExchange>;

constexpr std::size_t kSlots = 8; // of the harness's upstreams
// Requests that a router sends to an upstream at once: before any was answered,
// and at most.
constexpr std::size_t kFirstSent = kSlots + kSlots / 2;
constexpr std::size_t kMaxSent = 2 * kSlots;
constexpr std::size_t kBurst = 40;
constexpr Duration kWorkTime{ 20 };

Time
Now()
{
  return SteadyClock().Now();
}

std::size_t
CountOf(const std::string& aText, const std::string& aPart)
{
  std::size_t count = 0;
  for (auto at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

// An upstream that works on as many requests as it has slots, in the order of
// their arrival, once it is told to begin.
class WaitingRequests : public testing::Test
{
protected:
  WaitingRequests()
    : m_harness(1)
  {
    m_harness.Upstream(0).SetRecordsExchanges(false);
    m_harness.Upstream(0).SetHandler([this](const Exchange& aExchange) {
      ++m_runs[std::string(aExchange->Request()["X-Attempt-Id"])];
      m_queue.push_back(aExchange);
      m_most = std::max(m_most, m_queue.size());
    });
    EXPECT_TRUE(m_harness.WaitUntil(
      [this] { return CountOf(m_harness.LogText(), R"("daemons":1)") > 0; }));
    m_harness.RunLoopFor(Duration(200)); // the hub counts loads every 100 ms
  }

  void SendBurst()
  {
    for (std::size_t i = 0; i < kBurst; ++i) {
      m_callers.push_back(m_harness.Connect());
      m_callers.back()->Send("POST /order/ HTTP/1.1\r\nHost: h.example\r\n"
                             "X-Attempt-Id: a" +
                             std::to_string(i) +
                             "\r\nAuthorization: Bearer k1\r\n"
                             "Content-Length: 0\r\n\r\n");
    }
    EXPECT_TRUE(m_harness.WaitUntil([this] {
      return CountOf(m_harness.LogText(), R"("request_waits")") ==
             kBurst - kFirstSent;
    }));
  }

  // Works until all callers that are left have an answer.
  bool ServeAll()
  {
    const Time end = Now() + kHarnessWaitTimeout;
    while (Answers(" 200 ") + Answers(" 503 ") < m_callers.size()) {
      if (Now() >= end) {
        return false;
      }
      m_harness.RunLoopFor(kWorkTime);
      for (std::size_t i = 0; i < kSlots && !m_queue.empty(); ++i) {
        const Exchange exchange = m_queue.front();
        m_queue.pop_front();
        exchange->Write(MakeUpstreamResponse(exchange->Request(), 200, "done"));
      }
    }
    return true;
  }

  // Callers whose answer has that status.
  std::size_t Answers(const std::string& aStatus) const
  {
    return static_cast<std::size_t>(std::count_if(
      m_callers.begin(), m_callers.end(), [&](const auto& aCaller) {
        return aCaller->Received().substr(0, 20).find(aStatus) !=
               std::string::npos;
      }));
  }

  std::size_t MostRuns() const
  {
    std::size_t most = 0;
    for (const auto& [id, runs] : m_runs) {
      most = std::max(most, runs);
    }
    return most;
  }

  RouterHarness m_harness;
  std::deque<Exchange> m_queue;
  std::map<std::string, std::size_t> m_runs; // by attempt id
  std::size_t m_most = 0;                    // at the upstream at once
  std::vector<std::unique_ptr<CallerStandin>> m_callers;
};

// Load: a burst of orders at a slow upstream of few slots. All are served, and
// the upstream never gets more than it needs to stay busy.
TEST_F(WaitingRequests, BurstIsServedWithoutRefusals)
{
  SendBurst();
  EXPECT_TRUE(ServeAll());
  EXPECT_EQ(kBurst, Answers(" 200 "));
  EXPECT_EQ(kBurst, m_runs.size());
  EXPECT_EQ(1U, MostRuns());
  EXPECT_LE(m_most, kMaxSent);
  const std::string metrics = m_harness.MetricsText();
  EXPECT_EQ(1U, CountOf(metrics, "walnutwing_requests_waited_total{"));
  EXPECT_EQ(1U, CountOf(metrics, R"(end="sent"} 28)"));
  EXPECT_EQ(1U,
            CountOf(metrics, R"(walnutwing_requests_waiting{service="s"} 0)"));
}

// Guards against work for callers that have left while they waited.
TEST_F(WaitingRequests, CallerThatLeavesIsNotServed)
{
  SendBurst();
  m_callers.erase(m_callers.begin() + kFirstSent, m_callers.end());
  EXPECT_TRUE(m_harness.WaitUntil([this] {
    return CountOf(m_harness.LogText(), R"("caller_gone")") ==
           kBurst - kFirstSent;
  }));
  EXPECT_TRUE(ServeAll());
  EXPECT_EQ(kFirstSent, m_runs.size());
}

// Failure: the only upstream dies with requests waiting for it. These have not
// run, so all are refused; those that were sent may have run.
TEST_F(WaitingRequests, LossOfTheUpstreamRefusesWhatWaits)
{
  SendBurst();
  m_queue.clear();
  m_harness.Upstream(0).Crash();
  EXPECT_TRUE(m_harness.WaitUntil(
    [this] { return Answers(" 503 ") + Answers(" 502 ") == kBurst; }));
  EXPECT_GE(Answers(" 503 "), kBurst - kFirstSent);
  EXPECT_EQ(kFirstSent, m_runs.size());
}

// Failure: the process is stopped while requests wait. All are served, or
// refused without having run.
TEST_F(WaitingRequests, PlannedStopServesOrRefusesWhatWaits)
{
  SendBurst();
  m_harness.Router().Signal(SIGTERM);
  EXPECT_TRUE(ServeAll());
  EXPECT_EQ(kBurst, Answers(" 200 ") + Answers(" 503 "));
  EXPECT_EQ(m_runs.size(), Answers(" 200 "));
  EXPECT_TRUE(m_harness.WaitUntil(
    [this] { return m_harness.Router().ExitStatus() == 0; }));
}

} // namespace
} // namespace walnutwing::standin
