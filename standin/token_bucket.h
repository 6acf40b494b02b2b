#ifndef WALNUTWING_STANDIN_TOKEN_BUCKET_H_
#define WALNUTWING_STANDIN_TOKEN_BUCKET_H_

// A token bucket: lets through a steady rate of calls and a burst of one
// second's worth.

#include <algorithm>
#include <cstdint>

#include "walnutwing/base/clock.h"

namespace walnutwing::standin {

class TokenBucket
{
public:
  // aPerSecond 0 lets everything through.
  TokenBucket(std::uint32_t aPerSecond, Time aNow)
    : m_perSecond(aPerSecond)
    , m_milliTokens(kMilliTokens * aPerSecond)
    , m_filledAt(aNow)
  {
  }

  // Takes one token, or says that there is none.
  bool Take(Time aNow)
  {
    if (m_perSecond == 0) {
      return true;
    }
    // A rate per second is as many thousandths per millisecond.
    m_milliTokens = std::min<std::int64_t>(
      kMilliTokens * m_perSecond,
      m_milliTokens + (aNow - m_filledAt).count() * m_perSecond);
    m_filledAt = aNow;
    if (m_milliTokens < kMilliTokens) {
      return false;
    }
    m_milliTokens -= kMilliTokens;
    return true;
  }

private:
  static constexpr std::int64_t kMilliTokens = 1000;

  std::int64_t m_perSecond;
  std::int64_t m_milliTokens;
  Time m_filledAt;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_TOKEN_BUCKET_H_
