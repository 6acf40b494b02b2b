// Tests of requests without a prompt where upstreams state their pace.

#include <sstream>
#include <tuple>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "walnutwing/placement/rendezvous.h"
#include "walnutwing/routing/pace_model.h"

namespace walnutwing {
namespace {

using std::chrono::milliseconds;

constexpr int kModelMs = 40'000;

PaceModelResult
RunModel(Chooser aChooser, std::size_t aDaemons, double aPerSecond)
{
  PaceModelOptions options;
  options.m_chooser = aChooser;
  options.m_daemons = aDaemons;
  options.m_perSecond = aPerSecond;
  return PaceModel(options).Run(kModelMs);
}

// Load: four upstreams, each 2.5 times slower for 15% of the time in spells of
// 60 ms, near their capacity, with old counts of the other daemons. Guards
// against requests that wait at one upstream while others have free slots.
TEST(SelectorPace, RequestsEndNearlyAsSoonAsByTrueQueuesAndPaces)
{
  for (const double perSecond : { 220.0, 300.0 }) {
    const double naive = RunModel(Chooser::Naive, 1, perSecond).m_meanMs;
    for (const std::size_t daemons : { 1, 2, 8, 32, 200 }) {
      const double paced =
        RunModel(Chooser::Paced, daemons, perSecond).m_meanMs;
      EXPECT_LT(paced, 1.3 * naive) << daemons << " " << perSecond;
    }
  }
}

// The same load. Guards against a pace that is read and makes it no better.
// With one or two daemons the counts are nearly exact and the pace is what
// helps; with two, the draw costs a little near the capacity.
TEST(SelectorPace, RequestsEndSoonerThanWithoutIt)
{
  for (const std::size_t daemons : { 8, 32, 200 }) {
    const PaceModelResult today = RunModel(Chooser::Today, daemons, 300);
    const PaceModelResult paced = RunModel(Chooser::Paced, daemons, 300);
    EXPECT_LT(paced.m_meanMs, 0.8 * today.m_meanMs) << daemons;
    EXPECT_LT(paced.m_lateFraction, today.m_lateFraction) << daemons;
  }
  EXPECT_LT(RunModel(Chooser::Paced, 1, 220).m_meanMs,
            RunModel(Chooser::Today, 1, 220).m_meanMs);
  EXPECT_LT(RunModel(Chooser::Paced, 2, 220).m_meanMs,
            RunModel(Chooser::Drawn, 2, 220).m_meanMs);
  EXPECT_LT(RunModel(Chooser::Paced, 2, 300).m_meanMs,
            1.05 * RunModel(Chooser::Today, 2, 300).m_meanMs);
}

// Load: the same, with many daemons that all see the same fast upstream. Guards
// against herding: rule LIMIT of the platform, at most 3 in 100, and no longer
// queue than without the pace.
TEST(SelectorPace, DaemonsDoNotAllChooseTheSameFastUpstream)
{
  for (const std::size_t daemons : { 2, 32, 200 }) {
    const PaceModelResult today = RunModel(Chooser::Today, daemons, 300);
    const PaceModelResult paced = RunModel(Chooser::Paced, daemons, 300);
    EXPECT_LE(paced.m_overFraction, 0.03) << daemons;
    EXPECT_LE(paced.m_overFraction, today.m_overFraction) << daemons;
    const std::uint32_t slack = daemons == 2 ? PaceModel::kSlots / 2 : 0;
    EXPECT_LE(paced.m_maxLoad, today.m_maxLoad + slack) << daemons;
  }
}

// One daemon, with other daemons' loads by the upstreams' reports.
class OneDaemon : public testing::Test
{
protected:
  static constexpr std::size_t kUpstreams = 4;

  OneDaemon()
    : m_fleet(1, kUpstreams)
  {
  }

