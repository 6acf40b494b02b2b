#include "router/topic_follower.h"

#include <gtest/gtest.h>

namespace walnutwing::router {
namespace {

using std::chrono::milliseconds;

constexpr FollowerOptions kOptions{ milliseconds(900), milliseconds(400) };

std::string
NewestPageJson(const std::string& aKeys, int aEnd, bool aHasMore = false)
{
  std::string items;
  for (const char key : aKeys) {
    items += items.empty() ? "" : ",";
    items +=
      std::string(R"({"key":")") + key + R"(","value":"dg==","offset":1})";
  }
  return R"({"items":[)" + items + R"(],"hasMore":)" +
         (aHasMore ? "true" : "false") + R"(,"endOffset":)" +
         std::to_string(aEnd) + "}";
}

std::string
EncodeRecords(const std::string& aKeys)
{
  std::string bytes(16, '\0');
  for (const char key : aKeys) {
    bytes += std::string({ 0, 0, 0, 3, 1, key, 'v' });
  }
  return bytes;
}

std::string
KeysOf(const TopicUpdate& aUpdate)
{
  std::string keys;
  for (const auto& record : aUpdate.m_records) {
    keys += record.m_key;
  }
  return keys;
}

TEST(TopicFollower, TailsFromEndOffsetOfFirstPage)
{
  TopicFollower follower("t", kOptions);
  EXPECT_EQ("/api/log-newest?topic=t&part=0", follower.NextCall().m_target);
  EXPECT_FALSE(
    follower.OnResponse(200, NewestPageJson("ab", 7, true)).m_isSnapshot);
  EXPECT_EQ("/api/log-newest?topic=t&part=0&after=b",
            follower.NextCall().m_target);
  const TopicUpdate update = follower.OnResponse(200, NewestPageJson("c", 9));
  EXPECT_TRUE(update.m_isSnapshot);
  EXPECT_EQ("abc", KeysOf(update));
  EXPECT_EQ(7U, follower.Next());
  EXPECT_EQ(milliseconds(400), follower.Delay());
  EXPECT_NE(std::string::npos,
            follower.NextCall().m_target.find("from=7&maxKb=1024&waitMs=900"));
  EXPECT_EQ("cd", KeysOf(follower.OnResponse(200, EncodeRecords("cd"))));
  EXPECT_EQ(9U, follower.Next());
}

// Guards against records that are skipped, or read twice as others, after the
// store was restored from an older copy and gave their offsets out again.
TEST(TopicFollower, NewEraDropsOffsetAndResponse)
{
  TopicFollower follower("t", kOptions);
  EXPECT_FALSE(follower.OnResponse(200, NewestPageJson("a", 9), 4).m_eraChange);
  EXPECT_EQ(9U, follower.Next());
  const TopicUpdate update = follower.OnResponse(200, EncodeRecords("b"), 5);
  ASSERT_TRUE(update.m_eraChange);
  EXPECT_EQ(4U, update.m_eraChange->m_before);
  EXPECT_EQ(5U, update.m_eraChange->m_era);
  EXPECT_EQ(9U, update.m_eraChange->m_droppedOffset);
  EXPECT_TRUE(update.m_records.empty());
  EXPECT_FALSE(follower.IsTailing());
  EXPECT_EQ(milliseconds(0), follower.Delay());
  EXPECT_EQ("/api/log-newest?topic=t&part=0", follower.NextCall().m_target);
  EXPECT_TRUE(follower.OnResponse(200, NewestPageJson("c", 3), 5).m_isSnapshot);
  EXPECT_EQ(3U, follower.Next());
  EXPECT_FALSE(follower.OnResponse(200, EncodeRecords("d")).m_eraChange);
}

TEST(TopicFollower, RefetchesNewestWhenOffsetIsGone)
{
  TopicFollower follower("t", kOptions);
  follower.OnResponse(200, NewestPageJson("a", 1));
  EXPECT_TRUE(follower.OnResponse(410, R"({"firstOffset":50})").m_succeeded);
  EXPECT_FALSE(follower.IsTailing());
  EXPECT_EQ(Duration::zero(), follower.Delay());
  EXPECT_TRUE(follower.OnResponse(200, NewestPageJson("b", 60)).m_isSnapshot);
  EXPECT_EQ(60U, follower.Next());
}

// After any kind of failure the retry delay doubles up to its maximum, and
// reads do not wait for records. A read that waited would delay the detection
// that the store is available again (CONFIG, hamasaki trouble-3 --seed
// 13953440444).
TEST(TopicFollower, RetriesWithBoundedBackoffWhileStoreFails)
{
  TopicFollower follower("t", kOptions);
  follower.OnResponse(200, NewestPageJson("a", 1));
  EXPECT_EQ(milliseconds(900), follower.CallWait());
  const int statuses[] = { 0, 503, 429, 500, 200 }; // the last body is invalid
  const int delays[] = { 150, 300, 500, 500, 500 };
  for (int i = 0; i < 5; ++i) {
    EXPECT_FALSE(follower.OnResponse(statuses[i], "x").m_succeeded);
    EXPECT_EQ(milliseconds(delays[i]), follower.Delay());
    EXPECT_EQ(Duration::zero(), follower.CallWait());
    EXPECT_EQ(1U, follower.Next());
  }
  EXPECT_TRUE(follower.OnResponse(200, EncodeRecords("b")).m_succeeded);
  EXPECT_EQ(milliseconds(900), follower.CallWait());
}

// Many versions of a large configuration are written during an outage. Over a
// slow link, reading all of them takes longer than the time limit for a
// configuration (CONFIG, grown vpm scale-1 --seed 3457800906).
TEST(TopicFollower, RefetchesNewestAfterFailureIfConfigured)
{
  FollowerOptions options = kOptions;
  options.m_newestAfterFailure = true;
  TopicFollower follower("t", options);
  follower.OnResponse(200, NewestPageJson("a", 1));
  EXPECT_TRUE(follower.IsTailing());
  follower.OnResponse(0, "");
  EXPECT_EQ("/api/log-newest?topic=t&part=0", follower.NextCall().m_target);
  EXPECT_TRUE(follower.OnResponse(200, NewestPageJson("b", 90)).m_isSnapshot);
  EXPECT_EQ(90U, follower.Next());
}

TEST(TopicFollower, RefetchesFromFirstPageAfterFailedPage)
{
  TopicFollower follower("t", kOptions);
  follower.OnResponse(200, NewestPageJson("a", 5, true));
  follower.OnResponse(0, "");
  EXPECT_EQ("/api/log-newest?topic=t&part=0", follower.NextCall().m_target);
  EXPECT_EQ("b", KeysOf(follower.OnResponse(200, NewestPageJson("b", 8))));
  EXPECT_EQ(8U, follower.Next());
}

// A peer forwards records while a read is in flight. The read returns them as
// well, and applying them again would overwrite newer ones.
TEST(TopicFollower, SkipsRecordsForwardedByPeer)
{
  TopicFollower follower("t", kOptions);
  follower.OnResponse(200, NewestPageJson("", 10));
  follower.NextCall();
  follower.AdvanceTo(12);
  EXPECT_EQ("c", KeysOf(follower.OnResponse(200, EncodeRecords("abc"))));
  EXPECT_EQ(13U, follower.Next());
  follower.NextCall();
  follower.AdvanceTo(20);
  EXPECT_EQ("", KeysOf(follower.OnResponse(200, EncodeRecords("de"))));
  EXPECT_EQ(20U, follower.Next());
}

TEST(TopicFollower, MissingTopicIsEmptySnapshot)
{
  TopicFollower follower("t", kOptions);
  const TopicUpdate update = follower.OnResponse(404, "");
  EXPECT_TRUE(update.m_succeeded);
  EXPECT_TRUE(update.m_isSnapshot);
  EXPECT_EQ(milliseconds(400), follower.Delay());
}

} // namespace
} // namespace walnutwing::router
