// Step times, prompt caching, admission and memory of TokenEngine.

#include "standin/token_engine.h"

#include <map>
#include <random>

#include <gtest/gtest.h>

namespace walnutwing::standin {
namespace {

constexpr PromptPart kCommonPart{ 1, 1000 };

TokenJob
MakeJob(std::uint64_t aId,
        std::vector<PromptPart> aParts,
        std::uint32_t aUniqueTokens,
        std::uint32_t aAnswerTokens)
{
  return { aId, std::move(aParts), aUniqueTokens, aAnswerTokens, 0 };
}

// Runs the engine until it is idle and returns the time of each job's first
// token.
std::map<std::uint64_t, double>
RunAndCollectFirstTokenTimes(TokenEngine& aEngine)
{
  std::map<std::uint64_t, double> first;
  while (aEngine.IsBusy()) {
    const double at = aEngine.NextStepMs();
    for (const TokenOutput& output : aEngine.Step()) {
      if (output.m_event == TokenEvent::First) {
        first[output.m_id] = at;
      }
    }
  }
  return first;
}

TEST(TokenEngine, DurationCoversPromptReadingAndOneStepPerToken)
{
  TokenEngine engine({});
  ASSERT_TRUE(engine.Submit(MakeJob(1, { kCommonPart }, 0, 10), 0));
  // One step: 3.03 ms, and 10 ms to read 1,000 tokens.
  EXPECT_DOUBLE_EQ(13.03, engine.NextStepMs());
  EXPECT_DOUBLE_EQ(13.03, RunAndCollectFirstTokenTimes(engine).at(1));
  EXPECT_NEAR(13.03 + 9 * 3.03, engine.NextStepMs() - 3.0, 1e-9);
}

TEST(TokenEngine, CachedPartIsNotReadAgain)
{
  TokenEngine engine({});
  engine.Submit(MakeJob(1, { kCommonPart }, 100, 1), 0);
  RunAndCollectFirstTokenTimes(engine);
  EXPECT_TRUE(engine.IsCached(kCommonPart.m_key));
  EXPECT_EQ(1100U, engine.ReadTokens());
  engine.Submit(MakeJob(2, { kCommonPart }, 100, 1), 1000);
  EXPECT_NEAR(1004.03, RunAndCollectFirstTokenTimes(engine).at(2), 1e-9);
  EXPECT_EQ(1200U, engine.ReadTokens());
  EXPECT_EQ(1000U, engine.CacheHitTokens());
  // A part after one that is not cached has to be read again.
  engine.Submit(MakeJob(3, { { 9, 50 }, kCommonPart }, 0, 1), 2000);
  RunAndCollectFirstTokenTimes(engine);
  EXPECT_EQ(2250U, engine.ReadTokens());
}

TEST(TokenEngine, LongPromptDelaysOtherJobsByOneChunkPerStep)
{
  TokenEngine engine({});
  engine.Submit(MakeJob(1, {}, 1, 1000), 0);
  engine.Step();
  engine.Submit(MakeJob(2, {}, 20'480, 1), 5);
  engine.Step(); // admits job 2
  const double before = engine.NextStepMs();
  engine.Step();
  EXPECT_NEAR(3.06 + 10.24, engine.NextStepMs() - before, 1e-9);
}

TEST(TokenEngine, QueuesBeyondBatchLimitAndRefusesBeyondQueueLimit)
{
  TokenEngineOptions options;
  options.m_batchLimit = 2;
  options.m_queueLimit = 1;
  TokenEngine engine(options);
  EXPECT_TRUE(engine.Submit(MakeJob(1, {}, 1, 5), 0));
  EXPECT_TRUE(engine.Submit(MakeJob(2, {}, 1, 5), 0));
  EXPECT_TRUE(engine.Submit(MakeJob(3, {}, 1, 5), 0));
  engine.Step();
  EXPECT_EQ(2U, engine.RunningCount());
  EXPECT_EQ(1U, engine.WaitingCount());
  EXPECT_FALSE(engine.Submit(MakeJob(4, {}, 1, 5), 1));
  engine.Cancel(3);
  EXPECT_TRUE(engine.Submit(MakeJob(5, {}, 1, 5), 2));
  // Only jobs 2 and 5: job 1 had its first token before.
  EXPECT_EQ(2U, RunAndCollectFirstTokenTimes(engine).size());
}

// With random jobs, memory stays within its limit, parts in use are not
// evicted, and every accepted job ends exactly once.
TEST(TokenEngine, RandomJobsStayWithinMemoryAndFinishOnce)
{
  std::mt19937_64 random(5);
  TokenEngineOptions options;
  options.m_batchLimit = 6;
  options.m_queueLimit = 20;
  options.m_memoryTokens = 9000;
  for (int round = 0; round < 20; ++round) {
    TokenEngine engine(options);
    std::map<std::uint64_t, int> ends;
    double now = 0;
    std::uint64_t accepted = 0;
    for (std::uint64_t id = 1; id < 300; ++id) {
      now += static_cast<double>(random() % 40);
      while (engine.IsBusy() && engine.NextStepMs() <= now) {
        for (const TokenOutput& output : engine.Step()) {
          ends[output.m_id] += output.m_event == TokenEvent::Last ? 1 : 0;
        }
        EXPECT_LE(engine.MemoryTokens(), options.m_memoryTokens);
      }
      const std::uint64_t key = random() % 12;
      const auto own = static_cast<std::uint32_t>(random() % 400);
      accepted +=
        engine.Submit(MakeJob(id, { { key, 600 } }, own, 20), now) ? 1 : 0;
    }
    while (engine.IsBusy()) {
      for (const TokenOutput& output : engine.Step()) {
        ends[output.m_id] += output.m_event == TokenEvent::Last ? 1 : 0;
      }
    }
    std::uint64_t ended = 0;
    for (const auto& [id, count] : ends) {
      EXPECT_LE(count, 1);
      ended += static_cast<std::uint64_t>(count);
    }
    EXPECT_EQ(accepted, ended);
  }
}

} // namespace
} // namespace walnutwing::standin
