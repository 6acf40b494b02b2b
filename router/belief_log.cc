#include "router/belief_log.h"

#include <utility>

namespace walnutwing::router {

void
BeliefLog::Tick(Time aNow)
{
  CompareUpstreams(aNow);
  CompareHub(aNow);
  CompareBudgets(aNow);
}

void
BeliefLog::CompareUpstreams(Time aNow)
{
  std::map<UpstreamId, LostCause> lost =
    m_context.m_selector.LostUpstreams(aNow);
  for (const auto& [id, cause] : lost) {
    if (!m_lost.contains(id)) {
      m_context.m_log.At(Event::UpstreamLost, aNow)
        .Add("upstream", id.Value())
        .Add("why", NameOf(cause));
    }
  }
  for (const auto& [id, cause] : m_lost) {
    if (!lost.contains(id)) {
      m_context.m_log.At(Event::UpstreamRegained, aNow)
        .Add("upstream", id.Value());
    }
  }
  m_lost = std::move(lost);
}

void
BeliefLog::CompareHub(Time aNow)
{
  const DaemonId hub = m_exchange.Hub();
  if (hub == m_hub) {
    return;
  }
  const DaemonId before = std::exchange(m_hub, hub);
  m_context.m_log.At(Event::HubChanged, aNow)
    .Add("hub", hub.Value())
    .Add("before", before.Value());
}

void
BeliefLog::CompareBudgets(Time aNow)
{
  for (auto& [service, budget] : m_context.m_repeats) {
    const double room = budget.Remaining(m_context.m_daemons, aNow);
    const bool spent = room < 1;
    if (spent == m_spent.contains(service)) {
      continue;
    }
    m_context.m_log.At(spent ? Event::BudgetSpent : Event::BudgetRegained, aNow)
      .Add("service", service.Value())
      .Add("budget_left", room)
      .Add("daemons", static_cast<std::int64_t>(m_context.m_daemons));
    if (spent) {
      m_spent.insert(service);
    } else {
      m_spent.erase(service);
    }
  }
}

} // namespace walnutwing::router
