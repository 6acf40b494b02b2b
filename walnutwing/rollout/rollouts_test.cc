// One router's view of orders, statuses and verdicts, and what several routers
// do with the store.

#include "walnutwing/rollout/rollouts.h"

#include <gtest/gtest.h>

#include "walnutwing/rollout/fake_rollout_fleet.h"

namespace walnutwing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// One router, and a fleet view that holds nothing up.
class RolloutsTest : public testing::Test
{
protected:
  RolloutsTest()
  {
    RosterMember hub;
    hub.m_name = DaemonId("hub");
    hub.m_zone = ZoneId("z");
    m_exchange.SetMembers({ hub }, Now());
    m_view.m_oldRequests = 0;
    m_view.m_newWarmSlots = m_view.m_oldSlots = 8;
    m_view.m_newUpstreams = m_view.m_oldUpstreams = 4;
    m_view.m_maxTimeout = seconds(4);
    m_view.m_fresh = true;
    m_view.m_usableVersions = { kOld, kNew };
  }

  Time Now() const { return m_clock.Now(); }

  void Tick(std::optional<std::uint32_t> aRank = 0)
  {
    m_clock.Advance(milliseconds(100));
    m_rollouts.Tick(kService, m_view, aRank, Now());
  }

  // Until a status is due; nullopt if none is for aTime.
  std::optional<RolloutStatus> NextStatus(Duration aTime = seconds(30))
  {
    for (const Time end = Now() + aTime; Now() < end;) {
      Tick();
      if (auto status = m_rollouts.StatusToWrite(kService, Now())) {
        return status;
      }
    }
    return std::nullopt;
  }

  // The store accepts all statuses until aStage is reached.
  void GoTo(RolloutStage aStage)
  {
    while (m_rollouts.Views(Now())[0].m_stage != aStage) {
      const auto status = NextStatus();
      ASSERT_TRUE(status);
      m_rollouts.OnWritten(*status, Now());
    }
  }

  void Start()
  {
    m_rollouts.OnStatusesRead(Now());
    m_rollouts.OnOrder(MakeOrder(seconds(20)), Now());
    GoTo(RolloutStage::Trial);
    const auto status = NextStatus();
    ASSERT_TRUE(status);
    m_rollouts.OnWritten(*status, Now());
  }

  RolloutStage Stage() { return m_rollouts.Views(Now())[0].m_stage; }

  RolloutStatus Status(RolloutStage aStage, std::uint64_t aOffset = 7)
  {
    return { kService, kNew, aStage, { 1, aOffset }, Now() };
  }

  VersionRule Rule()
  {
    return m_rollouts.RuleFor({ kService, 0, std::nullopt }, 1, Now());
  }

  // Whether none of the next requests may go to the new version.
  bool NothingToNew()
  {
    for (int i = 0; i < 100; ++i) {
      if (!Rule().m_exclude.contains(kNew)) {
        return false;
      }
    }
    return true;
  }

  // Whether all of the next requests may go to the old version only.
  bool OnlyOldServes()
  {
    for (int i = 0; i < 100; ++i) {
      const VersionRule rule = Rule();
      if (rule.m_exclude.contains(kOld) || !rule.m_exclude.contains(kNew)) {
        return false;
      }
    }
    return true;
  }

  PausedClock m_clock;
  LoadExchange m_exchange{ DaemonId("r"), ZoneId("z"), LoadExchangeOptions() };
  Rollouts m_rollouts{ RolloutOptions(), m_exchange };
  RolloutFleetView m_view;
};

// Without an order nothing may change: no bytes, no choice.
TEST_F(RolloutsTest, DoesNothingWithoutAnOrder)
{
  m_rollouts.OnStatus(Status(RolloutStage::Switch), Now());
  const VersionRule rule = Rule();
  EXPECT_TRUE(rule.m_only.empty() && rule.m_exclude.empty());
  m_rollouts.OnSent(kService, kNew, UpstreamId("n"), 1, Now());
  UpstreamLoads loads;
  m_rollouts.AddTo(loads);
  EXPECT_TRUE(loads.empty());
  EXPECT_FALSE(m_rollouts.IsActive(kService));
  EXPECT_TRUE(m_rollouts.Active().empty());
  EXPECT_TRUE(m_rollouts.News().empty());
}

