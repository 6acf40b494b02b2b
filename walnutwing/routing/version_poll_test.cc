#include "walnutwing/routing/version_poll.h"

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

const SoftwareVersion kOne("v1");
const SoftwareVersion kTwo("v2");

VersionOpinion
Recorded(const SoftwareVersion& aVersion)
{
  return { aVersion, std::nullopt, true };
}

VersionOpinion
Only(const SoftwareVersion& aVersion, bool aFresh)
{
  return { std::nullopt, aVersion, aFresh };
}

TEST(VersionPoll, RecordDecidesAtOnce)
{
  VersionPoll poll({}, 3);
  EXPECT_FALSE(poll.IsDecided());
  poll.Add(Only(kTwo, false));
  EXPECT_FALSE(poll.IsDecided());
  poll.Add(Recorded(kOne));
  EXPECT_TRUE(poll.IsDecided());
  EXPECT_EQ(kOne, poll.Result());
}

TEST(VersionPoll, OnlyVersionOfAnUpToDateListCounts)
{
  VersionPoll own(Only(kOne, true), 1);
  own.Add({});
  EXPECT_TRUE(own.IsDecided());
  EXPECT_EQ(kOne, own.Result());
  VersionPoll poll({}, 2);
  poll.Add(Only(kOne, true));
  poll.Add({});
  EXPECT_EQ(kOne, poll.Result());
}

// Guards against issue 41: a daemon out of step takes its own list, which
// counts as up to date, for proof, although a daemon that would have a record
// of the stream has not answered.
TEST(VersionPoll, OnlyVersionDoesNotCountWhileAnAnswerIsMissing)
{
  VersionPoll poll(Only(kOne, true), 2);
  EXPECT_FALSE(poll.IsDecided());
  EXPECT_FALSE(poll.Result());
  poll.Add(Only(kOne, true));
  EXPECT_FALSE(poll.IsDecided());
  EXPECT_FALSE(poll.Result());
}

// Guards against a daemon that knows no other one and has an old list.
TEST(VersionPoll, OldListOfADaemonWithNobodyToAskDoesNotCount)
{
  EXPECT_FALSE(VersionPoll(Only(kOne, false), 0).Result());
  EXPECT_EQ(kOne, VersionPoll(Only(kOne, true), 0).Result());
}

// Guards against a daemon without the store that takes its old list for true,
// although another one knows of a second version or is silent.
TEST(VersionPoll, OnlyVersionOfOldListsCountsIfAllAgree)
{
  VersionPoll poll(Only(kOne, false), 2);
  poll.Add(Only(kOne, false));
  EXPECT_FALSE(poll.Result()); // one is silent
  poll.Add(Only(kOne, false));
  EXPECT_EQ(kOne, poll.Result());

  VersionPoll doubted(Only(kOne, false), 1);
  doubted.Add({});
  EXPECT_TRUE(doubted.IsDecided());
  EXPECT_FALSE(doubted.Result());
}

TEST(VersionPoll, ContradictionIsNoAnswer)
{
  VersionPoll poll(Only(kOne, true), 1);
  poll.Add(Only(kTwo, true));
  EXPECT_FALSE(poll.Result());
}

TEST(VersionPoll, NobodyToAskAndNothingKnown)
{
  const VersionPoll poll({}, 0);
  EXPECT_TRUE(poll.IsDecided());
  EXPECT_FALSE(poll.Result());
}

// Guards against a log line that leaves open why a stream was refused
// (review/10).
TEST(VersionPoll, FindingTellsWhatTheVersionWasTakenFrom)
{
  VersionPoll poll({}, 3);
  poll.Add({});
  EXPECT_EQ(VersionSource::None, poll.Finding().m_source);
  EXPECT_EQ(3U, poll.Finding().m_asked);
  EXPECT_EQ(1U, poll.Finding().m_answered);
  poll.Add(Recorded(kOne));
  EXPECT_EQ(VersionSource::Record, poll.Finding().m_source);
  EXPECT_EQ(kOne, poll.Finding().m_version);
  EXPECT_EQ(VersionSource::OnlyVersion,
            VersionPoll(Only(kOne, true), 0).Finding().m_source);
}

} // namespace
} // namespace walnutwing
