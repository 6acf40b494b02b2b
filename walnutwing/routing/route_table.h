#ifndef WALNUTWING_ROUTING_ROUTE_TABLE_H_
#define WALNUTWING_ROUTING_ROUTE_TABLE_H_

// Finds the route and the customer of a request in one version of the
// operators' configuration. Built once per version. The cost of a lookup does
// not depend on the number of routes or keys.

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

  // The route of aHost with the longest path prefix that matches aPath; null if
  // there is none. aHost is the value of a Host field, whose case and port are
  // ignored; aPath begins with a slash and has no query.
  const Route* Find(std::string_view aHost, std::string_view aPath) const;

  // The customer that has this key; null for an unknown key.
  const RoutingCustomer* CustomerOf(std::string_view aKey) const;

  // Null for a service that is not in the configuration.
  const ServiceConfig* Service(const ServiceId& aService) const;

  // The service for one request of a route: aHash distributes requests over the
  // route's services by weight. Null for a route without services.
  static const ServiceId* ServiceOf(const Route& aRoute, std::uint64_t aHash);

private:
  // A transparent hash, so that lookups by string_view copy nothing.
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
  // By host, and then by prefix: no text of one can be read as the other.
  TextMap<TextMap<const Route*>> m_routes;
  TextMap<const RoutingCustomer*> m_customers;
  std::unordered_map<ServiceId, const ServiceConfig*> m_services;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_ROUTE_TABLE_H_
