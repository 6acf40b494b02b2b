#ifndef WALNUTWING_ROUTING_SERVICE_DEMAND_H_
#define WALNUTWING_ROUTING_SERVICE_DEMAND_H_

// Measures how many requests a second callers send for each service to all
// daemons together, by classes of the prompts' sizes. Daemons report their own
// counts with their loads (load_exchange.h), under a key of service and class.
//
// An estimate changes in steps, and only if it is clearly off, because
// upstreams are chosen by it and prompts should not move with each request.

#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"
#include "walnutwing/routing/load_exchange.h"
#include "walnutwing/routing/sliding_window_counter.h"

namespace walnutwing {

// Prompts of a class differ in size by a factor of less than two; 0 is the
// class of requests without a prompt.
using PromptClass = std::uint32_t;
inline constexpr PromptClass kPromptClasses = 24;

PromptClass
PromptClassOf(std::uint32_t aPromptTokens);

class ServiceDemand
{
public:
  // aExchange provides the other daemons' counts. It must outlive this object.
  explicit ServiceDemand(const LoadExchange& aExchange)
    : m_exchange(aExchange)
  {
  }

  // A request for the service has arrived at this daemon.
  void OnRequest(const ServiceId& aService,
                 std::uint32_t aPromptTokens,
                 Time aNow);

  // Requests a second at all daemons, by class. While the other daemons' counts
  // are not known, they are taken to be like this daemon's; aDaemons: in the
  // fleet.
  std::array<double, kPromptClasses> PerSecond(const ServiceId& aService,
                                               std::uint32_t aDaemons,
                                               Time aNow);

  // Adds this daemon's counts to the loads that it reports.
  void AddTo(UpstreamLoads& aLoads) const;

private:
  static constexpr Duration kWindow = std::chrono::seconds(5);

  struct Class
  {
    std::uint32_t m_key = 0; // under which its count is reported
    SlidingWindowCounter m_requests{ kWindow };
    std::uint32_t m_count = 0; // as of the last request
    double m_estimate = 0;
  };
  using Classes = std::array<Class, kPromptClasses>;

  Classes& ClassesOf(const ServiceId& aService);

  const LoadExchange& m_exchange;
  std::map<ServiceId, Classes> m_services;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_SERVICE_DEMAND_H_
