// Tests of version roll-outs with router processes: a store in the test's
// process, and upstreams of an old and of a new version beside each other.
// Callers send lookups and orders without a pause. The tests check what came of
// a roll-out, and not when.

#include "standin/router_harness.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <deque>
#include <functional>

#include <gtest/gtest.h>
#include <rapidjson/document.h>

namespace walnutwing::standin {
namespace {

using Exchange = std::shared_ptr<UpstreamExchange>;

constexpr std::size_t kRouters = 3;
constexpr std::size_t kOldUpstreams = 3; // the others have the new version
constexpr std::size_t kUpstreams = 6;
constexpr std::size_t kCallersPerRouter = 4;
constexpr Duration kAnswerTime{ 20 };
constexpr Duration kStep{ 5 };
constexpr int kDurationS = 12; // of the orders
// Later than that, a roll-out has not ended.
constexpr Duration kMaxTime{ 25'000 };
const std::string kOperatorTopic = "keyed.op";
const std::string kStatusTopic = "keyed.status";
const std::string kKey = "rollout/s";

struct Status
{
  std::string m_state;
  std::string m_to;
  std::string m_stage;
};

Status
ParseStatus(const std::string& aJson)
{
  rapidjson::Document json;
  json.Parse(aJson.c_str());
  const auto text = [&](const char* aName) {
    return json.IsObject() && json.HasMember(aName) && json[aName].IsString()
             ? std::string(json[aName].GetString())
             : std::string();
  };
  return { text("state"), text("to"), text("stage") };
}

// One caller of lookups or of orders, which sends the next request once the
// last one was answered.
class LoopingCaller
{
public:
  LoopingCaller(std::size_t aRouter, bool aOrders)
    : m_router(aRouter)
    , m_orders(aOrders)
  {
  }

  void Step(RouterHarness& aHarness, std::size_t aNumber)
  {
    if (m_connection != nullptr && !m_connection->Ended() && !IsAnswered()) {
      return;
    }
    if (m_connection != nullptr) {
      m_failures += Received().starts_with("HTTP/1.1 200") ? 0 : 1;
    }
    try {
      if (m_connection == nullptr || m_connection->Ended()) {
        m_connection = aHarness.Connect(m_router);
      }
    } catch (const boost::system::system_error&) {
      m_connection = nullptr; // the router does not listen
      return;
    }
    m_seen = m_connection->Received().size();
    m_connection->Send(
      std::string(m_orders ? "POST /order/x" : "GET /lookup/x") +
      " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a" +
      std::to_string(aNumber) +
      "\r\nAuthorization: Bearer k1\r\nContent-Length: 0\r\n\r\n");
  }

  // Requests without a good answer.
  std::size_t Failures() const { return m_failures; }

private:
  // Of the last response, as far as it has come.
  std::string Received() const
  {
    return m_connection->Received().substr(m_seen);
  }

  bool IsAnswered() const
  {
    const std::string received = Received();
    const std::size_t head = received.find("\r\n\r\n");
    const std::size_t length = received.find("Content-Length: ");
    return head != std::string::npos && length < head &&
           received.size() >=
             head + 4 + std::stoul(received.substr(length + 16));
  }

  std::size_t m_router;
  bool m_orders;
  std::size_t m_failures = 0;
  std::unique_ptr<CallerStandin> m_connection;
  std::size_t m_seen = 0;
};

class Rollout : public testing::Test
{
protected:
  Rollout()
    : m_harness(HarnessOptions{ .m_upstreams = kOldUpstreams,
                                .m_routers = kRouters,
                                .m_version = "v1",
                                .m_ownStoreAddresses = true })
  {
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      if (i >= kOldUpstreams) {
        m_harness.AddUpstream("v2");
      }
      m_harness.Upstream(i).SetRecordsExchanges(false);
      m_harness.Upstream(i).SetHandler(
        [this, i](const Exchange& aExchange) { OnRequest(i, aExchange); });
    }
    for (std::size_t i = 0; i < kRouters; ++i) {
      EXPECT_TRUE(m_harness.WaitUntil([&] {
        return m_harness.LogText(i).find(R"("daemons":3)") != std::string::npos;
      }));
      for (std::size_t j = 0; j < kCallersPerRouter; ++j) {
        m_callers.emplace_back(i, j % 2 == 1);
      }
    }
  }

  // The response of the new version to each request.
  struct Answer
  {
    bool m_failed = false;
    int m_slower = 1; // factor of kAnswerTime
  };

  void Order(const std::string& aValue)
  {
    m_harness.Store().Put(kOperatorTopic, kKey, aValue);
    m_requests = 0;
    m_sentToNew = 0;
  }

  void Order()
  {
    Order(R"({"service":"s","to":"v2","durationS":)" +
          std::to_string(kDurationS) + "}");
  }

  void RegisterNew()
  {
    for (std::size_t i = kOldUpstreams; i < kUpstreams; ++i) {
      m_harness.RegisterUpstream(i);
    }
  }

  void Step()
  {
    for (LoopingCaller& caller : m_callers) {
      caller.Step(m_harness, ++m_attempts);
    }
    m_harness.RunLoopFor(kStep);
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(m_pending, [&](const Pending& aPending) {
      if (aPending.m_due > now) {
        return false;
      }
      aPending.m_exchange->Write(MakeUpstreamResponse(
        aPending.m_exchange->Request(), aPending.m_failed ? 500 : 200, "done"));
      return true;
    });
  }

  void RunFor(Duration aTime)
  {
    const auto end = std::chrono::steady_clock::now() + aTime;
    while (std::chrono::steady_clock::now() < end) {
      Step();
    }
  }

  // Callers go on until aCondition holds; false after kMaxTime.
  bool RunUntil(const std::function<bool()>& aCondition)
  {
    const auto end = std::chrono::steady_clock::now() + kMaxTime;
    while (!aCondition()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      Step();
    }
    return true;
  }

  std::vector<Status> Statuses() const
  {
    std::vector<Status> statuses;
    for (const auto& json : m_harness.Store().ValuesOf(kStatusTopic, kKey)) {
      statuses.push_back(ParseStatus(json));
    }
    return statuses;
  }

  std::string State() const
  {
    const std::vector<Status> statuses = Statuses();
    return statuses.empty() ? "" : statuses.back().m_state;
  }

  bool RunToState(const std::string& aState)
  {
    return RunUntil([&] { return State() == aState; });
  }

  // The stages that were written are in their order, each once, and a final
  // state is the last one.
  void ExpectNoReturn() const
  {
    const std::vector<std::string> order{ "trial", "surge",     "switch",
                                          "drain", "completed", "rolled_back" };
    std::size_t next = 0;
    for (const Status& status : Statuses()) {
      const auto found =
        std::find(order.begin(), order.end(), status.m_stage) - order.begin();
      const auto stage = static_cast<std::size_t>(found);
      EXPECT_LT(stage, order.size()) << status.m_stage;
      EXPECT_GE(stage, next) << status.m_stage;
      EXPECT_EQ("v2", status.m_to);
      next = status.m_state == "in_progress" ? stage + 1 : order.size();
    }
  }

  std::size_t Failures() const
  {
    std::size_t failures = 0;
    for (const LoopingCaller& caller : m_callers) {
      failures += caller.Failures();
    }
    return failures;
  }

  // They are gone at once, without a word.
  void StopOld()
  {
    for (std::size_t i = 0; i < kOldUpstreams; ++i) {
      m_harness.Upstream(i).Crash();
    }
  }

  std::size_t InFlightAtOld() const
  {
    return static_cast<std::size_t>(std::count_if(
      m_pending.begin(), m_pending.end(), [](const Pending& aPending) {
        return aPending.m_upstream < kOldUpstreams;
      }));
  }

  // The router that wrote the last status.
  std::size_t Decider() const
  {
    return m_harness.Store().LastAppendedAt(kStatusTopic).value_or(1) - 1;
  }

  std::string LogsOfAll() const
  {
    std::string text;
    for (std::size_t i = 0; i < kRouters; ++i) {
      text += m_harness.LogText(i);
    }
    return text;
  }

  RouterHarness m_harness;
  Answer m_newAnswer;
  double m_badShare = 0; // of the new version's answers, that are m_newAnswer
  std::size_t m_requests = 0;  // at upstreams, since the order
  std::size_t m_sentToNew = 0; // of these

private:
  struct Pending
  {
    Exchange m_exchange;
    std::size_t m_upstream;
    std::chrono::steady_clock::time_point m_due;
    bool m_failed;
  };

  void OnRequest(std::size_t aUpstream, const Exchange& aExchange)
  {
    ++m_requests;
    const bool isNew = aUpstream >= kOldUpstreams;
    m_sentToNew += isNew ? 1 : 0;
    Answer answer;
    if (isNew) {
      m_badDue += m_badShare;
      if (m_badDue >= 1) {
        m_badDue -= 1;
        answer = m_newAnswer;
      }
    }
    m_pending.push_back(
      { aExchange,
        aUpstream,
        std::chrono::steady_clock::now() + kAnswerTime * answer.m_slower,
        answer.m_failed });
  }

  std::vector<LoopingCaller> m_callers;
  std::deque<Pending> m_pending;
  std::size_t m_attempts = 0;
  double m_badDue = 0;
};

// Guards against orders that are not read, and against requests that the old
// upstreams lose, as they stop at once when the store says completed.
TEST_F(Rollout, OfAGoodVersionIsCompletedWhenTheOldOneHasNothingInFlight)
{
  Order();
  RegisterNew();
  ASSERT_TRUE(RunToState("completed")) << LogsOfAll();
  EXPECT_EQ(0U, InFlightAtOld());
  const std::size_t before = m_requests - m_sentToNew;
  StopOld();
  RunFor(Duration(1000));
  EXPECT_EQ(before, m_requests - m_sentToNew);
  EXPECT_EQ(0U, Failures());
  ExpectNoReturn();
}

// What is right for a bad version, whatever its fault.
class BadVersion : public Rollout
{
protected:
  static constexpr double kExposureShare = 0.1; // the defaults
  static constexpr double kExposureAllowance = 50;

