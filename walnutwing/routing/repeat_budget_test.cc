#include "walnutwing/routing/repeat_budget.h"

#include <algorithm>
#include <vector>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(RepeatBudget, AllowsTheRatioAndAShareOfTheAllowance)
{
  PausedClock clock;
  RepeatBudget budget({ 0.2, 56, seconds(10) });
  for (int i = 0; i < 10; ++i) {
    budget.OnRequest(clock.Now());
  }
  int given = 0;
  while (budget.TryRepeat(8, clock.Now())) {
    ++given;
  }
  EXPECT_EQ(8, given); // 0.9 * (0.2 * 10 + 56 / 8)
  clock.Advance(seconds(10));
  given = 0;
  while (budget.TryRepeat(8, clock.Now())) {
    ++given;
  }
  EXPECT_EQ(0, given); // repeats are counted for 300 ms longer
  clock.Advance(milliseconds(300));
  while (budget.TryRepeat(8, clock.Now())) {
    ++given;
  }
  EXPECT_EQ(6, given); // 0.9 * 56 / 8: the requests have left the window
}

// Every daemon tries to repeat all the time, as during an outage, while the
// load shifts between daemons. The fleet's repeats must not exceed the limit in
// any window.
TEST(RepeatBudget, FleetStaysWithinTheLimitInEveryWindow)
{
  constexpr std::uint32_t kDaemons = 8;
  constexpr double kRatio = 0.2;
  constexpr double kAllowance = 56;
  const Duration window = seconds(10);
  PausedClock clock;
  std::vector<RepeatBudget> budgets(
    kDaemons, RepeatBudget({ kRatio, kAllowance, window }));
  std::vector<Time> requests;
  std::vector<Time> repeats;
  for (int step = 0; step < 30'000; ++step) {
    clock.Advance(milliseconds(1));
    const std::size_t daemon =
      static_cast<std::size_t>(step) * 7919 % (step % 5000 < 2000 ? 2 : 8);
    if (step % 3 == 0 && step % 9000 < 6000) {
      budgets[daemon].OnRequest(clock.Now());
      requests.push_back(clock.Now());
    }
    if (budgets[daemon].TryRepeat(kDaemons, clock.Now())) {
      // Repeats arrive at the upstream up to m_jitter after they are sent (rule
      // BUDGET, vpm cut-upstreams --vary --seed 360601754660).
      const Duration transitDelay(static_cast<Duration::rep>(step * 31 % 300));
      repeats.push_back(clock.Now() + transitDelay);
    }
    if (step % 250 != 0) {
      continue;
    }
    const auto inWindow = [&](const std::vector<Time>& aTimes, Duration aAgo) {
      std::size_t count = 0;
      for (const Time time : aTimes) {
        const Duration age = clock.Now() - time;
        count += age >= aAgo && age < aAgo + window ? 1 : 0;
      }
      return static_cast<double>(count);
    };
    // The limit uses the requests in the window of the repeats, in the window
    // before it or in the one that begins half a window earlier, whichever has
    // most.
    const double counted = std::max({ inWindow(requests, Duration::zero()),
                                      inWindow(requests, window / 2),
                                      inWindow(requests, window) });
    EXPECT_LE(inWindow(repeats, Duration::zero()),
              kRatio * counted + kAllowance)
      << step;
  }
}

} // namespace
} // namespace walnutwing
