// Each promise: what keeps it, what breaks it, and when a fault excuses it.

#include "soak/promises.h"

#include <gtest/gtest.h>

#include "soak/roles.h"
#include "soak/soak_caller.h"

namespace walnutwing::soak {
namespace {

Time
At(std::int64_t aMs)
{
  return Time(Duration(100'000 + aMs));
}

std::string
Line(std::int64_t aMs,
     const char* aWhat,
     const char* aUpstream,
     const char* aId)
{
  return std::to_string(100'000 + aMs) + " " + aWhat + " " + aUpstream + " " +
         aId;
}

Asked
Ask(AskKind aKind,
    const char* aId,
    std::int64_t aMs,
    std::uint64_t aVersion = 0)
{
  Asked asked;
  asked.m_id = aId;
  asked.m_kind = aKind;
  asked.m_version = aVersion;
  asked.m_at = At(aMs);
  return asked;
}

std::size_t
Broken(Promises& aPromises)
{
  aPromises.CheckAtEnd();
  return aPromises.Violations().size();
}

TEST(JudgeAnswer, OnlyTheWholeAnswerToThisRequestIsWhole)
{
  const Asked order = Ask(AskKind::Order, "a", 0);
  EXPECT_EQ(Ending::Whole, JudgeAnswer(order, 200, AnswerTo("a")));
  EXPECT_EQ(Ending::Wrong, JudgeAnswer(order, 200, AnswerTo("b")));
  EXPECT_EQ(Ending::Wrong, JudgeAnswer(order, 503, "busy"));
  EXPECT_EQ(Ending::NoRoute, JudgeAnswer(order, 404, ""));
  EXPECT_EQ(
    Ending::NotRun,
    JudgeAnswer(order, 503, R"({"error":{"code":2002,"ran":"not run"}})"));
  EXPECT_EQ(
    Ending::Failed,
    JudgeAnswer(order, 502, R"({"error":{"code":3004,"ran":"unknown"}})"));
  std::string stream;
  for (int i = 1; i <= kStreamEvents; ++i) {
    stream +=
      "id: " + std::to_string(i) + "\ndata: " + EventOf(i, "s") + "\n\n";
  }
  const Asked streamed = Ask(AskKind::Stream, "s", 0);
  EXPECT_EQ(Ending::Whole, JudgeAnswer(streamed, 200, stream));
  EXPECT_EQ(Ending::Wrong,
            JudgeAnswer(streamed, 200, stream.substr(0, stream.size() / 2)));
}

TEST(Promises, OrdersRunOnceAndLookupsMayRunAgain)
{
  Promises promises({});
  promises.OnAnswer(Ask(AskKind::Order, "o", 0), Ending::Whole, At(5));
  promises.OnAnswer(Ask(AskKind::Lookup, "l", 0), Ending::Whole, At(5));
  promises.OnRecord(Line(1, "run", "u0", "o"), "z0");
  promises.OnRecord(Line(1, "run", "u0", "l"), "z0");
  promises.OnRecord(Line(2, "run", "u1", "l"), "z1");
  EXPECT_EQ(0U, Broken(promises));
  promises.OnRecord(Line(3, "run", "u1", "o"), "z1");
  EXPECT_EQ(1U, Broken(promises));
}

TEST(Promises, NotRunMustBeTrueAlsoLater)
{
  Promises promises({});
  promises.OnAnswer(Ask(AskKind::Lookup, "l", 0), Ending::NotRun, At(5));
  EXPECT_EQ(0U, Broken(promises));
  promises.OnRecord(Line(900, "run", "u0", "l"), "z0");
  EXPECT_EQ(1U, Broken(promises));
}

TEST(Promises, ConfigurationIsInForceInTimeUnlessAFaultExcusesIt)
{
  for (const bool fault : { false, true }) {
    Promises promises({});
    promises.OnConfigWritten(2, At(0));
    if (fault) {
      promises.OnFault(0, At(500), At(1500));
    }
    const auto ask = [&](std::int64_t aMs) {
      promises.OnAnswer(
        Ask(AskKind::OnlyVersion, "v", aMs, 2), Ending::NoRoute, At(aMs + 1));
      return promises.Violations().size();
    };
    EXPECT_EQ(0U, ask(2400));
    EXPECT_EQ(fault ? 0U : 1U, ask(2600));
    EXPECT_EQ(fault ? 1U : 2U, ask(9000)); // no fault explains that
  }
}

TEST(Promises, ConfigurationOnlyMovesForward)
{
  Promises promises({});
  promises.OnConfigWritten(2, At(0));
  promises.OnConfigWritten(3, At(100));
  std::int64_t now = 200;
  const auto answer = [&](std::uint64_t aVersion, Ending aEnding) {
    now += 10;
    promises.OnAnswer(
      Ask(AskKind::OnlyVersion, "v", now, aVersion), aEnding, At(now + 1));
    return promises.Violations().size();
  };
  EXPECT_EQ(0U, answer(2, Ending::Whole));
  EXPECT_EQ(0U, answer(3, Ending::Whole));
  EXPECT_EQ(0U, answer(2, Ending::NoRoute));
  EXPECT_EQ(1U, answer(2, Ending::Whole));   // it went back
  EXPECT_EQ(2U, answer(3, Ending::NoRoute)); // it forgot
  promises.OnStart(0);
  EXPECT_EQ(2U, answer(3, Ending::NoRoute)); // started anew
}

// A request is handled by the version at its arrival, however long it takes
// (seed 146: its upstream was paused for 1.5 s).
TEST(Promises, RequestThatCameBeforeAVersionMayEndAfterIt)
{
  Promises promises({});
  promises.OnConfigWritten(2, At(0));
  promises.OnConfigWritten(3, At(100));
  promises.OnAnswer(
    Ask(AskKind::OnlyVersion, "new", 200, 3), Ending::Whole, At(210));
  promises.OnAnswer(
    Ask(AskKind::OnlyVersion, "slow", 150, 2), Ending::Whole, At(1700));
  promises.OnAnswer(
    Ask(AskKind::OnlyVersion, "early", 150, 3), Ending::NoRoute, At(220));
  EXPECT_TRUE(promises.Violations().empty());
  promises.OnAnswer(
    Ask(AskKind::OnlyVersion, "old", 211, 2), Ending::Whole, At(230));
  EXPECT_EQ(1U, promises.Violations().size());
}

TEST(Promises, LeavingUpstreamsAndZonesAreLeftAlone)
{
  Promises promises({});
  promises.OnRecord(Line(0, "drain", "u0", "-"), "z0");
  promises.OnRecord(Line(2400, "arrive", "u0", "a"), "z0");
  EXPECT_TRUE(promises.Violations().empty());
  promises.OnRecord(Line(2600, "arrive", "u0", "b"), "z0");
  EXPECT_EQ(1U, promises.Violations().size());
  promises.OnZone("z1", true, At(0));
  promises.OnRecord(Line(2600, "arrive", "u1", "c"), "z1");
  EXPECT_EQ(2U, promises.Violations().size());
  promises.OnZone("z1", false, At(3000));
  promises.OnRecord(Line(3100, "arrive", "u1", "d"), "z1");
  EXPECT_EQ(2U, promises.Violations().size());
}

TEST(Promises, PlannedStopCutsNothingThatTheRouterTook)
{
  Promises promises({});
  const auto broken = [&](std::int64_t aMs, bool aFresh) {
    Asked asked = Ask(AskKind::Lookup, "l", aMs);
    asked.m_fresh = aFresh;
    promises.OnAnswer(asked, Ending::Broken, At(aMs + 10));
    return promises.Violations().size();
  };
  EXPECT_EQ(0U, broken(0, false)); // no stop
  promises.OnStop(0, At(1000));
  EXPECT_EQ(1U, broken(1100, false));
  EXPECT_EQ(2U, broken(1200, true));
  EXPECT_EQ(2U, broken(4000, true)); // it takes no connection any more
  EXPECT_EQ(3U, broken(4000, false));
  promises.OnUpstreamFault(At(4500), At(5000));
  EXPECT_EQ(3U, broken(4600, false)); // the upstream may have cut it
}

TEST(Promises, BudgetsOfRepeatsAndOfColdUpstreams)
{
  PromiseOptions options;
  options.m_repeatAllowance = 2;
  options.m_repeatRatio = 0;
  options.m_coldPerSecond = 2;
  for (const int extra : { 0, 1 }) {
    Promises repeats(options);
    for (int i = 0; i < 3 + extra; ++i) {
      repeats.OnRecord(Line(i, "arrive", "u0", "same"), "z0");
    }
    EXPECT_EQ(static_cast<std::size_t>(extra), Broken(repeats));
    Promises cold(options);
    cold.OnRecord(Line(5000, "cold", "u0", "-"), "z0");
    for (int i = 0; i < 3 + extra; ++i) {
      const std::string id = "c" + std::to_string(i);
      cold.OnRecord(Line(i, "arrive", "u0", id.c_str()), "z0");
    }
    EXPECT_EQ(static_cast<std::size_t>(extra), Broken(cold));
  }
}

TEST(Promises, RecoveryAndWrongAnswers)
{
  Promises promises({});
  promises.OnRecovered(0.96);
  EXPECT_TRUE(promises.Violations().empty());
  promises.OnRecovered(0.9);
  promises.OnAnswer(Ask(AskKind::Order, "o", 0), Ending::Wrong, At(1));
  promises.OnAnswer(Ask(AskKind::Order, "p", 0), Ending::NoRoute, At(1));
  EXPECT_EQ(3U, promises.Violations().size());
}

} // namespace
} // namespace walnutwing::soak
