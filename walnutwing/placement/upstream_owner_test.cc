#include "walnutwing/placement/upstream_owner.h"

#include <algorithm>
#include <random>
#include <set>
#include <string>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

using std::chrono::seconds;

const DaemonId kDaemon("d1");

// Drives one owner by its public events and records its answers.
class OwnerDriver
{
public:
  explicit OwnerDriver(
    OwnerOptions aOptions = {},
    bool aCold = false,
    bool aSoleOwner = true,
    const std::optional<proto::UpstreamState>& aLastState = {})
    : m_owner(UpstreamId("e"), aOptions, 1, aCold, aLastState, m_clock.Now())
  {
    if (aSoleOwner) {
      m_owner.OnHandover(m_clock.Now(), m_actions);
    }
  }

  // Returns "grant", "wait" or the result code with which the request is
  // denied.
  std::string RequestPermit(std::uint64_t aId,
                            bool aMayWait = false,
                            const std::string& aCustomer = "c",
                            std::uint32_t aPriority = 0,
                            Duration aDeadline = seconds(60),
                            const DaemonId& aFrom = kDaemon)
  {
    proto::PermitRequest request;
    request.set_request_id(aId);
    request.set_customer(aCustomer);
    request.set_priority(aPriority);
    request.set_may_wait(aMayWait);
    request.set_deadline_ms(static_cast<std::uint32_t>(aDeadline.count()));
    m_actions.clear();
    m_owner.OnPermitRequest(aFrom, request, m_clock.Now(), m_actions);
    return AnswerTo(aId);
  }

  // Sends aCount new permit requests one after the other and returns the number
  // of grants.
  std::uint32_t RequestPermits(std::uint32_t aCount)
  {
    std::uint32_t granted = 0;
    for (std::uint32_t i = 0; i < aCount; ++i) {
      granted += RequestPermit(m_nextId++) == "grant" ? 1 : 0;
    }
    return granted;
  }

  void Release(std::uint64_t aId, bool aCold = false)
  {
    proto::PermitRelease release;
    release.set_request_id(aId);
    release.set_cold(aCold);
    m_actions.clear();
    m_owner.OnRelease(kDaemon, release, m_clock.Now(), m_actions);
  }

  void ReportPermits(const std::vector<std::uint64_t>& aIds,
                     const DaemonId& aFrom = kDaemon)
  {
    proto::PermitReport report;
    report.mutable_request_ids()->Add(aIds.begin(), aIds.end());
    m_actions.clear();
    m_owner.OnReport(aFrom, report, m_clock.Now(), m_actions);
  }

  void ReportLoad(std::uint32_t aRunning,
                  bool aCold,
                  Duration aAge = Duration(0))
  {
    m_actions.clear();
    m_owner.OnLoad(
      { aRunning, 0, aCold, m_clock.Now() - aAge }, m_clock.Now(), m_actions);
  }

  void SetMeanLoad(double aMean)
  {
    m_actions.clear();
    m_owner.OnMeanLoad(aMean, m_clock.Now(), m_actions);
  }

  // Advances the clock with a tick every second, or in one step as after a
  // pause of the process.
  void AdvanceTime(Duration aTime, bool aPaused = false)
  {
    m_actions.clear();
    const Duration step = aPaused ? aTime : Duration(seconds(1));
    for (Duration passed(0); passed < aTime; passed += step) {
      m_clock.Advance(std::min(step, aTime - passed));
      m_owner.OnTick(m_clock.Now(), m_actions);
    }
  }

  std::string AnswerTo(std::uint64_t aId) const
  {
    std::string answer = "wait";
    for (const OwnerAction& action : m_actions) {
      if (const auto* grant = std::get_if<SendGrant>(&action)) {
        answer = grant->m_grant.request_id() == aId ? "grant" : answer;
        continue;
      }
      const proto::PermitDeny& deny = std::get<SendDeny>(action).m_deny;
      answer = deny.request_id() == aId ? std::to_string(deny.code()) : answer;
    }
    return answer;
  }

  std::uint32_t Window() const { return m_owner.Window(m_clock.Now()); }

  PausedClock m_clock;
  OwnerActions m_actions;
  UpstreamOwner m_owner;

private:
  std::uint64_t m_nextId = 1000;
};

