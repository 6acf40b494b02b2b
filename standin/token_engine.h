#ifndef WALNUTWING_STANDIN_TOKEN_ENGINE_H_
#define WALNUTWING_STANDIN_TOKEN_ENGINE_H_

// A model of an engine in tokens: continuous batching, prompts that are read in
// chunks between the tokens of other requests, and memory that running requests
// and cached prompt parts share.
//
// Each step generates one token for every request whose prompt has been read,
// and reads up to a chunk of the oldest prompts that have not. A step lasts
// longer the more requests run, and by what it reads. A cached part need not be
// read when all parts before it are cached too. The least recently used part
// that nobody runs on is evicted when memory runs short.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "standin/load_plan.h"

namespace walnutwing::standin {

struct TokenEngineOptions
{
  std::size_t m_batch = 16;      // requests that run at once
  std::size_t m_queueLimit = 48; // requests that wait
  double m_stepMs = 3.0;
  double m_stepMsPerRequest = 0.03; // added for each that runs
  double m_readTokensPerMs = 100;   // of prompts
  std::uint32_t m_chunk = 1024;     // tokens read in a step
  std::uint64_t m_memoryTokens = 500'000;
  std::uint32_t m_stride = 8; // tokens in an event of a stream
};

struct TokenJob
{
  std::uint64_t m_id = 0;
  std::vector<PromptPart> m_parts;
  std::uint32_t m_uniqueTokens = 0;
  std::uint32_t m_answerTokens = 1;
  std::uint32_t m_priority = 0; // 0 leaves the queue first
};

enum class TokenEvent
{
  First, // the first token
  More,  // a further event of the stream
  Last,  // the answer is whole; comes after the others of its step
};

struct TokenOutput
{
  std::uint64_t m_id = 0;
  TokenEvent m_event = TokenEvent::First;
};

class TokenEngine
{
public:
  explicit TokenEngine(TokenEngineOptions aOptions)
    : m_options(aOptions)
  {
  }

  // False: it is full, the job has not run. aNowMs: since any start.
  bool Submit(TokenJob aJob, double aNowMs);

  // Drops a job; harmless when it has ended.
  void Cancel(std::uint64_t aId);

  // Ends the step that is due at NextStepMs and begins the next.
  std::vector<TokenOutput> Step();

  bool Busy() const { return !m_running.empty(); }
  double NextStepMs() const { return m_stepEndsMs; }

  // It started anew: requests and cached parts are gone.
  void Clear();

  // Steps last so many times as long; 1: as usual.
  void SetSlowness(double aTimes) { m_slowness = aTimes; }

  std::size_t RunningCount() const { return m_running.size(); }
  std::size_t WaitingCount() const { return m_waiting.size(); }
  bool Caches(std::uint64_t aPart) const { return m_cache.contains(aPart); }
  std::uint64_t MemoryTokens() const { return m_cachedTokens + m_jobTokens; }
  // Prompt tokens that were read, and that were found in the cache.
  std::uint64_t ReadTokens() const { return m_readTokens; }
  std::uint64_t FoundTokens() const { return m_foundTokens; }

private:
  struct Running
  {
    TokenJob m_job;
    std::uint32_t m_toRead = 0; // prompt tokens that are left
    std::uint32_t m_generated = 0;
  };
  struct Cached
  {
    std::uint32_t m_tokens = 0;
    std::uint32_t m_users = 0; // running requests
    std::uint64_t m_usedAt = 0;
  };

  void Admit();
  void Start(TokenJob aJob);
  bool HasRoomFor(const TokenJob& aJob);
  bool EvictOne();
  void Release(const TokenJob& aJob);
  void BeginStep(double aNowMs);

  TokenEngineOptions m_options;
  double m_slowness = 1;
  double m_stepEndsMs = 0;
  std::vector<Running> m_running; // the oldest first
  std::deque<TokenJob> m_waiting; // by priority, then by arrival
  std::unordered_map<std::uint64_t, Cached> m_cache;
  std::uint64_t m_uses = 0;
  std::uint64_t m_cachedTokens = 0;
  std::uint64_t m_jobTokens = 0; // own and answer tokens of running requests
  std::uint64_t m_readTokens = 0;
  std::uint64_t m_foundTokens = 0;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_TOKEN_ENGINE_H_
