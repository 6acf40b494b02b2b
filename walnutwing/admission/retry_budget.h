#ifndef WALNUTWING_ADMISSION_RETRY_BUDGET_H_
#define WALNUTWING_ADMISSION_RETRY_BUDGET_H_

// Bounds retries to a share of the first attempts, so that an outage is not
// multiplied: with ratio r a daemon sends at most (1 + r) attempts for each
// request, plus a small constant rate for daemons with little traffic.

#include "walnutwing/base/clock.h"

namespace walnutwing {

struct RetryBudgetOptions
{
  double m_ratio = 0.1;            // retries for each first attempt
  double m_retriesPerSecond = 1.0; // retries that are always allowed, a second
  double m_maxSavedRetries = 20.0; // budget that may be saved up, in retries
};

class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions, Time aNow);

  // A first attempt was made: the budget grows by the ratio.
  void OnRequest();

  // Takes one retry from the budget; false when it is spent, and then the
  // request is answered with RetryBudgetSpent.
  bool TryRetry(Time aNow);

  // Retries in the budget at the last event.
  double Available() const { return m_available; }

private:
  RetryBudgetOptions m_options;
  double m_available;
  Time m_refilledAt;
};

} // namespace walnutwing

#endif // WALNUTWING_ADMISSION_RETRY_BUDGET_H_