// A router that has just started may have missed a roll-back.
TEST_F(RolloutsTest, SendsNothingUntilTheStatusIsKnown)
{
  m_rollouts.OnOrder(MakeOrder(seconds(20)), Now());
  Tick();
  EXPECT_TRUE(NothingToNew());
  EXPECT_FALSE(m_rollouts.StatusToWrite(kService, Now()));
  m_rollouts.OnStatusesRead(Now());
  Tick();
  EXPECT_FALSE(NothingToNew());
}

// It goes on at the stage of the fleet, whether it reads the order or the
// status first.
TEST_F(RolloutsTest, StartsInTheMiddle)
{
  m_rollouts.OnStatus(Status(RolloutStage::Switch), Now());
  m_rollouts.OnStatusesRead(Now());
  m_rollouts.OnOrder(MakeOrder(seconds(20)), Now());
  EXPECT_EQ(Stage(), RolloutStage::Switch);
}

// Cut off from the fleet, a router cannot learn that the version is bad.
TEST_F(RolloutsTest, SendsNothingToATrialWithoutTheFleetsSums)
{
  Start();
  EXPECT_FALSE(NothingToNew());
  m_view.m_fresh = false;
  for (int i = 0; i < 16; ++i) {
    Tick();
  }
  EXPECT_TRUE(NothingToNew());
}

// Old upstreams stop at once when the status is written.
TEST_F(RolloutsTest, CompletedIsNotDueWhileOldRequestsAreInFlight)
{
  Start();
  GoTo(RolloutStage::Drain);
  EXPECT_TRUE(Rule().m_only.contains(kNew));
  for (const std::optional<std::uint32_t> old :
       { std::optional(1U), std::optional<std::uint32_t>() }) {
    m_view.m_oldRequests = old;
    EXPECT_FALSE(NextStatus(seconds(2)));
  }
  m_view.m_oldRequests = 0;
  const auto status = NextStatus(seconds(1));
  ASSERT_TRUE(status);
  EXPECT_EQ(status->m_stage, RolloutStage::Completed);
  // Only the store's answer makes it so.
  EXPECT_EQ(Stage(), RolloutStage::Drain);
  m_rollouts.OnWritten(*status, Now());
  EXPECT_EQ(Stage(), RolloutStage::Completed);
  EXPECT_TRUE(Rule().m_strict);
}

// A stream that broke goes on at its version, in any stage; at a bad version it
// does not go on.
TEST_F(RolloutsTest, StreamsStayWithTheirVersion)
{
  Start();
  for (const RolloutStage stage :
       { RolloutStage::Trial, RolloutStage::Drain }) {
    GoTo(stage);
    for (const SoftwareVersion& version : { kOld, kNew }) {
      const VersionRule rule =
        m_rollouts.RuleForRepeat({ kService, 0, version }, Now());
      EXPECT_EQ(rule.m_only, std::set{ version });
      EXPECT_TRUE(rule.m_strict);
    }
  }
  m_rollouts.OnBadVerdict(kService, kNew, { 1, 7 }, Now());
  const VersionRule rule =
    m_rollouts.RuleForRepeat({ kService, 0, kNew }, Now());
  EXPECT_TRUE(rule.m_exclude.contains(kNew) && rule.m_strict);
}

// No late, repeated or older message may take a stage back.
TEST_F(RolloutsTest, StagesNeverGoBack)
{
  Start();
  GoTo(RolloutStage::Drain);
  for (const StatusSource source :
       { StatusSource::Router, StatusSource::Store }) {
    m_rollouts.OnStatus(Status(RolloutStage::Trial), Now(), source);
    EXPECT_EQ(Stage(), RolloutStage::Drain);
  }
  m_rollouts.OnBadVerdict(kService, kNew, { 1, 7 }, Now());
  EXPECT_EQ(Stage(), RolloutStage::RolledBack);
  m_rollouts.OnStatus(Status(RolloutStage::Drain), Now());
  EXPECT_EQ(Stage(), RolloutStage::RolledBack);
  const auto status = NextStatus();
  ASSERT_TRUE(status);
  m_rollouts.OnWritten(*status, Now());
  m_rollouts.OnStatus(Status(RolloutStage::Completed), Now());
  EXPECT_EQ(Stage(), RolloutStage::RolledBack);
}

