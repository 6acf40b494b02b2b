#include "walnutwing/routing/upstream_directory.h"

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

using std::chrono::milliseconds;

constexpr Duration kReregistrationTime = milliseconds(2300);

UpstreamEntry
MakeEntry(const std::string& aId)
{
  UpstreamEntry entry;
  entry.m_id = UpstreamId(aId);
  entry.m_service = ServiceId("s");
  entry.m_address = "10.0.0.1:80";
  entry.m_startWallMs = 1;
  return entry;
}

class UpstreamDirectoryTest : public testing::Test
{
protected:
  Time Now() const { return m_clock.Now(); }
  UpstreamChange Register(const UpstreamEntry& aEntry)
  {
    return m_directory.OnEntry(aEntry, Now());
  }
  UpstreamChange Remove(const char* aId)
  {
    return m_directory.OnRemoved(UpstreamId(aId), Now());
  }

  PausedClock m_clock;
  UpstreamDirectory m_directory{ kReregistrationTime };
};

TEST_F(UpstreamDirectoryTest, OnEntryReturnsWhatChanged)
{
  UpstreamEntry entry = MakeEntry("e1");
  EXPECT_EQ(UpstreamChange::Added, Register(entry));
  EXPECT_EQ(UpstreamChange::None, Register(entry));
  entry.m_draining = true;
  EXPECT_EQ(UpstreamChange::Updated, Register(entry));
  entry.m_draining = false;
  entry.m_startWallMs = 2; // restarted with the same id
  EXPECT_EQ(UpstreamChange::Added, Register(entry));
  entry.m_coldRemaining = milliseconds(3000); // cold again without a restart
  EXPECT_EQ(UpstreamChange::Updated, Register(entry));
  m_clock.Advance(milliseconds(1200));
  entry.m_coldRemaining = milliseconds(1800); // counts down
  EXPECT_EQ(UpstreamChange::None, Register(entry));
}

// Guards against upstreams that have left and come back with an older copy of
// the store, and upstreams that it lacks being dropped although they run.
TEST_F(UpstreamDirectoryTest, RestoredListIsNotTakenForNews)
{
  UpstreamEntry left = MakeEntry("left");
  Register(left);
  left.m_draining = true;
  Register(left);
  Remove("left");
  UpstreamEntry draining = MakeEntry("draining");
  draining.m_draining = true;
  Register(draining);
  Register(MakeEntry("new"));
  UpstreamEntry restarted = MakeEntry("restarted");
  restarted.m_startWallMs = 7;
  Register(restarted);

  m_directory.OnStoreRestored(Now());
  const std::vector<UpstreamEntry> older = { MakeEntry("left"),
                                             MakeEntry("draining"),
                                             MakeEntry("restarted"),
                                             MakeEntry("gone") };
  m_directory.OnList(older, Now());
  const auto known = [&](const char* aId) {
    return m_directory.Find(UpstreamId(aId));
  };
  EXPECT_TRUE(known("left")->m_entry.m_draining);
  EXPECT_TRUE(known("draining")->m_entry.m_draining);
  EXPECT_EQ(7, known("restarted")->m_entry.m_startWallMs);
  EXPECT_TRUE(known("gone")->m_suspect);
  EXPECT_TRUE(known("new")->m_suspect);

  Register(MakeEntry("new")); // it runs and writes again
  EXPECT_FALSE(known("new")->m_suspect);
  m_clock.Advance(kReregistrationTime);
  m_directory.OnTick(Now());
  EXPECT_EQ(nullptr, known("gone"));
  EXPECT_NE(nullptr, known("new"));
}

// An upstream says in its answers that it leaves, before its registration does.
TEST_F(UpstreamDirectoryTest, LeavingIncarnationStaysLeaving)
{
  Register(MakeEntry("e1"));
  EXPECT_EQ(UpstreamChange::None, m_directory.OnLeaving(UpstreamId("e1"), 0));
  EXPECT_EQ(UpstreamChange::Updated,
            m_directory.OnLeaving(UpstreamId("e1"), 1));
  EXPECT_EQ(UpstreamChange::None, m_directory.OnLeaving(UpstreamId("e1"), 1));
  Register(MakeEntry("e1")); // its registration says nothing yet
  EXPECT_TRUE(m_directory.Find(UpstreamId("e1"))->m_entry.m_draining);
  UpstreamEntry next = MakeEntry("e1");
  next.m_startWallMs = 2;
  EXPECT_EQ(UpstreamChange::Added, Register(next));
  EXPECT_FALSE(m_directory.Find(UpstreamId("e1"))->m_entry.m_draining);
}

TEST_F(UpstreamDirectoryTest, RemovesAtOnceWhileTheStoreIsAvailable)
{
  Register(MakeEntry("e1"));
  EXPECT_EQ(UpstreamChange::Removed, Remove("e1"));
  EXPECT_EQ(nullptr, m_directory.Find(UpstreamId("e1")));
  EXPECT_EQ(UpstreamChange::None, Remove("e1"));
}

// The store loses registrations during an outage; running upstreams register
// again within the reregistration time.
TEST_F(UpstreamDirectoryTest,
       RemovedAfterAStoreOutageStaysSuspectForTheReregistrationTime)
{
  Register(MakeEntry("lives"));
  Register(MakeEntry("gone"));
  m_directory.OnStoreUnavailable(Now());
  m_clock.Advance(milliseconds(5000));
  m_directory.OnStoreAvailable(Now());
  EXPECT_EQ(UpstreamChange::Suspected, Remove("lives"));
  EXPECT_EQ(UpstreamChange::Suspected, Remove("gone"));
  m_clock.Advance(kReregistrationTime - milliseconds(1));
  EXPECT_TRUE(m_directory.OnTick(Now()).empty());
  EXPECT_EQ(UpstreamChange::Updated, Register(MakeEntry("lives")));
  m_clock.Advance(milliseconds(1));
  EXPECT_EQ(std::vector{ UpstreamId("gone") }, m_directory.OnTick(Now()));
  EXPECT_NE(nullptr, m_directory.Find(UpstreamId("lives")));
}

TEST_F(UpstreamDirectoryTest, SuspectDoesNotExpireWhileTheStoreIsUnavailable)
{
  Register(MakeEntry("e1"));
  m_directory.OnStoreUnavailable(Now());
  Remove("e1");
  m_clock.Advance(10 * kReregistrationTime);
  EXPECT_TRUE(m_directory.OnTick(Now()).empty());
  m_directory.OnStoreAvailable(Now());
  EXPECT_TRUE(m_directory.OnTick(Now()).empty());
  m_clock.Advance(kReregistrationTime);
  EXPECT_EQ(1U, m_directory.OnTick(Now()).size());
}

TEST_F(UpstreamDirectoryTest, OnListRemovesUpstreamsMissingFromTheList)
{
  Register(MakeEntry("e1"));
  Register(MakeEntry("e2"));
  const auto changes =
    m_directory.OnList({ MakeEntry("e2"), MakeEntry("e3") }, Now());
  const std::vector<std::pair<UpstreamId, UpstreamChange>> expected = {
    { UpstreamId("e3"), UpstreamChange::Added },
    { UpstreamId("e1"), UpstreamChange::Removed }
  };
  EXPECT_EQ(expected, changes);
}

} // namespace
} // namespace walnutwing