TEST(UpstreamOwner, WindowFollowsTheLoadBound)
{
  struct Case
  {
    double m_mean;
    std::uint32_t m_percent;
    std::uint32_t m_window; // min(slots 100, max(4, ceil(c * mean)))
  };
  for (const Case& test :
       std::vector<Case>{ { 0, 125, 4 }, // min_window admits the first requests
                          { 3, 125, 4 },
                          { 4, 125, 5 },
                          { 10, 125, 13 },
                          { 40, 125, 50 },
                          { 40, 100, 40 },
                          { 90, 125, 100 } }) {
    OwnerOptions options;
    options.m_slots = 100;
    options.m_loadBoundPercent = test.m_percent;
    OwnerDriver driver(options);
    driver.SetMeanLoad(test.m_mean);
    EXPECT_EQ(test.m_window, driver.Window()) << test.m_mean;
    EXPECT_EQ(test.m_window, driver.RequestPermits(200)) << test.m_mean;
  }
}

TEST(UpstreamOwner, DeniesImmediatelyWhenFullLateOrOverShare)
{
  OwnerOptions options;
  options.m_minWindow = 1;
  options.m_queueLimit = 1;
  OwnerDriver driver(options);
  EXPECT_EQ("grant", driver.RequestPermit(1));
  EXPECT_EQ("grant",
            driver.RequestPermit(1)); // the grant was lost: granted again
  driver.AdvanceTime(seconds(10));
  driver.Release(1); // the average permit duration is 10 s
  EXPECT_EQ("grant", driver.RequestPermit(2, true, "big"));
  EXPECT_EQ("2004", driver.RequestPermit(3)); // QueueFull: may not wait
  EXPECT_EQ("2005", driver.RequestPermit(4, true, "c", 0, seconds(2)));
  EXPECT_EQ("wait", driver.RequestPermit(5, true, "c", 1));
  EXPECT_EQ("2004",
            driver.RequestPermit(6, true, "c", 2)); // queue full, less urgent
  EXPECT_EQ("wait",
            driver.RequestPermit(7, true, "c", 0)); // more urgent than 5
  EXPECT_EQ("2004", driver.AnswerTo(5));
  EXPECT_EQ("2003", driver.RequestPermit(8, true, "big", 0)); // over its share
  for (const OwnerAction& action : driver.m_actions) {
    EXPECT_GE(std::get<SendDeny>(action).m_deny.retry_after_ms(), 10'000U);
  }
  driver.AdvanceTime(seconds(60));
  EXPECT_EQ("2005", driver.AnswerTo(7)); // its deadline passed in the queue
  EXPECT_EQ(0U, driver.m_owner.Waiting());
}

TEST(UpstreamOwner, QueueOrderIsPriorityThenShareThenDeadline)
{
  OwnerOptions options;
  options.m_minWindow = 4;
  OwnerDriver driver(options);
  driver.m_owner.SetShares({ { CustomerId("big"), 3 } });
  for (const std::uint64_t id : { 1, 2 }) {
    ASSERT_EQ("grant", driver.RequestPermit(id, true, "small"));
  }
  for (const std::uint64_t id : { 3, 4 }) {
    ASSERT_EQ("grant", driver.RequestPermit(id, true, "big"));
  }
  ASSERT_EQ("wait", driver.RequestPermit(11, true, "small", 1));
  ASSERT_EQ("wait", driver.RequestPermit(12, true, "big", 1, seconds(50)));
  ASSERT_EQ("wait", driver.RequestPermit(13, true, "big", 1, seconds(40)));
  ASSERT_EQ("wait", driver.RequestPermit(14, true, "small", 0));
  for (const auto& [ended, next] :
       std::vector<std::pair<std::uint64_t, std::uint64_t>>{
         { 3, 14 }, { 4, 13 }, { 13, 12 }, { 12, 11 } }) {
    driver.Release(ended);
    EXPECT_EQ("grant", driver.AnswerTo(next)) << next;
  }
}

TEST(UpstreamOwner, SlowStartLimitsGrantsToColdWindow)
{
  OwnerOptions options;
  options.m_coldSlots = 2;
  OwnerDriver driver(options, true);
  driver.SetMeanLoad(40);
  EXPECT_EQ(2U, driver.RequestPermits(100));
  // While reports say cold, completed answers do not raise the window.
  driver.ReportLoad(2, true);
  for (const std::uint64_t id : { 1000, 1001 }) {
    driver.Release(id);
  }
  EXPECT_EQ(2U, driver.RequestPermits(100));
  for (const std::uint64_t id : { 1100, 1101 }) {
    driver.Release(id);
  }
  EXPECT_TRUE(driver.m_owner.IsCold());
  // Then the window grows only by answers and at most doubles per doubling
  // time.
  std::uint32_t before = driver.Window();
  std::uint64_t next = 1;
  while (driver.m_owner.IsCold()) {
    driver.AdvanceTime(seconds(1));
    driver.ReportLoad(driver.m_owner.InProgress(), false);
    EXPECT_EQ(before, driver.Window());
    for (int i = 0; i < 100; ++i) {
      if (driver.RequestPermit(next) == "grant") {
        driver.Release(next++);
      }
      ASSERT_LE(driver.Window(), 2 * before);
    }
    ASSERT_GT(driver.Window(), before);
    before = driver.Window();
  }
  EXPECT_EQ(50U, driver.Window());
}

// An upstream may turn cold without announcement. From the first answer or
// report that says so, it gets no grants beyond its cold window, and a report
// measured earlier does not make it warm again.
TEST(UpstreamOwner, ColdAnswerOrReportRestartsSlowStart)
{
  for (const bool byAnswer : { true, false }) {
    OwnerDriver driver;
    driver.SetMeanLoad(40);
    ASSERT_EQ(20U, driver.RequestPermits(20));
    driver.AdvanceTime(seconds(5));
    if (byAnswer) {
      driver.Release(1000, true);
    } else {
      driver.Release(1000);
      driver.ReportLoad(0, true, seconds(1));
    }
    EXPECT_EQ(2U, driver.Window());
    EXPECT_EQ(0U, driver.RequestPermits(10));
    driver.ReportLoad(30, false, seconds(3)); // measured before it turned cold
    for (std::uint64_t id = 1001; id < 1020; ++id) {
      driver.Release(id); // granted before it turned cold
    }
    EXPECT_EQ(2U, driver.Window()) << byAnswer;
  }
}

TEST(UpstreamOwner, CountsReportedRequestsWithoutPermit)
{
  OwnerDriver driver;
  driver.SetMeanLoad(8); // window 10
  ASSERT_EQ(6U, driver.RequestPermits(6));
  driver.AdvanceTime(seconds(3));
  driver.ReportLoad(6, false, seconds(1));
  EXPECT_EQ(6U, driver.m_owner.InProgress());
  driver.ReportLoad(9, false); // three were admitted by a second owner
  EXPECT_EQ(9U, driver.m_owner.InProgress());
  EXPECT_EQ(1U, driver.RequestPermits(5));
  // A delayed report, measured while released permits were still held, does not
  // count them as additional requests.
  for (const std::uint64_t id : { 1000, 1001, 1002 }) {
    driver.Release(id);
  }
  driver.AdvanceTime(seconds(1));
  driver.ReportLoad(10, false, Duration(500));
  EXPECT_EQ(4U + 6U, driver.m_owner.InProgress());
  driver.ReportLoad(7, false, Duration(400));
  EXPECT_EQ(4U + 3U, driver.m_owner.InProgress());
  // The holder of one of the three reports it: it is not counted twice.
  driver.ReportPermits({ 77 }, DaemonId("d2"));
  EXPECT_EQ(5U + 2U, driver.m_owner.InProgress());
  // Reports stop: the reported requests expire with the last report, permits do
  // not.
  driver.AdvanceTime(seconds(11));
  EXPECT_EQ(5U, driver.m_owner.InProgress());
}

TEST(UpstreamOwner, PermitsEndByHolderDeathReportOrMaxAge)
{
  struct Case
  {
    const char* m_name;
    void (*m_event)(OwnerDriver&);
    std::uint32_t m_left; // of ten permits, 1000..1009
  };
  const Case cases[] = {
    { "nothing", [](OwnerDriver&) {}, 10 },
    { "another holder died",
      [](OwnerDriver& aDriver) {
        aDriver.m_owner.OnHolderGone(
          DaemonId("d2"), aDriver.m_clock.Now(), aDriver.m_actions);
      },
      10 },
    { "holder died",
      [](OwnerDriver& aDriver) {
        aDriver.m_owner.OnHolderGone(
          kDaemon, aDriver.m_clock.Now(), aDriver.m_actions);
      },
      0 },
    { "releases were lost",
      [](OwnerDriver& aDriver) {
        aDriver.ReportPermits({ 1003, 1007 });
      },
      2 },
    { "too old",
      [](OwnerDriver& aDriver) {
        aDriver.AdvanceTime(std::chrono::minutes(16));
      },
      0 },
  };
  for (const Case& test : cases) {
    OwnerDriver driver;
    driver.SetMeanLoad(8);
    ASSERT_EQ(10U, driver.RequestPermits(10));
    driver.ReportPermits({}); // crossed with the grants: ends no young permit
    ASSERT_EQ(10U, driver.m_owner.InProgress());
    driver.AdvanceTime(seconds(3));
    test.m_event(driver);
    EXPECT_EQ(test.m_left, driver.m_owner.InProgress()) << test.m_name;
    EXPECT_EQ(10U - test.m_left, driver.RequestPermits(20)) << test.m_name;
  }
}

// While there may be two owners, the second grants at most takeover_percent of
// the window until the lease duration has passed and the first must have
// stopped, whatever it knows of the first one's grants.
TEST(UpstreamOwner, TakeoverLimitsGrants)
{
  struct Case
  {
    const char* m_name;
    bool m_paused; // the owner's process was paused and resumed
    std::uint32_t m_lastInProgress; // published by the previous owner
    std::uint32_t m_granted;
  };
  for (const Case& test : std::vector<Case>{
         { "no memory", false, 0, 5 }, // half of the window of 10
         { "last state known", false, 7, 3 },
         { "full", false, 10, 0 },
         { "paused", true, 0, 5 } }) {
    proto::UpstreamState last;
    last.set_in_progress(test.m_lastInProgress);
    OwnerDriver driver({}, false, test.m_paused, last);
    driver.SetMeanLoad(8);
    if (test.m_paused) {
      driver.AdvanceTime(seconds(3), true);
    }
    EXPECT_TRUE(driver.m_owner.InTakeover(driver.m_clock.Now()));
    EXPECT_EQ(test.m_granted, driver.RequestPermits(20)) << test.m_name;
    driver.AdvanceTime(seconds(5));
    EXPECT_FALSE(driver.m_owner.InTakeover(driver.m_clock.Now()));
    EXPECT_EQ(10U - test.m_lastInProgress - test.m_granted,
              driver.RequestPermits(20))
      << test.m_name;
  }
}

TEST(UpstreamOwner, LeavingUpstreamGetsNoGrantsAndReturnsCold)
{
  OwnerOptions options;
  options.m_minWindow = 2;
  OwnerDriver driver(options);
  ASSERT_EQ(2U, driver.RequestPermits(2));
  ASSERT_EQ("wait", driver.RequestPermit(1, true));
  driver.m_actions.clear();
  driver.m_owner.OnLeaving(driver.m_clock.Now(), driver.m_actions);
  EXPECT_EQ("2002", driver.AnswerTo(1));
  EXPECT_EQ("2002", driver.RequestPermit(2, true));
  EXPECT_TRUE(driver.m_owner.State(driver.m_clock.Now()).leaving());
  driver.Release(1000);
  driver.SetMeanLoad(100);
  EXPECT_EQ(0U, driver.RequestPermits(10));
  driver.m_owner.OnReturned(true, driver.m_clock.Now(), driver.m_actions);
  EXPECT_EQ(1U, driver.RequestPermits(10)); // the other cold slot is still held
}

// Compares random histories with a simple model: no grant while the window is
// full, no request waits while the window has room, and each request gets one
// answer.
TEST(UpstreamOwner, RandomHistoriesMatchSimpleModel)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    OwnerOptions options;
    options.m_queueLimit = 8;
    OwnerDriver driver(options);
    std::set<std::uint64_t> held;
    std::set<std::uint64_t> waiting;
    std::uint32_t mean = 0;
    std::uint64_t next = 1;
    for (int step = 0; step < 3'000; ++step) {
      switch (random() % 4) {
        case 0:
        case 1: {
          const bool mayWait = random() % 2 == 0;
          const std::string customer(1, static_cast<char>('a' + random() % 3));
          waiting.insert(next);
          driver.RequestPermit(next++, mayWait, customer, random() % 2);
          break;
        }
        case 2:
          if (!held.empty()) {
            const std::uint64_t id = *held.begin();
            held.erase(id);
            driver.Release(id);
          }
          break;
        default:
          driver.AdvanceTime(Duration(random() % 900));
          mean = random() % 8 == 0 ? random() % 20 : mean;
          driver.SetMeanLoad(mean);
      }
      const std::uint32_t window = std::max((5 * mean + 3) / 4, 4U);
      for (const OwnerAction& action : driver.m_actions) {
        if (const auto* grant = std::get_if<SendGrant>(&action)) {
          ASSERT_EQ(1U, waiting.erase(grant->m_grant.request_id()));
          held.insert(grant->m_grant.request_id());
          ASSERT_LE(held.size(), window) << "seed " << seed;
          continue;
        }
        const auto& deny = std::get<SendDeny>(action).m_deny;
        ASSERT_EQ(1U, waiting.erase(deny.request_id()));
      }
      ASSERT_EQ(held.size(), driver.m_owner.InProgress());
      ASSERT_EQ(waiting.size(), driver.m_owner.Waiting());
      ASSERT_LE(waiting.size(), options.m_queueLimit);
      ASSERT_TRUE(waiting.empty() || held.size() >= window)
        << "seed " << seed << " step " << step;
    }
  }
}

TEST(UpstreamOwner, RejectsOutOfRangeOptions)
{
  OwnerOptions options;
  options.m_coldSlots = 0;
  EXPECT_THROW(OwnerDriver{ options }, std::invalid_argument);
}

} // namespace
} // namespace walnutwing
