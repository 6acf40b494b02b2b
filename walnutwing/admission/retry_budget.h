#ifndef WALNUTWING_ADMISSION_RETRY_BUDGET_H_
#define WALNUTWING_ADMISSION_RETRY_BUDGET_H_

// Limits retries to a fraction of the first attempts, so that retries do not
// multiply the load during an outage: with ratio r a daemon sends on average at
// most (1 + r) attempts per request, plus a small constant rate that lets
// daemons with little traffic retry.

#include "walnutwing/base/clock.h"

namespace walnutwing {

struct RetryBudgetOptions
{
  double m_ratio = 0.1;            // retries per first attempt
  double m_retriesPerSecond = 1.0; // added regardless of traffic
  double m_maxSavedRetries = 20.0; // upper limit of the budget
};

class RetryBudget
{
public:
  // Starts with one retry. Throws std::invalid_argument for negative options.
  explicit RetryBudget(RetryBudgetOptions aOptions, Time aNow);

  // A first attempt was made: the budget grows by the ratio.
  void OnRequest();

  // Takes one retry from the budget. Returns false if none is left; the caller
  // then answers the request with RetryBudgetSpent.
  bool TryRetry(Time aNow);

  // Retries in the budget at the last call; the refill since then is not
  // included.
  double Available() const { return m_available; }

private:
  RetryBudgetOptions m_options;
  double m_available;
  Time m_refilledAt;
};

} // namespace walnutwing

#endif // WALNUTWING_ADMISSION_RETRY_BUDGET_H_
