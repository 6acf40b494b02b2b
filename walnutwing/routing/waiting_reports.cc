#include "walnutwing/routing/waiting_reports.h"

#include <string>

#include "walnutwing/placement/rendezvous.h"

namespace walnutwing {

WaitingReports::Service&
WaitingReports::ServiceOf(const ServiceId& aService)
{
  const auto [found, added] = m_services.try_emplace(aService);
  for (std::size_t i = 0; added && i < kWaitingClasses; ++i) {
    // No upstream's id contains a slash.
    found->second.m_keys[i] = static_cast<std::uint32_t>(
      StableHash("waiting/" + aService.Value() + "/" + std::to_string(i)));
  }
  return found->second;
}

void
WaitingReports::Set(const ServiceId& aService, const WaitingCounts& aCounts)
{
  ServiceOf(aService).m_counts = aCounts;
}

WaitingCounts
WaitingReports::AtOthers(const ServiceId& aService, Time aNow)
{
  const Service& service = ServiceOf(aService);
  WaitingCounts counts{};
  for (std::size_t i = 0; i < kWaitingClasses; ++i) {
    counts[i] = static_cast<std::uint32_t>(
      m_exchange.ReportedByOthers(service.m_keys[i], aNow).value_or(0));
  }
  return counts;
}

void
WaitingReports::AddTo(UpstreamLoads& aLoads) const
{
  for (const auto& [id, service] : m_services) {
    for (std::size_t i = 0; i < kWaitingClasses; ++i) {
      if (service.m_counts[i] != 0) {
        aLoads[service.m_keys[i]] = service.m_counts[i];
      }
    }
  }
}

} // namespace walnutwing
