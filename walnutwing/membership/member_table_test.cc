#include "walnutwing/membership/member_table.h"

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

using State = proto::MemberState;

State
Word(std::uint64_t aIncarnation,
     std::uint32_t aRefutation,
     State::Status aStatus)
{
  State word;
  word.set_daemon("entry-1");
  word.set_zone("a");
  word.set_incarnation(aIncarnation);
  word.set_refutation(aRefutation);
  word.set_status(aStatus);
  return word;
}

TEST(Supersedes, FollowsTheOrderOfTheTable)
{
  // Each word supersedes all before it.
  const std::vector<State> ascending = {
    Word(0, 0, State::ALIVE),   Word(5, 0, State::ALIVE),
    Word(5, 0, State::SUSPECT), Word(5, 0, State::LEAVING),
    Word(5, 0, State::DEAD),    Word(5, 1, State::ALIVE),
    Word(5, 1, State::DEAD),    Word(6, 0, State::ALIVE),
  };
  for (std::size_t i = 0; i < ascending.size(); ++i) {
    for (std::size_t j = 0; j < ascending.size(); ++j) {
      EXPECT_EQ(i > j, Supersedes(ascending[i], ascending[j])) << i << ' ' << j;
    }
  }
}

TEST(MemberTable, TheOrderOfWordsDoesNotMatter)
{
  for (std::uint64_t seed = 0; seed < 500; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<State> words;
    State largest;
    for (int i = 0; i < 20; ++i) {
      words.push_back(Word(1 + random() % 3,
                           static_cast<std::uint32_t>(random() % 3),
                           static_cast<State::Status>(random() % 4)));
      largest = Supersedes(words.back(), largest) ? words.back() : largest;
    }
    std::shuffle(words.begin(), words.end(), random);
    MemberTable table({}, 2);
    for (const State& word : words) {
      table.Merge(word, Time{});
    }
    const Member& member = *table.Find(DaemonId("entry-1"));
    ASSERT_EQ(largest.SerializeAsString(), member.m_state.SerializeAsString())
      << "seed " << seed;
    ViewDigest digest;
    digest.Toggle("entry-1", ViewDigest::HashOf(largest));
    ASSERT_EQ(digest.Whole(), table.Digest().Whole());
  }
}

TEST(MemberTable, AShortWordAddsNoMemberAndKeepsThePlace)
{
  MemberTable table({}, 2);
  State shortWord = Word(5, 0, State::DEAD);
  shortWord.clear_zone();
  EXPECT_EQ(MergeResult::Nothing, table.Merge(shortWord, Time{}));
  EXPECT_EQ(MergeResult::Changed,
            table.Merge(Word(5, 0, State::ALIVE), Time{}));
  EXPECT_EQ(MergeResult::Changed, table.Merge(shortWord, Time{}));
  EXPECT_EQ("a", table.Find(DaemonId("entry-1"))->m_state.zone());
}

TEST(MemberTable, ALostRelayIsReplacedAndTheOthersStay)
{
  MemberTable table({}, 3);
  for (int i = 0; i < 20; ++i) {
    State word = Word(1, 0, State::ALIVE);
    word.set_daemon("entry-" + std::to_string(i));
    table.Merge(word, Time{});
  }
  const std::vector<DaemonId> before = table.RelaysOf(ZoneId("a"));
  ASSERT_EQ(3U, before.size());
  State dead = Word(1, 0, State::DEAD);
  dead.set_daemon(before[1].Value());
  table.Merge(dead, Time{});
  const std::vector<DaemonId> after = table.RelaysOf(ZoneId("a"));
  ASSERT_EQ(3U, after.size());
  EXPECT_EQ(before[0], after[0]);
  EXPECT_EQ(before[2], after[1]);
}

} // namespace
} // namespace walnutwing
