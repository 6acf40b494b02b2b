#ifndef WALNUTWING_ROUTER_STATE_CHANGE_LOG_H_
#define WALNUTWING_ROUTER_STATE_CHANGE_LOG_H_

// Logs changes of state that this router detects itself rather than reads from
// the store: upstreams that do not respond, the hub of the zone, and repeat
// budgets that are exhausted. Each tick compares the current state with the
// last logged one, so a condition costs one line when it begins and one when it
// ends, however many requests it affects.

#include <map>
#include <set>

#include "router/context.h"
#include "walnutwing/routing/load_exchange.h"

namespace walnutwing::router {

class StateChangeLog
{
public:
  StateChangeLog(Context& aContext, const LoadExchange& aExchange)
    : m_context(aContext)
    , m_exchange(aExchange)
  {
  }

  // Must be called several times a second.
  void Tick(Time aNow);

private:
  void LogUpstreamChanges(Time aNow);
  void LogHubChange(Time aNow);
  void LogBudgetChanges(Time aNow);

  Context& m_context;
  const LoadExchange& m_exchange;
  std::map<UpstreamId, LostCause> m_lostUpstreams;
  DaemonId m_hub;
  std::set<ServiceId> m_exhaustedBudgets; // services with no repeat left
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_STATE_CHANGE_LOG_H_