  void ExpectRollBack()
  {
    Order();
    RegisterNew();
    ASSERT_TRUE(RunToState("rolled_back")) << LogsOfAll();
    EXPECT_LE(m_sentToNew, kExposureShare * m_requests + kExposureAllowance);
    RunFor(Duration(500)); // until all routers know
    const std::size_t sent = m_sentToNew;
    RunFor(Duration(1500));
    EXPECT_EQ(sent, m_sentToNew);
    ExpectNoReturn();
  }
};

// Guards against a version that fails and goes on getting requests.
TEST_F(BadVersion, ThatFailsIsRolledBack)
{
  m_badShare = 0.5;
  m_newAnswer.m_failed = true;
  ExpectRollBack();
}

// Guards against a version that is slow and goes on getting requests.
TEST_F(BadVersion, ThatIsSlowIsRolledBack)
{
  m_badShare = 1;
  m_newAnswer.m_slower = 6;
  ExpectRollBack();
}

// The router that decides drops out half-way.
class LostDecider : public BadVersion
{
protected:
  // Orders a roll-out and waits until a router has begun it.
  std::size_t Begin()
  {
    Order();
    RegisterNew();
    EXPECT_TRUE(RunToState("in_progress")) << LogsOfAll();
    RunFor(Duration(1000));
    return Decider();
  }

