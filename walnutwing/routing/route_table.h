#ifndef WALNUTWING_ROUTING_ROUTE_TABLE_H_
#define WALNUTWING_ROUTING_ROUTE_TABLE_H_

// Finds the route and the customer of a request in one version of the
// operators' configuration. Built once for a version; look-ups do not depend on
// the number of routes or keys.

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "walnutwing/routing/routing_config.h"

namespace walnutwing {

class RouteTable
{
public:
  explicit RouteTable(RoutingConfig aConfig);

  const RoutingConfig& Config() const { return m_config; }
  std::uint64_t Version() const { return m_config.m_version; }

  // The route of aHost (any case, a port is ignored) whose prefix is the
  // longest that begins aPath (without a query); null without one.
  const Route* Find(std::string_view aHost, std::string_view aPath) const;

  // The customer that holds a key; null for an unknown one.
  const RoutingCustomer* CustomerOf(std::string_view aKey) const;

  // Null for a service that the configuration does not name.
  const ServiceConfig* Service(const ServiceId& aService) const;

  // The service of one request of a route: aHash spreads requests over the
  // route's services by their weights. Null for a route without any.
  static const ServiceId* ServiceOf(const Route& aRoute, std::uint64_t aHash);

private:
  // Lets look-ups take a string_view.
  struct TextHash
  {
    using is_transparent = void;
    std::size_t operator()(std::string_view aText) const noexcept
    {
      return std::hash<std::string_view>()(aText);
    }
  };
  template<typename Value>
  using TextMap =
    std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

  RoutingConfig m_config;
  TextMap<const Route*> m_routes; // by host and prefix, joined
  TextMap<const RoutingCustomer*> m_customers;
  std::unordered_map<ServiceId, const ServiceConfig*> m_services;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_ROUTE_TABLE_H_
