#include "router/state_change_log.h"

#include <utility>

namespace walnutwing::router {

void
StateChangeLog::Tick(Time aNow)
{
  LogUpstreamChanges(aNow);
  LogHubChange(aNow);
  LogBudgetChanges(aNow);
}

void
StateChangeLog::LogUpstreamChanges(Time aNow)
{
  std::map<UpstreamId, LostCause> lost =
    m_context.m_selector.LostUpstreams(aNow);
  for (const auto& [id, cause] : lost) {
    if (!m_lostUpstreams.contains(id)) {
      m_context.m_log.StartLine(Event::UpstreamLost, aNow)
        .Add("upstream", id.Value())
        .Add("why", NameOf(cause));
    }
  }
  for (const auto& [id, cause] : m_lostUpstreams) {
    if (!lost.contains(id)) {
      m_context.m_log.StartLine(Event::UpstreamRegained, aNow)
        .Add("upstream", id.Value());
    }
  }
  m_lostUpstreams = std::move(lost);
}

void
StateChangeLog::LogHubChange(Time aNow)
{
  const DaemonId hub = m_exchange.Hub();
  if (hub == m_hub) {
    return;
  }
  const DaemonId previous = std::exchange(m_hub, hub);
  m_context.m_log.StartLine(Event::HubChanged, aNow)
    .Add("hub", hub.Value())
    .Add("before", previous.Value());
}

void
StateChangeLog::LogBudgetChanges(Time aNow)
{
  for (auto& [service, budget] : m_context.m_repeatBudgets) {
    const double remaining = budget.Remaining(m_context.m_daemons, aNow);
    const bool exhausted = remaining < 1;
    if (exhausted == m_exhaustedBudgets.contains(service)) {
      continue;
    }
    m_context.m_log
      .StartLine(exhausted ? Event::BudgetSpent : Event::BudgetRegained, aNow)
      .Add("service", service.Value())
      .Add("budget_left", remaining)
      .Add("daemons", static_cast<std::int64_t>(m_context.m_daemons));
    if (exhausted) {
      m_exhaustedBudgets.insert(service);
    } else {
      m_exhaustedBudgets.erase(service);
    }
  }
}

} // namespace walnutwing::router
