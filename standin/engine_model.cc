// A step generates one token for every running job, so the time between tokens
// grows with the batch. A job starts as soon as a slot is free and generates
// nothing until its prompt is processed.

#include "standin/engine_model.h"

#include <algorithm>
#include <chrono>

namespace walnutwing::standin {

EngineModel::EngineModel(EngineOptions aOptions, std::uint64_t aSeed, Time aNow)
  : m_options(aOptions)
  , m_cache(aOptions.m_cache, aSeed)
  , m_coldSince(aNow)
  , m_warmAt(aNow + aOptions.m_coldTime)
  , m_nextStep(aNow)
{
}

SubmitResult
EngineModel::Submit(EngineJob aJob, Time aNow, bool& aCached)
{
  const std::size_t jobs = m_running.size() + m_waiting.size();
  if (IsCold(aNow) && jobs >= m_options.m_coldSlots) {
    ++m_stats.m_refusedCold;
    return SubmitResult::RefusedCold;
  }
  if (jobs >= m_options.m_slots + m_options.m_queueLimit) {
    ++m_stats.m_refusedFull;
    return SubmitResult::RefusedFull;
  }
  ++m_stats.m_accepted;
  m_stats.m_peakJobs = std::max(m_stats.m_peakJobs, jobs + 1);
  if (IsCold(aNow)) {
    m_stats.m_peakColdJobs = std::max(m_stats.m_peakColdJobs, jobs + 1);
  }
  aCached = m_cache.Use(aJob.m_chat, aNow);
  ++(aCached ? m_stats.m_cachedStarts : m_stats.m_uncachedStarts);
  const auto position =
    std::upper_bound(m_waiting.begin(),
                     m_waiting.end(),
                     aJob.m_priority,
                     [](std::int64_t aPriority, const Waiting& aOther) {
                       return aPriority < aOther.m_job.m_priority;
                     });
  m_waiting.insert(position, { std::move(aJob), aCached });
  FillSlots(aNow);
  TakeSample(aNow);
  return SubmitResult::Accepted;
}

void
EngineModel::Cancel(JobId aJob, Time aNow)
{
  const std::size_t ended =
    std::erase_if(
      m_running,
      [&](const Running& aRunning) { return aRunning.m_job.m_id == aJob; }) +
    std::erase_if(m_waiting, [&](const Waiting& aWaiting) {
      return aWaiting.m_job.m_id == aJob;
    });
  m_stats.m_cancelled += ended;
  FillSlots(aNow);
  TakeSample(aNow);
}

void
EngineModel::Step(Time aNow, std::vector<EngineOutput>& aOutputs)
{
  if (!IsBusy() || aNow < m_nextStep) {
    return;
  }
  for (Running& running : m_running) {
    EngineJob& job = running.m_job;
    if (running.m_readyAt > aNow) {
      continue;
    }
    if (job.m_nextToken < job.m_tokenCount) {
      aOutputs.push_back({ job.m_id, job.m_nextToken++, false });
      ++m_stats.m_tokens;
    }
    if (job.m_nextToken >= job.m_tokenCount) {
      aOutputs.push_back({ job.m_id, job.m_tokenCount, true });
    }
  }
  std::erase_if(m_running, [&](const Running& aRunning) {
    return aRunning.m_readyAt <= aNow &&
           aRunning.m_job.m_nextToken >= aRunning.m_job.m_tokenCount;
  });
  m_nextStep = aNow + StepTime();
  FillSlots(aNow);
  TakeSample(aNow);
}

void
EngineModel::TurnCold(Duration aColdTime, Time aNow)
{
  m_coldSince = aNow;
  m_warmAt = aNow + aColdTime;
  m_cache.Clear(aNow);
}

EngineLoad
EngineModel::Load(Time aNow)
{
  const Time asOf = aNow - m_options.m_loadLag;
  while (m_samples.size() > 1 && m_samples[1].m_at <= asOf) {
    m_samples.pop_front();
  }
  EngineLoad load;
  load.m_asOf = asOf;
  load.m_cold = IsCold(asOf);
  if (!m_samples.empty() && m_samples.front().m_at <= asOf) {
    load.m_running = m_samples.front().m_running;
    load.m_waiting = m_samples.front().m_waiting;
  }
  return load;
}

void
EngineModel::StartJob(EngineJob aJob, bool aCached, Time aNow)
{
  if (m_running.empty()) {
    m_nextStep = std::max(m_nextStep, aNow);
  }
  const Duration prefill =
    aCached ? m_options.m_cachedPrefillTime : m_options.m_prefillTime;
  m_running.push_back({ std::move(aJob), aNow + prefill });
}

void
EngineModel::FillSlots(Time aNow)
{
  while (!m_waiting.empty() && m_running.size() < m_options.m_slots) {
    Waiting next = std::move(m_waiting.front());
    m_waiting.pop_front();
    StartJob(std::move(next.m_job), next.m_cached, aNow);
  }
}

void
EngineModel::TakeSample(Time aNow)
{
  const Sample sample{ aNow, m_running.size(), m_waiting.size() };
  if (!m_samples.empty() && m_samples.back().m_at == aNow) {
    m_samples.back() = sample;
    return;
  }
  m_samples.push_back(sample);
  Load(aNow); // drops samples too old for any later report
}

Duration
EngineModel::StepTime() const
{
  const std::chrono::microseconds forJobs(m_options.m_stepMicrosPerJob *
                                          m_running.size());
  return std::max(Duration(1),
                  m_options.m_stepTime +
                    std::chrono::ceil<std::chrono::milliseconds>(forJobs));
}

} // namespace walnutwing::standin
