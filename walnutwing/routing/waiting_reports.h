#ifndef WALNUTWING_ROUTING_WAITING_REPORTS_H_
#define WALNUTWING_ROUTING_WAITING_REPORTS_H_

// How many requests wait at the daemons of the fleet, by service and class
// (waiting_room.h). Daemons report their own counts with their loads
// (load_exchange.h), under a key of service and class, and only where some
// wait.

#include <array>
#include <cstdint>
#include <map>

#include "walnutwing/admission/waiting_room.h"
#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"
#include "walnutwing/routing/load_exchange.h"

namespace walnutwing {

class WaitingReports
{
public:
  // aExchange provides the other daemons' counts. It must outlive this object.
  explicit WaitingReports(const LoadExchange& aExchange)
    : m_exchange(aExchange)
  {
  }

  // The requests that wait at this daemon.
  void Set(const ServiceId& aService, const WaitingCounts& aCounts);

  // The requests that wait at all others; none if that is not known.
  WaitingCounts AtOthers(const ServiceId& aService, Time aNow);

  // Adds this daemon's counts to the loads that it reports.
  void AddTo(UpstreamLoads& aLoads) const;

private:
  struct Service
  {
    std::array<std::uint32_t, kWaitingClasses> m_keys{};
    WaitingCounts m_counts{};
  };

  Service& ServiceOf(const ServiceId& aService);

  const LoadExchange& m_exchange;
  std::map<ServiceId, Service> m_services;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_WAITING_REPORTS_H_
