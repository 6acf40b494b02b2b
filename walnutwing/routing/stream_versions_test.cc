#include "walnutwing/routing/stream_versions.h"

#include <memory>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

constexpr Time kStart{ std::chrono::hours(1) };
const ServiceId kService("s");
const SoftwareVersion kOne("v1");
const SoftwareVersion kTwo("v2");

// Daemons that pass on each other's records.
class StreamVersionsTest : public testing::Test
{
protected:
  void MakeDaemons(std::size_t aDaemons, std::size_t aZones)
  {
    std::vector<RosterMember> members;
    for (std::size_t i = 0; i < aDaemons; ++i) {
      const std::string name = "d" + std::to_string(i);
      const ZoneId zone("z" + std::to_string(i % aZones));
      members.push_back({ DaemonId(name), zone, name });
      m_daemons[name] = std::make_unique<StreamVersions>(DaemonId(name), zone);
    }
    for (const auto& [name, daemon] : m_daemons) {
      daemon->SetMembers(members);
    }
  }

  void List(const std::set<SoftwareVersion>& aVersions)
  {
    for (const auto& [name, daemon] : m_daemons) {
      daemon->SetListed(kService, aVersions, m_now);
    }
  }

  // Delivers all records; returns how many datagrams that takes.
  std::size_t Deliver()
  {
    std::size_t datagrams = 0;
    for (const auto& [name, daemon] : m_daemons) {
      for (const auto& [to, records] : daemon->TakeRecords()) {
        ++datagrams;
        if (!m_daemons.contains(to)) {
          continue; // it is gone
        }
        for (const StreamRecord& record : records) {
          m_daemons[to]->OnRecord(record, m_now);
        }
      }
    }
    return datagrams;
  }

  std::optional<SoftwareVersion> Find(const std::string& aAt, StreamKey aStream)
  {
    return Poll(aAt, aStream).Result();
  }

  VersionPoll Poll(const std::string& aAt, StreamKey aStream)
  {
    const std::vector<std::string> keepers = m_daemons[aAt]->Keepers(aStream);
    VersionPoll poll(m_daemons[aAt]->Opinion(aStream, kService, true, m_now),
                     keepers.size());
    for (const std::string& keeper : keepers) {
      if (m_daemons.contains(keeper)) {
        poll.Add(m_daemons[keeper]->Opinion(aStream, kService, true, m_now));
      }
    }
    return poll;
  }

  std::size_t CountFound(const std::string& aAt,
                         StreamKey aStreams,
                         const SoftwareVersion& aVersion)
  {
    std::size_t found = 0;
    for (StreamKey stream = 0; stream < aStreams; ++stream) {
      found += Find(aAt, stream) == aVersion ? 1 : 0;
    }
    return found;
  }

  Time m_now = kStart;
  std::map<std::string, std::unique_ptr<StreamVersions>> m_daemons;
};

// Guards against records that cost more in larger fleets.
TEST_F(StreamVersionsTest, StreamIsToldToTwoDaemonsWhateverTheSizeOfTheFleet)
{
  for (const std::size_t daemons : { 7U, 80U, 195U }) {
    MakeDaemons(daemons, 3);
    List({ kOne, kTwo });
    for (StreamKey stream = 0; stream < 50; ++stream) {
      m_daemons["d1"]->OnBegun(stream, kService, kTwo, m_now);
      EXPECT_LE(Deliver(), 2U);
    }
    EXPECT_EQ(50U, CountFound("d0", 50, kTwo));
    EXPECT_EQ(50U, CountFound("d6", 50, kTwo));
    m_daemons.clear();
  }
}

// Guards against streams that are lost with the daemon that began them, or with
// a zone.
TEST_F(StreamVersionsTest, StreamIsKnownWhenItsDaemonOrItsZoneIsGone)
{
  MakeDaemons(9, 3);
  List({ kOne, kTwo });
  for (StreamKey stream = 0; stream < 50; ++stream) {
    m_daemons["d1"]->OnBegun(stream, kService, kTwo, m_now);
  }
  Deliver();
  m_daemons.erase("d1");
  EXPECT_EQ(50U, CountFound("d0", 50, kTwo));
  m_daemons.erase("d4");
  m_daemons.erase("d7");
  EXPECT_EQ(50U, CountFound("d0", 50, kTwo));
}

