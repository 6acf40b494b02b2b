#ifndef WALNUTWING_STANDIN_ENGINE_MODEL_H_
#define WALNUTWING_STANDIN_ENGINE_MODEL_H_

// A model engine without its network: continuous batching over limited slots, a
// queue by priority, a cold start and a load report that lags. Jobs and the
// time go in; what each step yields comes out.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "standin/prefix_cache.h"
#include "walnutwing/base/clock.h"

namespace walnutwing::standin {

using JobId = std::uint64_t;

struct EngineOptions
{
  std::size_t m_slots = 8;                // jobs that generate at once
  std::size_t m_coldSlots = 1;            // jobs that it bears while cold
  std::size_t m_queueLimit = 64;          // jobs that wait for a slot
  Duration m_coldTime{ 0 };               // how long a cold start lasts
  Duration m_stepTime{ 5 };               // between tokens of a batch of none
  std::uint32_t m_stepMicrosPerJob = 100; // added for each job in the batch
  Duration m_prefillTime{ 20 };           // before the first token
  Duration m_cachedPrefillTime{ 2 };      // the same, with the prefix cached
  Duration m_loadLag{ 500 };
  PrefixCache::Options m_cache;
};

struct EngineJob
{
  JobId m_id = 0;
  std::string m_chat; // empty: nothing to cache
  std::int64_t m_priority = 0;
  std::size_t m_nextToken = 0;  // index of the first token to generate
  std::size_t m_tokenCount = 0; // tokens of the whole answer
};

enum class SubmitResult
{
  Accepted,
  RefusedCold,
  RefusedFull,
};

// A token was generated, or, with m_finished, the job has no more of them.
struct EngineOutput
{
  JobId m_job = 0;
  std::size_t m_token = 0;
  bool m_finished = false;
};

struct EngineLoad
{
  std::size_t m_running = 0;
  std::size_t m_waiting = 0;
  bool m_cold = false;
  Time m_asOf;
};

struct EngineStats
{
  std::uint64_t m_accepted = 0;
  std::uint64_t m_refusedCold = 0;
  std::uint64_t m_refusedFull = 0;
  std::uint64_t m_cachedStarts = 0;
  std::uint64_t m_uncachedStarts = 0;
  std::uint64_t m_tokens = 0;
  std::uint64_t m_cancelled = 0;
  std::size_t m_peakJobs = 0;     // running and waiting
  std::size_t m_peakColdJobs = 0; // the same, while cold
};

class EngineModel
{
public:
  EngineModel(EngineOptions aOptions, std::uint64_t aSeed, Time aNow);

  // Takes a job or refuses it. aCached tells whether the job's chat is in the
  // cache as it is accepted.
  SubmitResult Submit(EngineJob aJob, Time aNow, bool& aCached);

  // Drops a job; harmless when it has ended.
  void Cancel(JobId aJob, Time aNow);

  // Runs the steps that are due and appends what they yield. After a pause of
  // the process one step runs, not all that were missed.
  void Step(Time aNow, std::vector<EngineOutput>& aOutputs);

  // Whether any job runs, so that Step has to be called at NextStepTime.
  bool IsBusy() const { return !m_running.empty(); }
  Time NextStepTime() const { return m_nextStep; }

  // Starts another cold start and forgets all cached prefixes; jobs in progress
  // go on.
  void TurnCold(Duration aColdTime, Time aNow);
  bool IsCold(Time aNow) const
  {
    return aNow < m_warmAt && aNow >= m_coldSince;
  }

  // The load as it was m_loadLag ago.
  EngineLoad Load(Time aNow);

  const EngineStats& Stats() const { return m_stats; }
  const PrefixCache& Cache() const { return m_cache; }
  const EngineOptions& Options() const { return m_options; }

private:
  struct Running
  {
    EngineJob m_job;
    Time m_readyAt; // its prompt is processed
  };
  struct Waiting
  {
    EngineJob m_job;
    bool m_cached;
  };
  struct Sample
  {
    Time m_at;
    std::size_t m_running;
    std::size_t m_waiting;
  };

  void StartJob(EngineJob aJob, bool aCached, Time aNow);
  void FillSlots(Time aNow);
  void TakeSample(Time aNow);
  Duration StepTime() const;

  EngineOptions m_options;
  PrefixCache m_cache;
  std::vector<Running> m_running;
  std::deque<Waiting> m_waiting; // by priority, then by arrival
  std::deque<Sample> m_samples;  // oldest first
  Time m_coldSince;
  Time m_warmAt;
  Time m_nextStep;
  EngineStats m_stats;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_ENGINE_MODEL_H_