// The store came back older: its copy is written again.
TEST_F(RolloutsTest, AnOlderStoreGetsTheStatusAgain)
{
  Start();
  GoTo(RolloutStage::Completed);
  EXPECT_FALSE(NextStatus(seconds(2)));
  m_rollouts.OnStatusesRead(Now());     // had the status
  m_rollouts.OnStatusesRead(Now());     // has none
  EXPECT_FALSE(NextStatus(seconds(1))); // others may know more
  const auto again = NextStatus(seconds(1));
  ASSERT_TRUE(again);
  EXPECT_EQ(again->m_stage, RolloutStage::Completed);
  // The operator writes its order again, into another era.
  RolloutOrder order = MakeOrder(seconds(20), 3);
  order.m_id.m_era = 2;
  m_rollouts.OnOrder(order, Now());
  EXPECT_EQ(Stage(), RolloutStage::Completed);
}

// Another router completed the roll-out while this one judged it: the old
// upstreams are gone, so traffic must follow the store.
TEST_F(RolloutsTest, TheStoreDecidesBetweenCompletedAndRolledBack)
{
  Start();
  GoTo(RolloutStage::Drain);
  m_rollouts.OnBadVerdict(kService, kNew, { 1, 7 }, Now());
  EXPECT_TRUE(NothingToNew());
  m_rollouts.OnWriteFailed(Status(RolloutStage::RolledBack), Now());
  m_rollouts.OnStatus(Status(RolloutStage::Completed), Now());
  EXPECT_EQ(Stage(), RolloutStage::Completed);
  EXPECT_FALSE(NothingToNew());
}

// Without the store a verdict holds at once, and is written when it is back.
TEST_F(RolloutsTest, AVerdictIsWrittenWhenTheStoreIsBack)
{
  Start();
  m_rollouts.OnBadVerdict(kService, kNew, { 1, 7 }, Now());
  EXPECT_TRUE(NothingToNew());
  EXPECT_EQ(m_rollouts.BadVerdicts().size(), 1U);
  for (int i = 0; i < 3; ++i) {
    const auto status = NextStatus(seconds(1));
    ASSERT_TRUE(status);
    EXPECT_EQ(status->m_stage, RolloutStage::RolledBack);
    EXPECT_FALSE(NextStatus(milliseconds(100))); // it has not ended
    m_rollouts.OnWriteFailed(*status, Now());
  }
}

// The other zones' writers wait, so that conditions seldom fail.
TEST_F(RolloutsTest, WritersOfLaterRanksWait)
{
  m_rollouts.OnOrder(MakeOrder(seconds(20)), Now());
  m_rollouts.OnStatus(Status(RolloutStage::Trial), Now()); // of another one
  m_rollouts.OnBadVerdict(kService, kNew, { 1, 7 }, Now());
  Tick(2);
  EXPECT_FALSE(m_rollouts.StatusToWrite(kService, Now()));
  for (int i = 0; i < 14; ++i) {
    Tick(2);
  }
  EXPECT_TRUE(m_rollouts.StatusToWrite(kService, Now()));
  Tick(std::nullopt);
  EXPECT_FALSE(m_rollouts.StatusToWrite(kService, Now()));
}

// What others know to be written costs no calls to the store.
TEST_F(RolloutsTest, AStageThatIsHeardOfIsNotWrittenAgain)
{
  Start();
  m_rollouts.OnStatus(
    Status(RolloutStage::Switch), Now(), StatusSource::Router);
  EXPECT_EQ(Stage(), RolloutStage::Switch);
  EXPECT_FALSE(NextStatus(milliseconds(500)));
  // A verdict may be known before the store has it.
  m_rollouts.OnStatus(
    Status(RolloutStage::RolledBack), Now(), StatusSource::Router);
  EXPECT_TRUE(NextStatus(milliseconds(500)));
}

TEST_F(RolloutsTest, TheSameOrderReadTwiceChangesNothing)
{
  Start();
  GoTo(RolloutStage::Switch);
  m_rollouts.OnOrder(MakeOrder(seconds(20)), Now());
  m_rollouts.OnOrder(MakeOrder(seconds(20), 3, SoftwareVersion("v0")), Now());
  EXPECT_EQ(Stage(), RolloutStage::Switch);
  // Sent twice: it goes on, under the newer record.
  m_rollouts.OnOrder(MakeOrder(seconds(20), 8), Now());
  EXPECT_EQ(Stage(), RolloutStage::Switch);
  const auto status = NextStatus();
  ASSERT_TRUE(status);
  EXPECT_EQ(status->m_order.m_offset, 8U);
  EXPECT_EQ(status->m_stage, RolloutStage::Switch);
}

