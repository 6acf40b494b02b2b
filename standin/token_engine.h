#ifndef WALNUTWING_STANDIN_TOKEN_ENGINE_H_
#define WALNUTWING_STANDIN_TOKEN_ENGINE_H_

// Model of an inference engine that counts tokens: continuous batching, prompts
// that are read in chunks between the tokens of other requests (chunked
// prefill), and memory shared by running requests and cached prompt parts.
//
// Each step generates one token for every request whose prompt has been read,
// and reads at most one chunk of the other prompts, the oldest first. A step
// takes longer the more requests run and the more it reads. A cached part is
// not read again if all parts before it are cached too. When memory runs short,
// the least recently used part that no running request uses is evicted.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "standin/load_plan.h"

namespace walnutwing::standin {

struct TokenEngineOptions
{
  std::size_t m_batchLimit = 16;      // requests that run at once
  std::size_t m_queueLimit = 48;      // requests that wait
  double m_stepMs = 3.0;              // base time of a step
  double m_stepMsPerRequest = 0.03;   // added per running request
  double m_readTokensPerMs = 100;     // speed of reading prompts
  std::uint32_t m_chunkTokens = 1024; // prompt tokens read per step
  std::uint64_t m_memoryTokens = 500'000;
  std::uint32_t m_tokensPerEvent = 8; // in a streamed answer
};

struct TokenJob
{
  std::uint64_t m_id = 0;
  std::vector<PromptPart> m_parts;  // of the prompt, cacheable
  std::uint32_t m_uniqueTokens = 0; // of the prompt, never cached
  std::uint32_t m_answerTokens = 1;
  std::uint32_t m_priority = 0; // 0 runs first
};

enum class TokenEvent
{
  First, // the first token
  More,  // another event of the stream
  Last,  // the answer is complete; follows its other event of the step
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

  // Accepts a job, or returns false when batch and queue are full. aNowMs is
  // the time in ms since any fixed start.
  bool Submit(TokenJob aJob, double aNowMs);

  // Removes a job; does nothing if it has ended.
  void Cancel(std::uint64_t aId);

  // Completes the step that ends at NextStepMs, begins the next one and returns
  // the outputs of the completed one.
  std::vector<TokenOutput> Step();

  bool IsBusy() const { return !m_running.empty(); }
  double NextStepMs() const { return m_stepEndsMs; }

  // Restarts the engine: all requests and cached parts are dropped.
  void Clear();

  // Makes later steps take aFactor times as long; 1 is the normal speed.
  void SetSlowness(double aFactor) { m_slowness = aFactor; }

  std::size_t RunningCount() const { return m_running.size(); }
  std::size_t WaitingCount() const { return m_waiting.size(); }
  bool IsCached(std::uint64_t aPart) const { return m_cache.contains(aPart); }
  std::uint64_t MemoryTokens() const { return m_cachedTokens + m_jobTokens; }
  // Prompt tokens read, and prompt tokens found in the cache, so far.
  std::uint64_t ReadTokens() const { return m_readTokens; }
  std::uint64_t CacheHitTokens() const { return m_cacheHitTokens; }

private:
  struct Running
  {
    TokenJob m_job;
    std::uint32_t m_toRead = 0; // prompt tokens not yet read
    std::uint32_t m_generated = 0;
  };
  struct Cached
  {
    std::uint32_t m_tokens = 0;
    std::uint32_t m_users = 0;   // running requests that use it
    std::uint64_t m_lastUse = 0; // value of m_useCounter
  };

  void Admit();
  void StartJob(TokenJob aJob);
  bool MakeRoomFor(const TokenJob& aJob);
  bool EvictOne();
  void Release(const TokenJob& aJob);
  void BeginStep(double aNowMs);

  TokenEngineOptions m_options;
  double m_slowness = 1;
  double m_stepEndsMs = 0;
  std::vector<Running> m_running; // oldest first
  std::deque<TokenJob> m_waiting; // by priority, then by arrival
  std::unordered_map<std::uint64_t, Cached> m_cache;
  std::uint64_t m_useCounter = 0;
  std::uint64_t m_cachedTokens = 0;
  std::uint64_t m_jobTokens = 0; // unique and answer tokens of running requests
  std::uint64_t m_readTokens = 0;
  std::uint64_t m_cacheHitTokens = 0;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_TOKEN_ENGINE_H_
