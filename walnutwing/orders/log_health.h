#ifndef WALNUTWING_ORDERS_LOG_HEALTH_H_
#define WALNUTWING_ORDERS_LOG_HEALTH_H_

// Circuit breaker for calls to the platform's log: after several consecutive
// failures the log counts as down until a call succeeds. While it is down, one
// call per retry interval is allowed as a probe.

#include "walnutwing/base/clock.h"

namespace walnutwing {

class LogHealth
{
public:
  LogHealth(int aFailuresUntilDown, Duration aRetryInterval)
    : m_failuresUntilDown(aFailuresUntilDown)
    , m_retryInterval(aRetryInterval)
  {
  }

  bool IsDown() const { return m_consecutiveFailures >= m_failuresUntilDown; }

  // The last call failed, whether or not the log counts as down.
  bool IsFailing() const { return m_consecutiveFailures > 0; }

  void OnSuccess() { m_consecutiveFailures = 0; }

  void OnFailure(Time aNow)
  {
    if (m_consecutiveFailures < m_failuresUntilDown) {
      ++m_consecutiveFailures;
    }
    m_retryAt = aNow + m_retryInterval;
  }

  // Whether a call may be made at aNow.
  bool MayCall(Time aNow) const { return !IsDown() || aNow >= m_retryAt; }

  // To be called when a call starts. While the log is down, the next probe is
  // then allowed after the retry interval.
  void OnCallStarted(Time aNow)
  {
    if (IsDown()) {
      m_retryAt = aNow + m_retryInterval;
    }
  }

private:
  int m_failuresUntilDown;
  Duration m_retryInterval;
  int m_consecutiveFailures = 0;
  Time m_retryAt{};
};

} // namespace walnutwing

#endif // WALNUTWING_ORDERS_LOG_HEALTH_H_
