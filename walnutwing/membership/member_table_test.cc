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
MakeUpdate(std::uint64_t aIncarnation,
           std::uint32_t aRefutation,
           State::Status aStatus)
{
  State update;
  update.set_daemon("entry-1");
  update.set_zone("a");
  update.set_incarnation(aIncarnation);
  update.set_refutation(aRefutation);
  update.set_status(aStatus);
  return update;
}

TEST(Supersedes, OrdersByIncarnationRefutationThenStatus)
{
  // Each update supersedes all those before it.
  const std::vector<State> ascending = {
    MakeUpdate(0, 0, State::ALIVE),   MakeUpdate(5, 0, State::ALIVE),
    MakeUpdate(5, 0, State::SUSPECT), MakeUpdate(5, 0, State::LEAVING),
    MakeUpdate(5, 0, State::DEAD),    MakeUpdate(5, 1, State::ALIVE),
    MakeUpdate(5, 1, State::DEAD),    MakeUpdate(6, 0, State::ALIVE),
  };
  for (std::size_t i = 0; i < ascending.size(); ++i) {
    for (std::size_t j = 0; j < ascending.size(); ++j) {
      EXPECT_EQ(i > j, Supersedes(ascending[i], ascending[j])) << i << ' ' << j;
    }
  }
}

TEST(MemberTable, MergedStateIsIndependentOfUpdateOrder)
{
  for (std::uint64_t seed = 0; seed < 500; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<State> updates;
    State largest;
    for (int i = 0; i < 20; ++i) {
      updates.push_back(MakeUpdate(1 + random() % 3,
                                   static_cast<std::uint32_t>(random() % 3),
                                   static_cast<State::Status>(random() % 4)));
      largest = Supersedes(updates.back(), largest) ? updates.back() : largest;
    }
    std::shuffle(updates.begin(), updates.end(), random);
    MemberTable table({}, 2);
    for (const State& update : updates) {
      table.Merge(update, Time{});
    }
    const Member& member = *table.Find(DaemonId("entry-1"));
    ASSERT_EQ(largest.SerializeAsString(), member.m_state.SerializeAsString())
      << "seed " << seed;
    ViewDigest digest;
    digest.Toggle("entry-1", ViewDigest::HashOf(largest));
    ASSERT_EQ(digest.Combined(), table.Digest().Combined());
  }
}

TEST(MemberTable, CompactUpdateAddsNoMemberAndKeepsLocation)
{
  MemberTable table({}, 2);
  State compactUpdate = MakeUpdate(5, 0, State::DEAD);
  compactUpdate.clear_zone();
  EXPECT_EQ(MergeResult::Nothing, table.Merge(compactUpdate, Time{}));
  EXPECT_EQ(MergeResult::Changed,
            table.Merge(MakeUpdate(5, 0, State::ALIVE), Time{}));
  EXPECT_EQ(MergeResult::Changed, table.Merge(compactUpdate, Time{}));
  EXPECT_EQ("a", table.Find(DaemonId("entry-1"))->m_state.zone());
}

TEST(MemberTable, DeadRelayIsReplacedAndOtherRelaysStay)
{
  MemberTable table({}, 3);
  for (int i = 0; i < 20; ++i) {
    State update = MakeUpdate(1, 0, State::ALIVE);
    update.set_daemon("entry-" + std::to_string(i));
    table.Merge(update, Time{});
  }
  const std::vector<DaemonId> before = table.RelaysOf(ZoneId("a"));
  ASSERT_EQ(3U, before.size());
  State dead = MakeUpdate(1, 0, State::DEAD);
  dead.set_daemon(before[1].Value());
  table.Merge(dead, Time{});
  const std::vector<DaemonId> after = table.RelaysOf(ZoneId("a"));
  ASSERT_EQ(3U, after.size());
  EXPECT_EQ(before[0], after[0]);
  EXPECT_EQ(before[2], after[1]);
}

} // namespace
} // namespace walnutwing