TEST_F(RolloutsTest, AReplacedVersionGetsNothingMore)
{
  Start();
  GoTo(RolloutStage::Switch);
  const SoftwareVersion next("v3");
  m_rollouts.OnOrder(MakeOrder(seconds(20), 8, next), Now());
  Tick();
  EXPECT_EQ(Stage(), RolloutStage::Trial);
  EXPECT_TRUE(NothingToNew());
  // A status that was in flight says that it was completed before: it is the
  // version that the fleet runs.
  m_rollouts.OnStatus(Status(RolloutStage::Completed), Now());
  EXPECT_FALSE(Rule().m_exclude.contains(kNew));
}

// Guards against a service that refuses all requests: the operator gives up
// another version by ordering the one that serves.
TEST_F(RolloutsTest, TheServingVersionMayBeOrdered)
{
  Start();
  m_rollouts.OnOrder(MakeOrder(seconds(20), 8, kOld), Now());
  EXPECT_TRUE(OnlyOldServes());
}

TEST_F(RolloutsTest, TheServingVersionMayBeOrderedAfterAVerdict)
{
  Start();
  m_rollouts.OnBadVerdict(kService, kNew, { 1, 7 }, Now());
  m_rollouts.OnOrder(MakeOrder(seconds(20), 8, kOld), Now());
  EXPECT_TRUE(OnlyOldServes());
}

// Guards against a router that prefers a version which was replaced since, in a
// release without an order.
TEST_F(RolloutsTest, ARollOutThatEndedLongAgoBindsNoRestartedRouter)
{
  RolloutStatus status = Status(RolloutStage::Completed);
  status.m_startedAt = Now() - std::chrono::hours(1);
  m_rollouts.OnStatus(status, Now());
  m_rollouts.OnStatusesRead(Now());
  m_rollouts.OnOrder(MakeOrder(seconds(20)), Now());
  EXPECT_FALSE(m_rollouts.IsActive(kService));
  EXPECT_FALSE(Rule().m_strict);
}

// Guards against news without end from the routers that write no statuses.
TEST_F(RolloutsTest, ARollBackSettlesWhereNoStatusIsWritten)
{
  Start();
  m_rollouts.OnStatus(
    Status(RolloutStage::RolledBack), Now(), StatusSource::Router);
  EXPECT_FALSE(m_rollouts.News().empty());
  m_clock.Advance(seconds(61));
  Tick(std::nullopt);
  EXPECT_TRUE(m_rollouts.News().empty());
  EXPECT_TRUE(NothingToNew());
}

// Guards against a version that is switched to without a look at it, because
// its upstreams were cold until late.
TEST_F(RolloutsTest, ABusyServiceIsNotSwitchedWithoutEvidence)
{
  Start();
  RolloutAnswer answer;
  answer.m_service = kService;
  answer.m_version = kOld;
  for (int i = 0; i < 10'000; ++i) {
    m_rollouts.OnAnswer(answer, Now());
  }
  for (const Time end = Now() + seconds(40); Now() < end;) {
    Tick();
    if (const auto status = m_rollouts.StatusToWrite(kService, Now())) {
      EXPECT_NE(status->m_stage, RolloutStage::Switch);
      m_rollouts.OnWritten(*status, Now());
    }
  }
  EXPECT_EQ(Stage(), RolloutStage::Surge);
}

TEST_F(RolloutsTest, AWithdrawnOrderIsRolledBack)
{
  Start();
  GoTo(RolloutStage::Switch);
  m_rollouts.OnOrderWithdrawn(kService, Now());
  EXPECT_TRUE(NothingToNew());
  EXPECT_FALSE(Rule().m_strict); // it is not bad
  const auto status = NextStatus();
  ASSERT_TRUE(status);
  EXPECT_EQ(status->m_stage, RolloutStage::RolledBack);
}

// After a roll-back the same version may be tried again; verdicts and statuses
// of the former order do not count.
TEST_F(RolloutsTest, TheSameVersionIsOrderedAgainAfterARollBack)
{
  Start();
  m_rollouts.OnBadVerdict(kService, kNew, { 1, 7 }, Now());
  m_rollouts.OnOrder(MakeOrder(seconds(20), 8), Now());
  m_rollouts.OnBadVerdict(kService, kNew, { 1, 7 }, Now());
  m_rollouts.OnStatus(Status(RolloutStage::RolledBack), Now());
  EXPECT_EQ(Stage(), RolloutStage::Trial);
  Tick();
  EXPECT_FALSE(NothingToNew());
}