  Choice Choose(std::set<UpstreamId> aAvoid = {})
  {
    SelectionRequest request;
    request.m_service = ServiceId("s");
    request.m_avoid = std::move(aAvoid);
    return m_fleet.Daemon(0).m_selector.Choose(request, m_fleet.m_clock.Now());
  }

  // All upstreams, each with the tracker.
  std::vector<Choice> All()
  {
    std::vector<Choice> all;
    std::set<UpstreamId> found;
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      all.push_back(Choose(found));
      found.insert(all.back().m_upstream);
    }
    return all;
  }

  TestFleet m_fleet;
};

// Guards against a slow spell that is known and has no effect, and against one
// that has an effect long after its end.
TEST_F(OneDaemon, SlowUpstreamGetsNothingUntilItsPaceIsOld)
{
  const Time now = m_fleet.m_clock.Now();
  const std::vector<Choice> all = All();
  for (const Choice& choice : all) {
    const double pace = &choice == &all.front() ? 2.5 : 1.0;
    choice.m_tracker->OnLoadReport({ 0, 0, kTestSlots, pace }, now);
  }
  for (int i = 0; i < 10; ++i) {
    EXPECT_NE(all.front().m_upstream, Choose().m_upstream);
  }
  m_fleet.m_clock.Advance(20 * UpstreamPace::kHalfLife);
  EXPECT_NEAR(1, Choose().m_pace, 1e-5);
}

TEST_F(OneDaemon, MeanPaceIsOfThoseThatStateIt)
{
  const Time now = m_fleet.m_clock.Now();
  const UpstreamSelector& selector = m_fleet.Daemon(0).m_selector;
  EXPECT_TRUE(selector.MeanPaces(now).empty());
  const std::vector<Choice> all = All();
  all[0].m_tracker->OnLoadReport({ 0, 0, kTestSlots, 2.5 }, now);
  all[1].m_tracker->OnLoadReport({ 0, 0, kTestSlots, 0.5 }, now);
  all[2].m_tracker->OnLoadReport({ 0, 0, kTestSlots }, now);
  EXPECT_DOUBLE_EQ(1.5, selector.MeanPaces(now).at(ServiceId("s")));
}

// Guards against a pace for which an upstream gets more than the load bound.
TEST_F(OneDaemon, LoadBoundWinsOverThePace)
{
  const Time now = m_fleet.m_clock.Now();
  const std::vector<Choice> all = All();
  for (const Choice& choice : all) {
    const bool fast = &choice == &all.front();
    choice.m_tracker->OnLoadReport(
      { fast ? 6U : 0U, 0, kTestSlots, fast ? 0.25 : 4.0 }, now);
  }
  EXPECT_NE(all.front().m_upstream, Choose().m_upstream);
}

// What the selector chose before it knew paces, without failures.
UpstreamId
ChoiceByLoad(TestDaemon& aDaemon, const std::vector<Choice>& aAll, Time aNow)
{
  double otherLoad = 0;
  double reports = 0;
  for (const Choice& one : aAll) {
    const auto reported = one.m_tracker->OtherDaemonsLoad(aNow);
    otherLoad += reported.value_or(0);
    reports += reported ? 1 : 0;
  }
  const double meanOther = reports > 0 ? otherLoad / reports : 0;
  std::vector<CandidateLoad> loads;
  std::vector<std::tuple<double, std::uint64_t, double, UpstreamId>> order;
  for (const Choice& one : aAll) {
    const std::uint32_t own = one.m_tracker->InFlight();
    const auto others =
      aDaemon.m_exchange.OtherDaemonsLoad(LoadKey(one.m_upstream), own, aNow);
    const double load =
      others ? own + *others : one.m_tracker->Load(meanOther, aNow);
    const double zone = one.m_zone == aDaemon.m_zone ? 0 : 0.5;
    const std::uint64_t hash = StableHash(one.m_upstream.Value());
    loads.push_back({ load });
    order.emplace_back(load + zone, hash, load, one.m_upstream);
  }
  std::sort(order.begin(), order.end());
  const double bound = ComputeLoadBound({}, loads, 0, loads.size()).m_bound;
  for (const auto& [distance, hash, load, id] : order) {
    if (load < bound) {
      return id;
    }
  }
  return {};
}

// A history of requests at several daemons, none of whose upstreams state their
// pace. Every choice is compared.
class UnpacedHistory
{
public:
  static constexpr std::size_t kDaemons = 3;
  static constexpr std::size_t kUpstreams = 5;

