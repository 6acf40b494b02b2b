#ifndef WALNUTWING_ROUTER_BELIEF_LOG_H_
#define WALNUTWING_ROUTER_BELIEF_LOG_H_

// Tells changes of what the router believes of others and was not told by the
// store: upstreams that do not answer, who acts for the zone, budgets that are
// spent. It compares with what it told last, so that a state is one line when
// it begins and one when it ends, however many requests met it.

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

  // To be called several times a second.
  void Tick(Time aNow);

private:
  void LogUpstreamChanges(Time aNow);
  void LogHubChange(Time aNow);
  void LogBudgetChanges(Time aNow);

  Context& m_context;
  const LoadExchange& m_exchange;
  std::map<UpstreamId, LostCause> m_lostUpstreams;
  DaemonId m_hub;
  std::set<ServiceId> m_exhaustedBudgets; // services without a repeat left
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_BELIEF_LOG_H_
