// Compares PlatformLog with a reference log that keeps every record and works
// out for each read which ones have not expired.

#include "standin/platform_log.h"

#include <random>

#include <gtest/gtest.h>

#include "standin/token_bucket.h"

namespace walnutwing::standin {
namespace {

constexpr std::size_t kRetentionRecords = 7;
constexpr Duration kRetention{ 1000 };

struct ReferenceLog
{
  std::vector<proto::LogRecord> m_allRecords;

  proto::ReadResponse Read(std::uint64_t aFromOffset,
                           std::size_t aLimit,
                           std::uint64_t aEndOffset,
                           WallTime aNow) const
  {
    const std::int64_t oldest = (aNow - kRetention).time_since_epoch().count();
    const std::uint64_t next = m_allRecords.size() + 1;
    std::uint64_t first = next;
    for (std::uint64_t offset = next - 1; offset >= 1; --offset) {
      if (offset + kRetentionRecords < next ||
          m_allRecords[offset - 1].at_ms() < oldest) {
        break;
      }
      first = offset;
    }
    proto::ReadResponse response;
    response.set_next_offset(std::min(aEndOffset, next));
    response.set_first_offset(std::min(first, response.next_offset()));
    for (const proto::LogRecord& record : m_allRecords) {
      const bool wanted = record.offset() >= std::max(aFromOffset, first) &&
                          record.offset() < response.next_offset();
      if (wanted && static_cast<std::size_t>(response.records_size()) <
                      std::min<std::size_t>(aLimit, 8)) {
        *response.add_records() = record;
      }
    }
    return response;
  }
};

// One random step: time passes, bodies are appended (maybe none), then the log
// is read.
struct LogStep
{
  unsigned m_appendCount;
  unsigned m_fromOffset;
  unsigned m_limit;
  unsigned m_endOffset;
  unsigned m_elapsedMs;
};

LogStep
MakeRandomStep(std::mt19937_64& aRandom)
{
  const auto below = [&](unsigned aBound) {
    return static_cast<unsigned>(aRandom() % aBound);
  };
  return { below(4), below(40), below(10), 1 + below(40), below(400) };
}

TEST(PlatformLog, MatchesAReferenceLog)
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    PlatformLog log({ kRetentionRecords, kRetention, 8 });
    ReferenceLog reference;
    PausedClock clock;
    for (int i = 0; i < 60; ++i) {
      const LogStep step = MakeRandomStep(random);
      clock.Advance(Duration(step.m_elapsedMs));
      const std::vector<std::string> bodies(step.m_appendCount,
                                            std::to_string(i));
      const std::uint64_t next = reference.m_allRecords.size() + 1;
      for (const std::string& body : bodies) {
        proto::LogRecord record;
        record.set_offset(reference.m_allRecords.size() + 1);
        record.set_at_ms(clock.WallNow().time_since_epoch().count());
        record.set_body(body);
        reference.m_allRecords.push_back(record);
      }
      ASSERT_EQ(log.Append("s", bodies, clock.WallNow()), next);
      const proto::ReadResponse expected = reference.Read(
        step.m_fromOffset, step.m_limit, step.m_endOffset, clock.WallNow());
      const proto::ReadResponse actual = log.ReadStale("s",
                                                       step.m_fromOffset,
                                                       step.m_limit,
                                                       step.m_endOffset,
                                                       clock.WallNow());
      ASSERT_EQ(actual.DebugString(), expected.DebugString())
        << "seed " << seed << " step " << i;
    }
  }
}

TEST(PlatformLog, StreamsAreIndependent)
{
  PlatformLog log({});
  const PausedClock clock;
  EXPECT_EQ(log.Append("a", { "1", "2" }, clock.WallNow()), 1U);
  EXPECT_EQ(log.Append("b", { "3" }, clock.WallNow()), 1U);
  EXPECT_EQ(log.Append("a", { "4" }, clock.WallNow()), 3U);
  EXPECT_EQ(log.Read("b", 1, 10, clock.WallNow()).records_size(), 1);
  EXPECT_EQ(log.NextOffset("never written"), 1U);
}

TEST(TokenBucket, AllowsTheRateAndABurstOfOneSecond)
{
  PausedClock clock;
  TokenBucket bucket(10, clock.Now());
  int passed = 0;
  for (int i = 0; i < 100; ++i) { // 2 s
    passed += bucket.Take(clock.Now()) ? 1 : 0;
    clock.Advance(Duration(20));
  }
  EXPECT_GE(passed, 10 + 19);
  EXPECT_LE(passed, 10 + 20);
}

} // namespace
} // namespace walnutwing::standin
