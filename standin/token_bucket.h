#ifndef WALNUTWING_STANDIN_TOKEN_BUCKET_H_
#define WALNUTWING_STANDIN_TOKEN_BUCKET_H_

// Token bucket: allows a steady rate of calls and a burst of the calls of one
// second.

#include <algorithm>
#include <cstdint>

#include "walnutwing/base/clock.h"

namespace walnutwing::standin {

class TokenBucket
{
public:
  // aPerSecond 0 means no limit.
  TokenBucket(std::uint32_t aPerSecond, Time aNow)
    : m_perSecond(aPerSecond)
    , m_milliTokens(kMilliTokensPerToken * aPerSecond)
    , m_filledAt(aNow)
  {
  }

  // Takes one token; false if there is none.
  bool Take(Time aNow)
  {
    if (m_perSecond == 0) {
      return true;
    }
    // N tokens per second are N thousandths of a token per millisecond.
    m_milliTokens = std::min<std::int64_t>(
      kMilliTokensPerToken * m_perSecond,
      m_milliTokens + (aNow - m_filledAt).count() * m_perSecond);
    m_filledAt = aNow;
    if (m_milliTokens < kMilliTokensPerToken) {
      return false;
    }
    m_milliTokens -= kMilliTokensPerToken;
    return true;
  }

private:
  static constexpr std::int64_t kMilliTokensPerToken = 1000;

  std::int64_t m_perSecond;
  std::int64_t m_milliTokens;
  Time m_filledAt;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_TOKEN_BUCKET_H_
