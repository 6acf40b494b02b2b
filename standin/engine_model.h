#ifndef WALNUTWING_STANDIN_ENGINE_MODEL_H_
#define WALNUTWING_STANDIN_ENGINE_MODEL_H_

// Model of an inference engine without network or clock: continuous batching
// over a limited number of slots, a priority queue, a cold start and a load
// report that lags. The caller passes in jobs and the current time; each step
// returns the tokens that it generated.

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
  std::size_t m_slots = 8;                // jobs that run at once
  std::size_t m_coldSlots = 1;            // running and waiting jobs while cold
  std::size_t m_queueLimit = 64;          // jobs that wait for a slot
  Duration m_coldTime{ 0 };               // duration of a cold start
  Duration m_stepTime{ 5 };               // base time of a step
  std::uint32_t m_stepMicrosPerJob = 100; // added per running job
  Duration m_prefillTime{ 20 };           // prompt processing
  Duration m_cachedPrefillTime{ 2 };      // the same, if the prefix is cached
  Duration m_loadLag{ 500 };              // age of the load that is reported
  PrefixCache::Options m_cache;
};

struct EngineJob
{
  JobId m_id = 0;
  std::string m_chat;           // id; empty: not cached
  std::int64_t m_priority = 0;  // the smallest runs first
  std::size_t m_nextToken = 0;  // index of the next token to generate
  std::size_t m_tokenCount = 0; // tokens of the complete answer
};

enum class SubmitResult
{
  Accepted,
  RefusedCold, // at the limit for a cold engine
  RefusedFull, // slots and queue are full
};

// A generated token or, with m_finished, the end of the job.
struct EngineOutput
{
  JobId m_job = 0;
  std::size_t m_token = 0; // index; the token count with m_finished
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
  std::size_t m_peakJobs = 0;     // most that ran or waited at once
  std::size_t m_peakColdJobs = 0; // the same, while cold
};

class EngineModel
{
public:
  EngineModel(EngineOptions aOptions, std::uint64_t aSeed, Time aNow);

  // Accepts or refuses a job. If it accepts, sets aCached to whether the prefix
  // of the job's chat was cached before.
  SubmitResult Submit(EngineJob aJob, Time aNow, bool& aCached);

  // Removes a job; does nothing if it has ended.
  void Cancel(JobId aJob, Time aNow);

  // Runs a step if one is due and appends its outputs. Steps that were missed,
  // for example while the process was paused, are not made up for.
  void Step(Time aNow, std::vector<EngineOutput>& aOutputs);

  // Whether any job runs. While one does, Step has to be called at
  // NextStepTime.
  bool IsBusy() const { return !m_running.empty(); }
  Time NextStepTime() const { return m_nextStep; }

  // Begins a cold start and clears the prefix cache; jobs in progress go on.
  void TurnCold(Duration aColdTime, Time aNow);
  bool IsCold(Time aNow) const
  {
    return aNow < m_warmAt && aNow >= m_coldSince;
  }

  // Returns the load as it was m_loadLag before aNow.
  EngineLoad Load(Time aNow);

  const EngineStats& Stats() const { return m_stats; }
  const PrefixCache& Cache() const { return m_cache; }
  const EngineOptions& Options() const { return m_options; }

private:
  struct Running
  {
    EngineJob m_job;
    Time m_readyAt; // when its prompt is processed
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
