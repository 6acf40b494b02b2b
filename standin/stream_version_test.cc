// Tests of a fleet of routers whose engines run two software versions side by
// side. Guards against issue 35, ORDER: a broken stream went on at an engine of
// another version than the one that began it, and what two versions write does
// not fit together. Also checks that most streams do go on.

#include "standin/stream_version_fixture.h"

#include <chrono>
#include <csignal>

namespace walnutwing::standin {
namespace {

const std::string kMemberTopic = "keyed.walnutwing.members";
const std::string kUnknownNumber = "2016";
const std::string kGoneNumber = "2017";

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

// Guards against a router that goes on with a stream at another version.
TEST_F(StreamVersion, StaysTheSameWithinOneAnswer)
{
  SetTwoVersions();
  BeginMany();
  for (auto& [prompt, stream] : m_streams) {
    const std::shared_ptr<UpstreamExchange> exchange = stream.m_exchange;
    stream.m_open = false;
    exchange->Close();
    RunFor(Duration(20));
  }
  RunFor(Duration(500));
  EXPECT_EQ(0U, Mixed());
  EXPECT_GE(GoneOn(), kStreams * 3 / 4);
}

// Guards against a router that does not know which version began a stream at
// another one, and sends it to any.
TEST_F(StreamVersion, StaysTheSameWhenTakenUpAtAnotherRouter)
{
  SetTwoVersions();
  BeginMany();
  LoseEngines();
  TakeUpAll();
  EXPECT_EQ(0U, Mixed());
  EXPECT_GE(GoneOn(), kStreams * 3 / 4);
}

// Guards against a chain of tries that ends at another version.
TEST_F(StreamVersion, StaysTheSameOverAChainOfTries)
{
  SetTwoVersions();
  BeginMany();
  LoseEngines();
  TakeUpAll(1);
  TakeUpAll(2);
  TakeUpAll(3);
  EXPECT_EQ(0U, Mixed());
  EXPECT_GE(GoneOn(), kStreams * 3 / 4);
}

// Guards against streams that are lost or mixed because the router that began
// them is gone.
TEST_F(StreamVersion, IsKnownWhenTheRouterThatBeganItIsGone)
{
  SetTwoVersions();
  for (std::size_t i = 0; i < kStreams; ++i) {
    Begin(0);
  }
  LoseEngines();
  m_harness.Router(0).Kill();
  for (auto& [prompt, stream] : m_streams) {
    TakeUp(prompt, 1 + std::stoul(prompt.substr(1)) % 2);
    RunFor(Duration(10));
  }
  RunFor(Duration(700));
  EXPECT_EQ(0U, Mixed());
  EXPECT_GE(GoneOn(), kStreams * 3 / 4);
}

// Guards against streams that had begun before the second version came.
TEST_F(StreamVersion, IsKnownOfStreamsThatBeganBeforeTheOtherVersionCame)
{
  SetVersion(0, kEngines / 2, "v1");
  Unregister(kEngines / 2, kEngines);
  BeginMany();
  SetVersion(kEngines / 2, kEngines, "v2");
  LoseEngines();
  TakeUpAll();
  EXPECT_EQ(0U, Mixed());
  EXPECT_GE(GoneOn(), kStreams * 3 / 4);
}

// Guards against a router that has just started and guesses.
TEST_F(StreamVersion, IsAskedForByARouterThatHasRestarted)
{
  SetTwoVersions();
  BeginMany();
  LoseEngines();
  m_harness.StartRouter(1);
  ASSERT_TRUE(
    m_harness.WaitUntil([&] { return m_harness.ReadyStatus(1) == 200; }));
  RunFor(Duration(3000));
  for (auto& [prompt, stream] : m_streams) {
    TakeUp(prompt, 1);
    RunFor(Duration(10));
  }
  RunFor(Duration(700));
  EXPECT_EQ(0U, Mixed());
  EXPECT_GE(GoneOn(), kStreams * 3 / 4);
}

// Guards against a stream that goes on elsewhere, or waits, when its version
// is gone.
TEST_F(StreamVersion, IsRefusedAtOnceWhenItsVersionIsGone)
{
  SetTwoVersions();
  BeginMany();
  Unregister(0, kEngines / 2);
  std::size_t ofGone = 0;
  for (const auto& [prompt, stream] : m_streams) {
    ofGone += stream.m_beganAt == "v1" ? 1 : 0;
  }
  ASSERT_GT(ofGone, 0U);
  TakeUpAll();
  EXPECT_EQ(0U, Mixed());
  EXPECT_EQ(kStreams - ofGone, GoneOn());
  EXPECT_EQ(ofGone, Answered(kGoneNumber));
  EXPECT_EQ(ofGone, Answered("HTTP/1.1 503"));
}

// Guards against a guess when no router knows which version began the stream.
TEST_F(StreamVersion, IsRefusedAtOnceWhenNobodyKnowsIt)
{
  SetTwoVersions();
  for (int i = 0; i < 6; ++i) {
    const std::string prompt = "p" + std::to_string(i);
    m_streams[prompt].m_firstAttempt = "unknown" + std::to_string(i);
    m_streams[prompt].m_beganAt = "v0";
    m_streams[prompt].m_caller = m_harness.Connect(0);
    TakeUp(prompt, static_cast<std::size_t>(i) % kRouters);
  }
  RunFor(Duration(500));
  EXPECT_EQ(0U, GoneOn());
  EXPECT_EQ(6U, Answered(kUnknownNumber));
}

// Guards against streams that are refused although there is one version only:
// by routers that have just started, one or all of them.
class OneVersion : public StreamVersion
{
protected:
  OneVersion()
    : StreamVersion("v1")
  {
  }
};

TEST_F(OneVersion, IsKnownToRoutersThatHaveJustStarted)
{
  BeginMany();
  for (std::size_t i = 0; i < kRouters; ++i) {
    m_harness.StartRouter(i);
  }
  for (std::size_t i = 0; i < kRouters; ++i) {
    ASSERT_TRUE(
      m_harness.WaitUntil([&] { return m_harness.ReadyStatus(i) == 200; }));
  }
  RunFor(Duration(3000));
  TakeUpAll();
  EXPECT_EQ(kStreams, GoneOn());
}

// Guards against streams that are refused, or go on at another version, because
// the memory of all routers is gone (issue 41, rejoined streams).
TEST_F(StreamVersion, IsKnownAfterAllRoutersWereKilled)
{
  SetTwoVersions();
  BeginMany();
  RunFor(Duration(600));
  RestartAll();
  TakeUpAll();
  EXPECT_EQ(0U, Mixed());
  EXPECT_GE(GoneOn(), kStreams * 3 / 4);
  for (std::size_t i = 0; i < kRouters; ++i) {
    EXPECT_TRUE(Contains(m_harness.LogText(i), "stream_taken_up"));
  }
}

// Guards against the same after the engines of the other version have left.
TEST_F(StreamVersion, IsKnownAfterAllRoutersWereKilledAndAVersionLeft)
{
  SetTwoVersions();
  BeginMany();
  RunFor(Duration(600));
  for (std::size_t i = 0; i < kRouters; ++i) {
    m_harness.Router(i).Kill();
  }
  Unregister(kEngines / 2, kEngines);
  std::size_t ofLeft = 0;
  for (const auto& [prompt, stream] : m_streams) {
    ofLeft += stream.m_beganAt == "v2" ? 1 : 0;
  }
  RestartAll();
  TakeUpAll();
  EXPECT_EQ(0U, Mixed());
  EXPECT_EQ(kStreams - ofLeft, GoneOn());
}

// Guards against streams that are refused after all routers were killed, as
// they were not written down: a fleet that had started before its store took
// the only version for known, while nobody had written it there (soak, seeds
// 4953 and 4981).
TEST_F(OneVersion, IsKnownAfterAFleetThatStartedBeforeItsStoreWasKilled)
{
  for (std::size_t i = 0; i < kRouters; ++i) {
    m_harness.Router(i).Kill();
  }
  m_harness.Store().DropKeysOlderThan(kMemberTopic, Duration(0));
  m_harness.Store().DropHistory(kMemberTopic);
  m_harness.Store().SetOutage(503);
  for (std::size_t i = 0; i < kRouters; ++i) {
    m_harness.StartRouter(i);
  }
  RunFor(Duration(1000));
  m_harness.Store().SetOutage(std::nullopt);
  for (std::size_t i = 0; i < kRouters; ++i) {
    ASSERT_TRUE(
      m_harness.WaitUntil([&] { return m_harness.ReadyStatus(i) == 200; }));
  }
  RunFor(Duration(2500));
  BeginMany();
  RunFor(Duration(600));
  RestartAll();
  TakeUpAll();
  EXPECT_EQ(kStreams, GoneOn());
}

// Guards against issue 44, LOST: a version joins while all routers are down,
// and the streams that had begun are refused, as nobody could write them down.
TEST_F(OneVersion, IsKnownWhenAVersionJoinedWhileAllRoutersWereDown)
{
  SetVersion(0, kEngines, "v1");
  BeginMany();
  for (std::size_t i = 0; i < kRouters; ++i) {
    m_harness.Router(i).Kill();
  }
  SetVersion(kEngines / 2, kEngines, "v2");
  RestartAll();
  TakeUpAll();
  EXPECT_EQ(0U, Mixed());
  EXPECT_GE(GoneOn(), kStreams * 3 / 4);
  RunFor(Duration(3000));
  m_streams.clear();
  BeginMany();
  TakeUpAll();
  EXPECT_EQ(0U, Mixed());
  EXPECT_EQ(kStreams, GoneOn());
}

// Guards against a router that stood still while a version joined and takes its
// old list of engines for proof that there is one version only. The cases in
// which issue 41 saw that (a machine out of step) are in stream_versions_test.
TEST_F(OneVersion, IsNotGuessedByARouterThatStoodStill)
{
  for (const Duration still : { Duration(900), Duration(4000) }) {
    Unregister(kEngines / 2, kEngines);
    RunFor(Duration(1500));
    m_harness.Router(0).Signal(SIGSTOP);
    SetVersion(kEngines / 2, kEngines, "v2");
    RunFor(still - kRegistrationTime);
    m_streams.clear();
    for (std::size_t i = 0; i < kStreams; ++i) {
      Begin(1);
    }
    m_harness.Router(1).Kill();
    m_harness.Router(0).Signal(SIGCONT);
    for (auto& [prompt, stream] : m_streams) {
      TakeUp(prompt, 0);
    }
    RunFor(Duration(1000));
    EXPECT_EQ(0U, Mixed()) << still.count();
    m_harness.StartRouter(1);
    ASSERT_TRUE(
      m_harness.WaitUntil([&] { return m_harness.ReadyStatus(1) == 200; }));
  }
}

// Guards against upstreams that state no version: they count as one.
TEST_F(StreamVersion, MayBeUnstated)
{
  BeginMany();
  TakeUpAll();
  EXPECT_EQ(kStreams, GoneOn());
}

} // namespace
} // namespace walnutwing::standin
