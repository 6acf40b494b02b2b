// Tests of streams that had begun when a second software version of their
// engines joined, while the routers that held them were lost in one way or
// another. Guards against review/10, LOST.

#include "standin/stream_version_fixture.h"

#include <csignal>
#include <ostream>
#include <sstream>

namespace walnutwing::standin {
namespace {

// At the router that is lost. The engines that are left have room for them
// while they have not noticed that their first attempts are over.
constexpr std::size_t kStreamsHeld = 12;

// How a fleet loses the router that holds the streams.
enum class Loss
{
  Frozen,
  Killed,
  CutFromStore,
};

// What happens around the moment at which the second version joins.
struct LossAtJoin
{
  const char* m_name;
  Loss m_loss;
  std::size_t m_routersLost; // the first ones; the streams are at router 0
  Duration m_joinAfter;      // the loss; less than 0: the join is first
};

void
PrintTo(const LossAtJoin& aCase, std::ostream* aStream)
{
  *aStream << aCase.m_name;
}

class VersionJoinsAtALoss
  : public StreamVersion
  , public testing::WithParamInterface<LossAtJoin>
{
protected:
  VersionJoinsAtALoss()
    : StreamVersion("v1", true)
  {
  }

  // The lines of routers on streams whose version they did not find.
  std::string UnknownStreams() const
  {
    std::string found;
    for (std::size_t i = 0; i < kRouters; ++i) {
      std::istringstream lines(m_harness.LogText(i));
      for (std::string line; std::getline(lines, line);) {
        if (line.find("stream_taken_up") != std::string::npos &&
            line.find(R"("known":0)") != std::string::npos) {
          found += line + "\n";
        }
      }
    }
    return found;
  }

  void Lose()
  {
    for (std::size_t i = 0; i < GetParam().m_routersLost; ++i) {
      switch (GetParam().m_loss) {
        case Loss::Frozen:
          m_harness.Router(i).Signal(SIGSTOP);
          break;
        case Loss::Killed:
          m_harness.Router(i).Kill();
          break;
        case Loss::CutFromStore:
          m_harness.Store().SetCut(i + 1, true);
          break;
      }
    }
  }

  void Join()
  {
    for (std::size_t i = kEngines / 2; i < kEngines; ++i) {
      m_versions[i] = "v2";
      m_harness.SetUpstreamVersion(i, "v2");
      m_harness.RegisterUpstream(i);
    }
  }
};

// Guards against review/10, LOST: while a service has one version only the
// router that began a stream knew its version, and wrote it down when a second
// one joined; streams are refused if that router is lost at that moment.
TEST_P(VersionJoinsAtALoss, StreamsGoOnAtTheOtherRouters)
{
  constexpr Duration kCallerPatience{ 2400 };
  SetVersion(0, kEngines / 2, "v1");
  Unregister(kEngines / 2, kEngines);
  for (std::size_t i = 0; i < kStreamsHeld; ++i) {
    Begin(0);
  }
  RunFor(Duration(300));
  const Duration joinAfter = GetParam().m_joinAfter;
  if (joinAfter < Duration::zero()) {
    Join();
    RunFor(-joinAfter);
  }
  Lose();
  RunFor(std::max(joinAfter, Duration::zero()));
  if (joinAfter >= Duration::zero()) {
    Join();
  }
  RunFor(kCallerPatience - std::max(joinAfter, Duration::zero()));
  const std::size_t lost = GetParam().m_routersLost;
  for (auto& [prompt, stream] : m_streams) {
    TakeUp(prompt, lost + std::stoul(prompt.substr(1)) % (kRouters - lost));
  }
  RunFor(Duration(1200));
  for (std::size_t i = 0; i < lost; ++i) {
    m_harness.Router(i).Signal(SIGCONT);
    m_harness.Store().SetCut(i + 1, false);
  }
  RunFor(Duration(500)); // what was lost is back and may tell of its streams
  EXPECT_EQ(0U, Mixed());
  EXPECT_EQ(kStreamsHeld, GoneOn()) << UnknownStreams();
}

INSTANTIATE_TEST_SUITE_P(
  StreamVersion,
  VersionJoinsAtALoss,
  testing::Values(
    LossAtJoin{ "FrozenJustBefore", Loss::Frozen, 1, Duration(20) },
    LossAtJoin{ "FrozenOneSecondBefore", Loss::Frozen, 1, Duration(1000) },
    LossAtJoin{ "FrozenTwoSecondsBefore", Loss::Frozen, 1, Duration(2000) },
    LossAtJoin{ "FrozenAfter", Loss::Frozen, 1, Duration(-400) },
    LossAtJoin{ "FrozenTogether", Loss::Frozen, 2, Duration(1000) },
    LossAtJoin{ "KilledJustBefore", Loss::Killed, 1, Duration(20) },
    LossAtJoin{ "KilledOneSecondBefore", Loss::Killed, 1, Duration(1000) },
    LossAtJoin{ "KilledAfter", Loss::Killed, 1, Duration(-400) },
    LossAtJoin{ "KilledTogether", Loss::Killed, 2, Duration(1000) },
    LossAtJoin{ "CutFromStore", Loss::CutFromStore, 1, Duration(500) }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

} // namespace
} // namespace walnutwing::standin
