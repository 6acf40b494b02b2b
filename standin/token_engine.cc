#include "standin/token_engine.h"

#include <algorithm>
#include <utility>

namespace walnutwing::standin {
namespace {

std::uint32_t
OwnMemoryTokens(const TokenJob& aJob)
{
  return aJob.m_uniqueTokens + aJob.m_answerTokens;
}

} // namespace

bool
TokenEngine::Submit(TokenJob aJob, double aNowMs)
{
  if (m_running.size() >= m_options.m_batchLimit &&
      m_waiting.size() >= m_options.m_queueLimit) {
    return false;
  }
  const bool idle = m_running.empty();
  const auto position =
    std::upper_bound(m_waiting.begin(),
                     m_waiting.end(),
                     aJob,
                     [](const TokenJob& aLeft, const TokenJob& aRight) {
                       return aLeft.m_priority < aRight.m_priority;
                     });
  m_waiting.insert(position, std::move(aJob));
  if (idle) {
    Admit();
    BeginStep(aNowMs);
  }
  return true;
}

void
TokenEngine::Cancel(std::uint64_t aId)
{
  std::erase_if(m_waiting,
                [aId](const TokenJob& aJob) { return aJob.m_id == aId; });
  std::erase_if(m_running, [this, aId](const Running& aRunning) {
    const bool found = aRunning.m_job.m_id == aId;
    if (found) {
      Release(aRunning.m_job);
    }
    return found;
  });
}

void
TokenEngine::Clear()
{
  m_running.clear();
  m_waiting.clear();
  m_cache.clear();
  m_cachedTokens = 0;
  m_jobTokens = 0;
}

std::vector<TokenOutput>
TokenEngine::Step()
{
  std::vector<TokenOutput> outputs;
  std::uint32_t chunk = m_options.m_chunkTokens;
  for (Running& running : m_running) {
    if (running.m_toRead > 0) {
      const std::uint32_t read = std::min(chunk, running.m_toRead);
      running.m_toRead -= read;
      chunk -= read;
      m_readTokens += read;
    }
    if (running.m_toRead > 0) {
      continue;
    }
    if (running.m_generated++ == 0) {
      outputs.push_back({ running.m_job.m_id, TokenEvent::First });
    } else if (running.m_generated % m_options.m_tokensPerEvent == 0) {
      outputs.push_back({ running.m_job.m_id, TokenEvent::More });
    }
    if (running.m_generated >= running.m_job.m_answerTokens) {
      outputs.push_back({ running.m_job.m_id, TokenEvent::Last });
    }
  }
  std::erase_if(m_running, [this](const Running& aRunning) {
    const bool done = aRunning.m_generated >= aRunning.m_job.m_answerTokens;
    if (done) {
      Release(aRunning.m_job);
    }
    return done;
  });
  Admit();
  BeginStep(m_stepEndsMs);
  return outputs;
}

void
TokenEngine::Admit()
{
  while (!m_waiting.empty() && m_running.size() < m_options.m_batchLimit &&
         MakeRoomFor(m_waiting.front())) {
    TokenJob job = std::move(m_waiting.front());
    m_waiting.pop_front();
    StartJob(std::move(job));
  }
}

// Evicts unused parts until aJob fits; false if it cannot. An idle engine
// admits a job of any size.
bool
TokenEngine::MakeRoomFor(const TokenJob& aJob)
{
  std::uint64_t needed = OwnMemoryTokens(aJob);
  for (const PromptPart& part : aJob.m_parts) {
    const auto found = m_cache.find(part.m_key);
    if (found == m_cache.end()) {
      needed += part.m_tokens;
    } else {
      found->second.m_lastUse = ++m_useCounter; // evicted last
    }
  }
  while (MemoryTokens() + needed > m_options.m_memoryTokens) {
    if (!EvictOne()) {
      return m_running.empty();
    }
  }
  return true;
}

bool
TokenEngine::EvictOne()
{
  auto oldest = m_cache.end();
  for (auto i = m_cache.begin(); i != m_cache.end(); ++i) {
    const bool older =
      oldest == m_cache.end() || i->second.m_lastUse < oldest->second.m_lastUse;
    if (i->second.m_users == 0 && older) {
      oldest = i;
    }
  }
  if (oldest == m_cache.end()) {
    return false;
  }
  m_cachedTokens -= oldest->second.m_tokens;
  m_cache.erase(oldest);
  return true;
}

void
TokenEngine::StartJob(TokenJob aJob)
{
  Running running;
  bool cachedSoFar = true;
  for (const PromptPart& part : aJob.m_parts) {
    const auto [entry, added] =
      m_cache.try_emplace(part.m_key, Cached{ part.m_tokens, 0, 0 });
    m_cachedTokens += added ? part.m_tokens : 0;
    cachedSoFar = cachedSoFar && !added;
    m_cacheHitTokens += cachedSoFar ? part.m_tokens : 0;
    running.m_toRead += cachedSoFar ? 0 : part.m_tokens;
    ++entry->second.m_users;
    entry->second.m_lastUse = ++m_useCounter;
  }
  running.m_toRead += aJob.m_uniqueTokens;
  m_jobTokens += OwnMemoryTokens(aJob);
  running.m_job = std::move(aJob);
  m_running.push_back(std::move(running));
}

void
TokenEngine::Release(const TokenJob& aJob)
{
  m_jobTokens -= OwnMemoryTokens(aJob);
  for (const PromptPart& part : aJob.m_parts) {
    --m_cache.at(part.m_key).m_users;
  }
}

void
TokenEngine::BeginStep(double aNowMs)
{
  std::uint32_t toRead = 0;
  for (const Running& running : m_running) {
    toRead += std::min(m_options.m_chunkTokens - toRead, running.m_toRead);
  }
  const double length =
    m_options.m_stepMs +
    m_options.m_stepMsPerRequest * static_cast<double>(m_running.size()) +
    toRead / m_options.m_readTokensPerMs;
  m_stepEndsMs = aNowMs + m_slowness * length;
}

} // namespace walnutwing::standin