// It is there already if no old upstream is left, and is moved again otherwise.
TEST_F(RolloutsTest, TheSameVersionIsOrderedAgainAfterItWasCompleted)
{
  Start();
  GoTo(RolloutStage::Completed);
  m_rollouts.OnOrder(MakeOrder(seconds(20), 8), Now());
  const Time orderedAt = Now();
  m_view.m_oldUpstreams = 0;
  GoTo(RolloutStage::Completed);
  EXPECT_LT(Now() - orderedAt, seconds(1));
}

// Changes of the wall clock of another machine must not skip the trial.
TEST_F(RolloutsTest, AStatusFromThePastSkipsNoStage)
{
  Start();
  RolloutStatus status = Status(RolloutStage::Trial);
  status.m_startedAt = Now() - std::chrono::hours(1);
  m_rollouts.OnStatus(status, Now());
  EXPECT_FALSE(NextStatus(seconds(5)));
}

// Each router must know each stage from the store or another router, whichever
// router dies, and after each step.
TEST(RolloutFleet, AnyWriterMayDieBetweenAnyTwoSteps)
{
  for (const Duration killAt : { seconds(1),
                                 seconds(8),
                                 seconds(11),
                                 seconds(13),
                                 seconds(16),
                                 seconds(17) }) {
    FakeRolloutFleet::Options options;
    FakeRolloutFleet fleet(options);
    fleet.Run(seconds(4));
    fleet.Order(MakeOrder(options.m_duration));
    fleet.Run(killAt);
    fleet.Kill(0);
    EXPECT_EQ(fleet.RunToEnd(), RolloutState::Completed) << killAt.count();
    EXPECT_LE(fleet.m_endedAfter, options.m_duration);
  }
}

// Two routers decide at each moment: the store takes one status of each stage.
TEST(RolloutFleet, TwoDecidersAtOnce)
{
  FakeRolloutFleet::Options options;
  options.m_oneRank = true;
  FakeRolloutFleet fleet(options);
  fleet.Run(seconds(4));
  fleet.Order(MakeOrder(options.m_duration));
  EXPECT_EQ(fleet.RunToEnd(), RolloutState::Completed);
  EXPECT_EQ(fleet.Store().m_statuses.size(), 5U);
}

// Answers of the store are lost: nothing is written twice, and none goes back.
TEST(RolloutFleet, LostAnswersOfTheStore)
{
  FakeRolloutFleet::Options options;
  FakeRolloutFleet fleet(options);
  fleet.Store().m_losesAnswers = true;
  fleet.Run(seconds(4));
  fleet.Order(MakeOrder(options.m_duration));
  EXPECT_EQ(fleet.RunToEnd(), RolloutState::Completed);
  const auto& statuses = fleet.Store().m_statuses;
  EXPECT_EQ(statuses.size(), 5U);
  for (std::size_t i = 1; i < statuses.size(); ++i) {
    EXPECT_LT(statuses[i - 1].m_stage, statuses[i].m_stage);
  }
}

// While the store is down no stage moves on; a bad version is stopped.
TEST(RolloutFleet, TheStoreIsDown)
{
  for (const bool bad : { false, true }) {
    FakeRolloutFleet::Options options;
    options.m_faults = [bad](const FakeRequest& aRequest, double aRandom) {
      const bool late = aRequest.m_sinceOrder > seconds(3);
      const bool isNew = aRequest.m_version == kNew;
      return FakeFault{ bad && late && isNew && aRandom < 0.5, 1 };
    };
    FakeRolloutFleet fleet(options);
    fleet.Run(seconds(4));
    fleet.Order(MakeOrder(options.m_duration));
    fleet.Run(seconds(2));
    fleet.Store().m_up = false;
    fleet.Run(seconds(14));
    EXPECT_EQ(fleet.Stored(), RolloutState::InProgress);
    EXPECT_LT(fleet.m_sentToNew, 0.1 * fleet.m_requests + 50);
    EXPECT_EQ(fleet.At(5).Views(fleet.Now())[0].m_stage,
              bad ? RolloutStage::RolledBack : RolloutStage::Trial);
    fleet.Store().m_up = true;
    fleet.Run(seconds(2));
    EXPECT_EQ(fleet.Stored(),
              bad ? RolloutState::RolledBack : RolloutState::InProgress);
  }
}

} // namespace
} // namespace walnutwing
