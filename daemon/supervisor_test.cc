#include "daemon/supervisor.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

// Clock and timers that the test advances, and a list of reported changes.
struct FakeEnvironment
{
  SupervisorHooks Hooks()
  {
    return { [this] { return m_clock.Now(); },
             [this](Duration aDelay, std::function<void()> aFunction) {
               m_timers.emplace(m_clock.Now() + aDelay, std::move(aFunction));
             },
             [this](const std::string& aChild, const std::string& aReason) {
               m_changes.push_back(
                 aChild + (aReason.empty() ? " started" : ": " + aReason));
             } };
  }

  void Advance(Duration aDuration)
  {
    m_clock.Advance(aDuration);
    while (!m_timers.empty() && m_timers.begin()->first <= m_clock.Now()) {
      const std::function<void()> function = m_timers.begin()->second;
      m_timers.erase(m_timers.begin());
      function();
    }
  }

  PausedClock m_clock;
  std::multimap<Time, std::function<void()>> m_timers;
  std::vector<std::string> m_changes;
};

struct Counter
{
  void Add() { ++m_value; }
  void Fail() { throw std::runtime_error("broken"); }
  int m_value = 0;
};

TEST(Supervisor, FailedChildRestartsWithFreshState)
{
  FakeEnvironment fake;
  Supervisor root("root", {}, fake.Hooks(), nullptr);
  Child<Counter>& child =
    root.Add<Counter>("counter", [] { return std::make_unique<Counter>(); });
  root.Start();
  EXPECT_TRUE(child.Call([](Counter& aCounter) { aCounter.Add(); }));
  EXPECT_EQ(1, child.Peek()->m_value);
  EXPECT_FALSE(child.Call([](Counter& aCounter) { aCounter.Fail(); }));
  EXPECT_EQ(nullptr, child.Peek());
  EXPECT_EQ(std::vector<std::string>{ "counter" }, root.DownComponents());
  EXPECT_FALSE(child.Call([](Counter& aCounter) { aCounter.Add(); }));
  fake.Advance(std::chrono::milliseconds(100));
  ASSERT_NE(nullptr, child.Peek());
  EXPECT_EQ(0, child.Peek()->m_value);
  EXPECT_EQ((std::vector<std::string>{ "counter: broken", "counter started" }),
            fake.m_changes);
}

TEST(Supervisor, FailureInNestedCallDoesNotDestroyTheCallingComponent)
{
  FakeEnvironment fake;
  Supervisor root("root", {}, fake.Hooks(), nullptr);
  Child<Counter>& outer =
    root.Add<Counter>("outer", [] { return std::make_unique<Counter>(); });
  Child<Counter>& inner =
    root.Add<Counter>("inner", [] { return std::make_unique<Counter>(); });
  root.Start();
  EXPECT_TRUE(outer.Call([&](Counter& aOuter) {
    inner.Call(
      [&](Counter&) { outer.Call([](Counter& aAgain) { aAgain.Fail(); }); });
    aOuter.Add(); // the component is marked as failed but not yet destroyed
  }));
  EXPECT_FALSE(outer.Running());
  EXPECT_TRUE(inner.Running());
}

TEST(Supervisor, RestartDelayDoublesUpToMaxDelay)
{
  FakeEnvironment fake;
  RestartLimits limits;
  limits.m_maxFailures = 10;
  limits.m_maxDelay = std::chrono::milliseconds(400);
  Supervisor root("root", limits, fake.Hooks(), nullptr);
  Child<Counter>& child =
    root.Add<Counter>("counter", [] { return std::make_unique<Counter>(); });
  root.Start();
  for (const int delay : { 100, 200, 400, 400 }) {
    child.Call([](Counter& aCounter) { aCounter.Fail(); });
    fake.Advance(Duration(delay - 1));
    EXPECT_FALSE(child.Running()) << delay;
    fake.Advance(Duration(1));
    EXPECT_TRUE(child.Running()) << delay;
  }
}

TEST(Supervisor, RepeatedFailuresRestartTheGroupThenMakeTheRootGiveUp)
{
  FakeEnvironment fake;
  bool gaveUp = false;
  RestartLimits limits;
  limits.m_maxFailures = 1;
  Supervisor root(
    "root", limits, fake.Hooks(), nullptr, [&] { gaveUp = true; });
  Supervisor& group = root.AddSupervisor("group", limits);
  Child<Counter>& failing =
    group.Add<Counter>("failing", [] { return std::make_unique<Counter>(); });
  Child<Counter>& sibling =
    group.Add<Counter>("sibling", [] { return std::make_unique<Counter>(); });
  root.Start();
  const auto failTwice = [&] {
    for (int i = 0; i < 2; ++i) {
      failing.Call([](Counter& aCounter) { aCounter.Fail(); });
      fake.Advance(std::chrono::milliseconds(150));
    }
  };
  sibling.Call([](Counter& aCounter) { aCounter.Add(); });
  failTwice();
  EXPECT_TRUE(failing.Running());
  EXPECT_EQ(0, sibling.Peek()->m_value) << "the whole group is restarted";
  EXPECT_FALSE(gaveUp);
  failTwice();
  EXPECT_TRUE(gaveUp);
}

TEST(Supervisor, StoppedTreeDoesNotRestartAFailedChild)
{
  FakeEnvironment fake;
  Supervisor root("root", {}, fake.Hooks(), nullptr);
  Child<Counter>& child =
    root.Add<Counter>("counter", [] { return std::make_unique<Counter>(); });
  root.Start();
  child.Call([](Counter& aCounter) { aCounter.Fail(); });
  root.Stop();
  fake.Advance(std::chrono::seconds(10));
  EXPECT_FALSE(child.Running());
}

} // namespace
} // namespace walnutwing