// Guards against review/10, LOST: a second version joins while the daemon that
// began the streams, and had told nobody of them, is frozen or gone, alone or
// with any other one.
TEST_F(StreamVersionsTest, StreamIsKnownWhenItsDaemonIsLostBeforeAVersionJoins)
{
  constexpr StreamKey kStreams = 50;
  for (const std::size_t zones : { 1U, 2U, 3U, 4U }) {
    for (const std::string alsoLost : { "d0", "d2", "d3", "d5", "d8" }) {
      MakeDaemons(9, zones);
      List({ kOne });
      m_now += kStreamLifetime;
      for (StreamKey stream = 0; stream < kStreams; ++stream) {
        m_daemons["d1"]->OnBegun(stream, kService, kOne, m_now);
      }
      Deliver();
      m_daemons.erase("d1");
      m_daemons.erase(alsoLost);
      List({ kOne, kTwo });
      for (const auto& [name, daemon] : m_daemons) {
        EXPECT_EQ(kStreams, CountFound(name, kStreams, kOne))
          << zones << " zones, without " << alsoLost << ", at " << name;
      }
      m_daemons.clear();
    }
  }
}

TEST_F(StreamVersionsTest, FleetOfOneZoneHasTwoKeepers)
{
  MakeDaemons(4, 1);
  List({ kOne, kTwo });
  m_daemons["d1"]->OnBegun(7, kService, kTwo, m_now);
  Deliver();
  m_daemons.erase("d1");
  EXPECT_EQ(kTwo, Find("d2", 7));
}

// Guards against calls to the store that nobody needs, and against datagrams
// for streams that are over before they are sent.
TEST_F(StreamVersionsTest, NothingIsWrittenDownWhereThereIsOneVersionOnly)
{
  MakeDaemons(7, 3);
  List({ kOne });
  m_now += kStreamLifetime;
  m_daemons["d1"]->OnBegun(1, kService, kOne, m_now);
  EXPECT_FALSE(m_daemons["d1"]->HasUnwritten());
  EXPECT_EQ(2U, Deliver());
  EXPECT_EQ(kOne, Find("d2", 1));
  m_daemons["d1"]->OnBegun(2, kService, kOne, m_now);
  m_daemons["d1"]->OnCompleted(2);
  EXPECT_FALSE(m_daemons["d1"]->HasRecords());
  EXPECT_EQ(0U, Deliver());
}

// Guards against streams in progress that nobody knows when a second version
// appears.
TEST_F(StreamVersionsTest, StreamsInProgressAreToldWhenASecondVersionAppears)
{
  MakeDaemons(7, 3);
  List({ kOne });
  m_now += kStreamLifetime;
  m_daemons["d1"]->OnBegun(1, kService, kOne, m_now);
  m_daemons["d1"]->OnBegun(2, kService, kOne, m_now);
  m_daemons["d1"]->OnCompleted(2);
  List({ kOne, kTwo });
  Deliver();
  EXPECT_EQ(kOne, Find("d2", 1));
  EXPECT_FALSE(Find("d2", 2));
}

// Guards against a guess after a change of versions there and back.
TEST_F(StreamVersionsTest, VersionThatIsBackIsNotTheOnlyOneForAWhile)
{
  MakeDaemons(7, 3);
  List({ kOne });
  m_now += kStreamLifetime;
  List({ kOne, kTwo });
  m_now += Duration(1000);
  List({ kTwo });
  m_daemons["d1"]->OnBegun(1, kService, kTwo, m_now);
  Deliver();
  List({ kOne });
  m_now += Duration(1000);
  EXPECT_EQ(kTwo, Find("d2", 1));
  EXPECT_FALSE(Find("d2", 99));
  m_now += kStreamLifetime;
  EXPECT_EQ(kOne, Find("d2", 99));
}

// Guards against an outage of all upstreams that is taken for a change.
// Guards against a list that was confirmed just before a version joined, and is
// taken for proof after streams have begun at that version.
TEST_F(StreamVersionsTest, NewVersionGetsNoStreamsUntilAllListsHaveIt)
{
  PausedClock clock;
  StreamVersions versions(DaemonId("d"), ZoneId("z"));
  const ServiceId service("s");
  versions.SetListed(service, { kOne }, clock.Now());
  EXPECT_TRUE(versions.NewVersions(service, clock.Now()).empty());
  clock.Advance(kStreamLifetime);
  versions.SetListed(service, { kOne, kTwo }, clock.Now());
  clock.Advance(kFreshListAge);
  EXPECT_EQ(std::set{ kTwo }, versions.NewVersions(service, clock.Now()));
  clock.Advance(kVersionDelay - kFreshListAge);
  EXPECT_TRUE(versions.NewVersions(service, clock.Now()).empty());
}

