// Compares the routers' own budgets with the count of someone who sees all
// requests: whatever routers restart, are cut off or know old counts, the bound
// on a version that is not judged holds at each moment.

#include <algorithm>
#include <memory>
#include <random>
#include <sstream>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "walnutwing/rollout/fake_rollout_fleet.h"

namespace walnutwing {
namespace {

struct Step
{
  std::size_t m_router;
  int m_kind; // of kKinds
};

enum Kind
{
  Restart,
  ToggleCut,
  Repeat,   // of a request at the new version
  Requests, // and all above
};
constexpr int kKinds = 150;
constexpr std::size_t kRouters = 4;
// A small allowance is used up soon.
constexpr RolloutOptions kOptions{ 0.1, 20 };

class Fleet
{
public:
  Fleet()
  {
    m_exchange.SetMembers({}, m_clock.Now());
    for (std::size_t i = 0; i < kRouters; ++i) {
      m_cut.push_back(false);
      m_rollouts.emplace_back();
      RestartAt(i);
    }
  }

  void Do(const Step& aStep)
  {
    m_clock.Advance(std::chrono::milliseconds(20));
    Rollouts& rollouts = *m_rollouts[aStep.m_router];
    RolloutFleetView view;
    view.m_newUpstreams = view.m_newWarmSlots = view.m_oldSlots = 4;
    view.m_fresh = !m_cut[aStep.m_router];
    rollouts.Tick(kService, view, std::nullopt, m_clock.Now());
    switch (aStep.m_kind) {
      case Restart:
        if (m_restarts < kRouters) { // each may get its allowance once again
          ++m_restarts;
          RestartAt(aStep.m_router);
        }
        return;
      case ToggleCut:
        m_cut[aStep.m_router] = !m_cut[aStep.m_router];
        return;
      case Repeat:
        if (rollouts.RuleForRepeat({ kService, 1, std::nullopt }, m_clock.Now())
              .m_exclude.contains(kNew)) {
          return;
        }
        Send(rollouts);
        return;
      default:
        Request(rollouts, static_cast<std::uint64_t>(aStep.m_kind));
    }
  }

  bool Holds() const
  {
    return m_sent <=
           kOptions.m_exposureShare * m_requests + kOptions.m_exposureAllowance;
  }
  double Sent() const { return m_sent; }

private:
  void RestartAt(std::size_t aRouter)
  {
    m_rollouts[aRouter] = std::make_unique<Rollouts>(kOptions, m_exchange);
    m_rollouts[aRouter]->OnStatusesRead(m_clock.Now());
    m_rollouts[aRouter]->OnOrder(MakeOrder(std::chrono::seconds(60)),
                                 m_clock.Now());
    // The larger share, which the budget must hold down.
    m_rollouts[aRouter]->OnStatus(
      { kService, kNew, RolloutStage::Surge, { 1, 7 }, m_clock.Now() },
      m_clock.Now());
  }

  void Request(Rollouts& aRollouts, std::uint64_t aAffinity)
  {
    ++m_requests;
    const VersionRule rule = aRollouts.RuleFor(
      { kService, aAffinity % 3, std::nullopt }, kRouters, m_clock.Now());
    if (rule.m_only.contains(kNew)) {
      Send(aRollouts);
    }
  }

  void Send(Rollouts& aRollouts)
  {
    ++m_sent;
    aRollouts.OnSent(kService, kNew, UpstreamId("n"), 1, m_clock.Now());
  }

  PausedClock m_clock;
  LoadExchange m_exchange{ DaemonId("r"), ZoneId("z"), LoadExchangeOptions() };
  std::vector<std::unique_ptr<Rollouts>> m_rollouts;
  std::vector<bool> m_cut;
  std::size_t m_restarts = 0;
  double m_requests = 0;
  double m_sent = 0;
};

TEST(ExposureDifferential, TheBoundHoldsAtEachMoment)
{
  double most = 0;
  rc::detail::TestParams params;
  params.seed = 51;
  params.maxSuccess = 100;
  const auto property = [&most]() {
    const auto length = *rc::gen::inRange(1, 3000);
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    std::mt19937 random(seed);
    Fleet fleet;
    for (int i = 0; i < length; ++i) {
      fleet.Do({ random() % kRouters, static_cast<int>(random() % kKinds) });
      RC_ASSERT(fleet.Holds());
    }
    most = std::max(most, fleet.Sent());
  };
  const auto result =
    rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
  EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << [&] {
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    return text.str();
  }();
  EXPECT_GT(most, 50); // the budgets were used
}

} // namespace
} // namespace walnutwing