  UnpacedHistory()
    : m_fleet(kDaemons, kUpstreams)
    , m_all(kDaemons)
  {
    for (std::size_t d = 0; d < kDaemons; ++d) {
      std::set<UpstreamId> found;
      for (std::size_t i = 0; i < kUpstreams; ++i) {
        m_all[d].push_back(Choose(d, found));
        found.insert(m_all[d].back().m_upstream);
      }
    }
  }

  // aStep: any number, by which a request is sent or ended, loads are
  // exchanged, or time passes.
  void Apply(std::uint16_t aStep)
  {
    const std::uint16_t argument = aStep / 8;
    switch (aStep % 8) {
      case 0:
      case 1:
      case 2:
      case 3:
        Send(argument % kDaemons);
        return;
      case 4:
      case 5:
        End(argument % 16);
        return;
      case 6:
        m_fleet.Exchange();
        return;
      default:
        m_fleet.m_clock.Advance(milliseconds(argument % 100));
        return;
    }
  }

private:
  Choice Choose(std::size_t aDaemon, const std::set<UpstreamId>& aAvoid)
  {
    SelectionRequest request;
    request.m_service = ServiceId("s");
    request.m_daemons = kDaemons;
    request.m_avoid = aAvoid;
    return m_fleet.Daemon(aDaemon).m_selector.Choose(request,
                                                     m_fleet.m_clock.Now());
  }

  void Send(std::size_t aDaemon)
  {
    const Time now = m_fleet.m_clock.Now();
    TestDaemon& daemon = m_fleet.Daemon(aDaemon);
    for (const Choice& one : m_all[aDaemon]) {
      one.m_tracker->OnBytesReceived(now); // none is silent
    }
    daemon.m_selector.OnRequest(ServiceId("s"), 0, now);
    const UpstreamId expected = ChoiceByLoad(daemon, m_all[aDaemon], now);
    const Choice choice = Choose(aDaemon, {});
    RC_ASSERT(choice.m_upstream.Value() == expected.Value());
    daemon.m_selector.OnSent(choice, now);
    m_running.push_back(choice);
  }

  void End(std::uint32_t aWaiting)
  {
    if (m_running.empty()) {
      return;
    }
    const Choice choice = m_running.front();
    m_running.pop_front();
    const Time now = m_fleet.m_clock.Now();
    choice.m_tracker->OnBytesReceived(now);
    choice.m_tracker->OnLoadReport({ kTestSlots / 2, aWaiting, kTestSlots },
                                   now);
    choice.m_tracker->OnEnded(SendOutcome::Answered, now);
  }

  TestFleet m_fleet;
  std::vector<std::vector<Choice>> m_all; // by daemon
  std::deque<Choice> m_running;
};

// Guards against a change for services whose upstreams do not state their pace.
TEST(SelectorPace, WithoutAPaceTheLeastLoadedIsChosenAsBefore)
{
  rc::detail::TestParams params;
  params.seed = 54;
  params.maxSize = 400;
  const auto result = rc::detail::checkTestable(
    [](const std::vector<std::uint16_t>& aSteps) {
      UnpacedHistory history;
      for (const std::uint16_t step : aSteps) {
        history.Apply(step);
      }
    },
    rc::detail::TestMetadata(),
    params);
  EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << [&] {
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    return text.str();
  }();
}

} // namespace
} // namespace walnutwing