// Guards against an only version that the daemon states although it has heard
// of another one that it has not listed.
TEST_F(StreamVersionsTest, VersionThatIsSeenElsewhereEndsTheOnlyVersion)
{
  for (const bool seen : { true, false }) {
    PausedClock clock;
    StreamVersions versions(DaemonId("d"), ZoneId("z"));
    const ServiceId service("s");
    versions.SetListed(service, { kOne }, clock.Now());
    clock.Advance(kStreamLifetime);
    EXPECT_TRUE(versions.Opinion(1, service, true, clock.Now()).m_only);
    if (seen) {
      versions.OnVersionSeen(service, kTwo, clock.Now());
    } else {
      versions.OnSeveralVersions(service, clock.Now());
    }
    EXPECT_FALSE(versions.Opinion(1, service, true, clock.Now()).m_only);
  }
}

TEST_F(StreamVersionsTest, EmptyListChangesNothing)
{
  MakeDaemons(7, 3);
  List({ kOne });
  m_now += kStreamLifetime;
  List({});
  List({ kOne });
  EXPECT_EQ(kOne, Find("d2", 5));
}

// Guards against a daemon that has just started and guesses, or refuses what
// it can learn from the others or the store.
TEST_F(StreamVersionsTest, StartedDaemonLearnsTheOnlyVersion)
{
  MakeDaemons(7, 3);
  List({ kOne });
  m_now += kStreamLifetime;
  m_daemons["d2"] = std::make_unique<StreamVersions>(DaemonId("d2"), ZoneId());
  m_daemons["d2"]->SetListed(kService, { kOne }, m_now);
  EXPECT_FALSE(Find("d2", 5)); // it knows no other daemon yet
  m_daemons["d2"]->OnOnlyVersion(kService, { kTwo, kStart });
  EXPECT_FALSE(Find("d2", 5));
  m_daemons["d2"]->OnOnlyVersion(kService, { kOne, kStart });
  EXPECT_EQ(kOne, Find("d2", 5));
}

// Guards against issue 44, LOST: streams are refused because another version
// joined while no daemon was running, so that nobody wrote them down.
TEST_F(StreamVersionsTest, VersionBeforeAnotherJoinedIsKnownAfterAStart)
{
  MakeDaemons(6, 3);
  List({ kOne, kTwo });
  m_now += kStreamLifetime;
  for (const auto& [name, daemon] : m_daemons) {
    daemon->OnOnlyVersionAtStart(kService, { kOne, kStart }, m_now);
    daemon->OnSeveralVersions(kService, m_now);
  }
  EXPECT_FALSE(Find("d2", 5)) << "the journal is to be read first";
  EXPECT_TRUE(Poll("d2", 5).AllStateBefore(kOne));
  EXPECT_FALSE(Poll("d2", 5).AllStateBefore(kTwo));
  m_now += kStreamLifetime;
  EXPECT_FALSE(Poll("d2", 5).AllStateBefore(kOne)) << "such streams are over";
}

// Guards against a stream of the new version that goes on at the old one: the
// daemons that had its record were lost, or have started since.
TEST_F(StreamVersionsTest,
       VersionBeforeAnotherJoinedNeedsAllThatMayKnowOtherwise)
{
  MakeDaemons(6, 3);
  List({ kOne, kTwo });
  m_now += kStreamLifetime;
  for (const auto& [name, daemon] : m_daemons) {
    daemon->OnOnlyVersionAtStart(kService, { kOne, kStart }, m_now);
  }
  const std::string keeper = m_daemons["d2"]->Keepers(5).front();
  m_daemons[keeper] =
    std::make_unique<StreamVersions>(DaemonId(keeper), ZoneId());
  m_daemons[keeper]->SetListed(kService, { kOne, kTwo }, m_now);
  m_daemons[keeper]->OnSeveralVersions(kService, m_now);
  EXPECT_FALSE(Poll("d2", 5).AllStateBefore(kOne));
  m_daemons.erase(keeper);
  EXPECT_FALSE(Poll("d2", 5).AllStateBefore(kOne));
}

// Guards against the same with a record that is younger than streams may be.
TEST_F(StreamVersionsTest, YoungRecordSaysNothingOfOlderStreams)
{
  MakeDaemons(3, 3);
  List({ kOne, kTwo });
  m_daemons["d0"]->OnOnlyVersionAtStart(
    kService, { kOne, m_now - kStreamLifetime + Duration(1) }, m_now);
  EXPECT_FALSE(m_daemons["d0"]->Opinion(5, kService, true, m_now).m_before);
}

TEST_F(StreamVersionsTest, StreamsAreForgotten)
{
  MakeDaemons(3, 3);
  List({ kOne, kTwo });
  m_daemons["d1"]->OnBegun(1, kService, kOne, m_now);
  Deliver();
  m_now += kStreamLifetime + Duration(1);
  for (const auto& [name, daemon] : m_daemons) {
    daemon->DropExpired(m_now);
  }
  EXPECT_FALSE(Find("d2", 1));
}

} // namespace
} // namespace walnutwing
