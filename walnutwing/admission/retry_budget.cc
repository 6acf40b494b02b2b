// A token bucket: first attempts and elapsed time add tokens, each retry takes
// one.

#include "walnutwing/admission/retry_budget.h"

#include <algorithm>
#include <stdexcept>

namespace walnutwing {

RetryBudget::RetryBudget(RetryBudgetOptions aOptions, Time aNow)
  : m_options(aOptions)
  , m_available(std::min(1.0, aOptions.m_maxSavedRetries))
  , m_refilledAt(aNow)
{
  if (aOptions.m_ratio < 0 || aOptions.m_retriesPerSecond < 0 ||
      aOptions.m_maxSavedRetries < 0) {
    throw std::invalid_argument("retry budget options must not be negative");
  }
}

void
RetryBudget::OnRequest()
{
  m_available =
    std::min(m_available + m_options.m_ratio, m_options.m_maxSavedRetries);
}

bool
RetryBudget::TryRetry(Time aNow)
{
  const std::chrono::duration<double> elapsed =
    std::max(aNow - m_refilledAt, Duration(0));
  m_available =
    std::min(m_available + elapsed.count() * m_options.m_retriesPerSecond,
             m_options.m_maxSavedRetries);
  m_refilledAt = std::max(m_refilledAt, aNow);
  if (m_available < 1.0) {
    return false;
  }
  m_available -= 1.0;
  return true;
}

} // namespace walnutwing
