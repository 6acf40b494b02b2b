#include "standin/token_engine.h"

#include <algorithm>
#include <utility>

namespace walnutwing::standin {
namespace {

std::uint32_t
OwnMemory(const TokenJob& aJob)
{
  return aJob.m_uniqueTokens + aJob.m_answerTokens;
}

} // namespace

bool
TokenEngine::Submit(TokenJob aJob, double aNowMs)
{
  if (m_running.size() >= m_options.m_batch &&
      m_waiting.size() >= m_options.m_queueLimit) {
    return false;
  }
  const bool idle = m_running.empty();
  const auto behind =
    std::upper_bound(m_waiting.begin(),
                     m_waiting.end(),
                     aJob,
                     [](const TokenJob& aLeft, const TokenJob& aRight) {
                       return aLeft.m_priority < aRight.m_priority;
                     });
  m_waiting.insert(behind, std::move(aJob));
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
  std::uint32_t chunk = m_options.m_chunk;
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
    } else if (running.m_generated % m_options.m_stride == 0) {
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
  while (!m_waiting.empty() && m_running.size() < m_options.m_batch &&
         HasRoomFor(m_waiting.front())) {
    TokenJob job = std::move(m_waiting.front());
    m_waiting.pop_front();
    Start(std::move(job));
  }
}

// A job that finds the engine idle is always admitted, whatever its size.
bool
TokenEngine::HasRoomFor(const TokenJob& aJob)
{
  std::uint64_t needed = OwnMemory(aJob);
  for (const PromptPart& part : aJob.m_parts) {
    const auto found = m_cache.find(part.m_key);
    if (found == m_cache.end()) {
      needed += part.m_tokens;
    } else {
      found->second.m_usedAt = ++m_uses; // not the first to be evicted
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
      oldest == m_cache.end() || i->second.m_usedAt < oldest->second.m_usedAt;
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
TokenEngine::Start(TokenJob aJob)
{
  Running running;
  bool cachedSoFar = true;
  for (const PromptPart& part : aJob.m_parts) {
    const auto [entry, added] =
      m_cache.try_emplace(part.m_key, Cached{ part.m_tokens, 0, 0 });
    m_cachedTokens += added ? part.m_tokens : 0;
    cachedSoFar = cachedSoFar && !added;
    m_foundTokens += cachedSoFar ? part.m_tokens : 0;
    running.m_toRead += cachedSoFar ? 0 : part.m_tokens;
    ++entry->second.m_users;
    entry->second.m_usedAt = ++m_uses;
  }
  running.m_toRead += aJob.m_uniqueTokens;
  m_jobTokens += OwnMemory(aJob);
  running.m_job = std::move(aJob);
  m_running.push_back(std::move(running));
}

void
TokenEngine::Release(const TokenJob& aJob)
{
  m_jobTokens -= OwnMemory(aJob);
  for (const PromptPart& part : aJob.m_parts) {
    --m_cache.at(part.m_key).m_users;
  }
}

void
TokenEngine::BeginStep(double aNowMs)
{
  std::uint32_t toRead = 0;
  for (const Running& running : m_running) {
    toRead += std::min(m_options.m_chunk - toRead, running.m_toRead);
  }
  const double length =
    m_options.m_stepMs +
    m_options.m_stepMsPerRequest * static_cast<double>(m_running.size()) +
    toRead / m_options.m_readTokensPerMs;
  m_stepEndsMs = aNowMs + m_slowness * length;
}

} // namespace walnutwing::standin
