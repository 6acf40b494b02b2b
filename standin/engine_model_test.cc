// Batching, slots, cold start, the lagging load report and the prefix cache,
// with a paused clock.

#include "standin/engine_model.h"

#include <algorithm>
#include <map>
#include <random>

#include <gtest/gtest.h>

namespace walnutwing::standin {
namespace {

EngineJob
MakeJob(JobId aId, std::size_t aLength, std::string aChat = "")
{
  EngineJob job;
  job.m_id = aId;
  job.m_tokenCount = aLength;
  job.m_chat = std::move(aChat);
  return job;
}

SubmitResult
SubmitJob(EngineModel& aModel, EngineJob aJob, Time aNow)
{
  bool cached = false;
  return aModel.Submit(std::move(aJob), aNow, cached);
}

TEST(EngineModel, YieldsEachJobsTokensInOrderOnce)
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    std::mt19937_64 random(seed);
    PausedClock clock;
    EngineOptions options;
    options.m_slots = 3;
    options.m_queueLimit = 5;
    EngineModel model(options, seed, clock.Now());
    std::map<JobId, std::size_t> lengths;
    std::map<JobId, std::size_t> next;
    std::vector<EngineOutput> outputs;
    for (JobId id = 1; id <= 100; ++id) {
      const std::size_t length = random() % 10;
      if (SubmitJob(model, MakeJob(id, length), clock.Now()) ==
          SubmitResult::Accepted) {
        lengths[id] = length;
      }
      if (random() % 8 == 0 && !lengths.empty()) {
        model.Cancel(lengths.rbegin()->first, clock.Now());
        next.erase(lengths.rbegin()->first);
        lengths.erase(lengths.rbegin()->first);
      }
      clock.Advance(Duration(random() % 40));
      outputs.clear();
      model.Step(clock.Now(), outputs);
      ASSERT_LE(std::count_if(outputs.begin(),
                              outputs.end(),
                              [](const EngineOutput& aOutput) {
                                return !aOutput.m_finished;
                              }),
                static_cast<std::ptrdiff_t>(options.m_slots));
      for (const EngineOutput& output : outputs) {
        ASSERT_TRUE(lengths.contains(output.m_job)) << "seed " << seed;
        ASSERT_EQ(output.m_token, next[output.m_job]) << "seed " << seed;
        next[output.m_job] += output.m_finished ? 0 : 1;
        ASSERT_EQ(output.m_finished &&
                    next[output.m_job] != lengths[output.m_job],
                  false);
        if (output.m_finished) {
          lengths.erase(output.m_job);
        }
      }
    }
    for (int i = 0; i < 1000 && model.IsBusy(); ++i) {
      clock.Advance(Duration(10));
      model.Step(clock.Now(), outputs);
    }
    EXPECT_FALSE(model.IsBusy()) << "seed " << seed;
  }
}

TEST(EngineModel, RefusesJobsBeyondColdSlotsOrQueueLimit)
{
  PausedClock clock;
  EngineOptions options;
  options.m_slots = 2;
  options.m_queueLimit = 1;
  options.m_coldTime = Duration(1000);
  EngineModel model(options, 1, clock.Now());
  EXPECT_EQ(SubmitJob(model, MakeJob(1, 500), clock.Now()),
            SubmitResult::Accepted);
  EXPECT_EQ(SubmitJob(model, MakeJob(2, 500), clock.Now()),
            SubmitResult::RefusedCold);
  clock.Advance(Duration(1000));
  EXPECT_EQ(SubmitJob(model, MakeJob(2, 500), clock.Now()),
            SubmitResult::Accepted);
  EXPECT_EQ(SubmitJob(model, MakeJob(3, 500), clock.Now()),
            SubmitResult::Accepted);
  EXPECT_EQ(SubmitJob(model, MakeJob(4, 500), clock.Now()),
            SubmitResult::RefusedFull);
  model.TurnCold(Duration(10), clock.Now());
  EXPECT_EQ(SubmitJob(model, MakeJob(5, 500), clock.Now()),
            SubmitResult::RefusedCold);
  EXPECT_EQ(model.Stats().m_peakColdJobs, 1U);
  EXPECT_EQ(model.Stats().m_peakJobs, 3U);
}

TEST(EngineModel, StepTimeGrowsWithBatchSize)
{
  PausedClock clock;
  EngineOptions options;
  options.m_stepMicrosPerJob = 1000;
  options.m_prefillTime = Duration(0);
  const auto stepTimeWith = [&](std::size_t aJobs) {
    EngineModel model(options, 1, clock.Now());
    for (JobId id = 1; id <= aJobs; ++id) {
      SubmitJob(model, MakeJob(id, 100), clock.Now());
    }
    std::vector<EngineOutput> outputs;
    model.Step(clock.Now(), outputs);
    EXPECT_EQ(outputs.size(), aJobs);
    return model.NextStepTime() - clock.Now();
  };
  EXPECT_EQ(stepTimeWith(1), Duration(6));
  EXPECT_EQ(stepTimeWith(8), Duration(13));
}

TEST(EngineModel, ServesWaitingJobsByPriority)
{
  PausedClock clock;
  EngineOptions options;
  options.m_slots = 1;
  options.m_prefillTime = Duration(0);
  EngineModel model(options, 1, clock.Now());
  for (const std::int64_t priority : { 0, 5, 1, 5, 0 }) {
    EngineJob job =
      MakeJob(static_cast<JobId>(model.Stats().m_accepted + 1), 1);
    job.m_priority = priority;
    SubmitJob(model, job, clock.Now());
  }
  std::vector<EngineOutput> outputs;
  for (int i = 0; i < 10; ++i) {
    model.Step(clock.Now(), outputs);
    clock.Advance(Duration(10));
  }
  std::vector<JobId> finished;
  for (const EngineOutput& output : outputs) {
    if (output.m_finished) {
      finished.push_back(output.m_job);
    }
  }
  EXPECT_EQ(finished, (std::vector<JobId>{ 1, 5, 3, 2, 4 }));
}

TEST(EngineModel, LoadReportLagsBehindTheState)
{
  PausedClock clock;
  EngineModel model({}, 1, clock.Now());
  SubmitJob(model, MakeJob(1, 5), clock.Now());
  EXPECT_EQ(model.Load(clock.Now()).m_running, 0U);
  clock.Advance(Duration(500));
  EXPECT_EQ(model.Load(clock.Now()).m_running, 1U);
  model.Cancel(1, clock.Now());
  EXPECT_EQ(model.Load(clock.Now()).m_running, 1U);
  clock.Advance(Duration(500));
  EXPECT_EQ(model.Load(clock.Now()).m_running, 0U);
}

TEST(PrefixCache, MatchesAReferenceCache)
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    std::mt19937_64 random(seed);
    PrefixCache cache({ 4, Duration(100), 30, 1000 }, seed);
    std::vector<std::string> reference; // most recently used last
    const PausedClock clock;
    for (int i = 0; i < 200; ++i) {
      const std::string chat = std::to_string(random() % 9);
      const bool held = std::erase(reference, chat) != 0;
      reference.push_back(chat);
      if (reference.size() > 4) {
        reference.erase(reference.begin());
      }
      ASSERT_EQ(cache.Use(chat, clock.Now()), held) << "seed " << seed;
    }
    EXPECT_TRUE(cache.Events(0, clock.Now()).empty());
    const auto events = cache.Events(0, clock.Now() + Duration(100));
    ASSERT_FALSE(events.empty());
    EXPECT_LT(events.size(), events.back().m_sequence) << "no gaps";
  }
}

} // namespace
} // namespace walnutwing::standin