  void ExpectCompletion()
  {
    ASSERT_TRUE(RunToState("completed")) << LogsOfAll();
    EXPECT_EQ(0U, InFlightAtOld());
    RunFor(Duration(1000));
    ExpectNoReturn();
  }
};

// Guards against a roll-out that ends with the router that decides.
TEST_F(LostDecider, WasKilledAndTheRollOutIsCompleted)
{
  m_harness.Router(Begin()).Kill();
  ExpectCompletion();
}

// Guards against the same where the version is bad.
TEST_F(LostDecider, WasKilledAndABadVersionIsRolledBack)
{
  m_harness.Router(Begin()).Kill();
  m_badShare = 0.5;
  m_newAnswer.m_failed = true;
  ASSERT_TRUE(RunToState("rolled_back")) << LogsOfAll();
  RunFor(Duration(1000));
  ExpectNoReturn();
}

// Guards against a router that writes what it knew before it stood still.
TEST_F(LostDecider, StoodStillAndTheStatusDoesNotGoBack)
{
  const std::size_t decider = Begin();
  m_harness.Router(decider).Signal(SIGSTOP);
  RunFor(Duration(4000));
  m_harness.Router(decider).Signal(SIGCONT);
  ExpectCompletion();
}

// Guards against a hub that cannot reach the store and keeps the others from
// writing.
TEST_F(LostDecider, IsCutFromTheStoreAndTheRollOutIsCompleted)
{
  m_harness.Store().SetCut(Begin() + 1, true);
  ExpectCompletion();
}

// Guards against a router that starts in a roll-out and begins it anew.
TEST_F(LostDecider, AndAllOthersWereKilledAndStartAgain)
{
  Begin();
  for (std::size_t i = 0; i < kRouters; ++i) {
    m_harness.StartRouter(i);
  }
  ExpectCompletion();
}

// Guards against traffic that is moved by bad input, and against input that is
// refused without a word.
TEST_F(Rollout, IsNotBegunByABadOrder)
{
  RegisterNew();
  for (const char* order : { "{",
                             R"({"service":"s","to":"","durationS":12})",
                             R"({"service":"s","to":"v2","durationS":0})",
                             R"({"service":"s","to":"v2","durationS":1e9})",
                             R"({"service":"t","to":"v2","durationS":12})" }) {
    Order(order);
    RunFor(Duration(400));
  }
  m_harness.Store().Put(kOperatorTopic,
                        "rollout/unknown",
                        R"({"service":"unknown","to":"v2","durationS":12})");
  RunFor(Duration(1500));
  EXPECT_EQ(0U, m_harness.Store().CountAppends(kStatusTopic));
  EXPECT_EQ(0U, m_harness.Store().CountNewestRequests(kStatusTopic));
  EXPECT_NE(std::string::npos, LogsOfAll().find(R"("code":4007)"));
  EXPECT_NE(std::string::npos, LogsOfAll().find(R"("code":4008)"));
  EXPECT_NE(std::string::npos, LogsOfAll().find(R"("code":4009)"));
}

// Guards against a roll-out that goes on though the operators took it back.
TEST_F(Rollout, ThatIsWithdrawnGoesBack)
{
  Order();
  RegisterNew();
  ASSERT_TRUE(RunToState("in_progress")) << LogsOfAll();
  m_harness.Store().Put(kOperatorTopic, kKey, std::nullopt);
  ASSERT_TRUE(RunToState("rolled_back")) << LogsOfAll();
  ExpectNoReturn();
}

// Guards against a status that stays as an older copy of the store has it.
TEST_F(Rollout, OutlivesAStoreThatComesBackOlder)
{
  m_harness.Store().SetEra(1);
  Order();
  RegisterNew();
  ASSERT_TRUE(RunToState("in_progress")) << LogsOfAll();
  m_harness.Store().TakeCopy();
  ASSERT_TRUE(RunUntil([&] { return Statuses().size() > 1; })) << LogsOfAll();
  m_harness.Store().RestoreCopy();
  ASSERT_TRUE(RunToState("completed")) << LogsOfAll();
  EXPECT_EQ(0U, InFlightAtOld());
  RunFor(Duration(1000));
  ExpectNoReturn();
}

// Guards against calls and choices that fleets without an order pay for.
TEST_F(Rollout, CostsNothingWithoutAnOrder)
{
  RegisterNew();
  RunFor(Duration(1500));
  EXPECT_EQ(0U, m_harness.Store().CountNewestRequests(kStatusTopic));
  EXPECT_EQ(0U, m_harness.Store().CountAppends(kStatusTopic));
  EXPECT_GT(m_sentToNew, 0U);
  EXPECT_EQ(std::string::npos, LogsOfAll().find("rollout"));
}

} // namespace
} // namespace walnutwing::standin
