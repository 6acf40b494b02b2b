// Every prefix begins and ends with a slash, so only the prefixes that end at
// one of the path's slashes can match it. They are tried from the longest to
// the shortest; each try is one hash lookup.

#include "walnutwing/routing/route_table.h"

#include <utility>

#include "walnutwing/http/request_head.h"

namespace walnutwing {

RouteTable::RouteTable(RoutingConfig aConfig)
  : m_config(std::move(aConfig))
{
  for (const Route& route : m_config.m_routes) {
    m_routes[route.m_host].emplace(route.m_pathPrefix, &route);
  }
  for (const RoutingCustomer& customer : m_config.m_customers) {
    for (const std::string& key : customer.m_keys) {
      m_customers.emplace(key, &customer);
    }
  }
  for (const ServiceConfig& service : m_config.m_services) {
    m_services.emplace(service.m_id, &service);
  }
}

const Route*
RouteTable::Find(std::string_view aHost, std::string_view aPath) const
{
  const auto host = m_routes.find(HostOf(aHost));
  if (host == m_routes.end() || !aPath.starts_with('/')) {
    return nullptr;
  }
  for (std::size_t end = aPath.rfind('/');; end = aPath.rfind('/', end - 1)) {
    const auto found = host->second.find(aPath.substr(0, end + 1));
    if (found != host->second.end()) {
      return found->second;
    }
    if (end == 0) {
      return nullptr;
    }
  }
}

const RoutingCustomer*
RouteTable::CustomerOf(std::string_view aKey) const
{
  const auto found = m_customers.find(aKey);
  return found == m_customers.end() ? nullptr : found->second;
}

const ServiceConfig*
RouteTable::Service(const ServiceId& aService) const
{
  const auto found = m_services.find(aService);
  return found == m_services.end() ? nullptr : found->second;
}

const ServiceId*
RouteTable::ServiceOf(const Route& aRoute, std::uint64_t aHash)
{
  std::uint64_t total = 0;
  for (const WeightedService& service : aRoute.m_services) {
    total += service.m_weight;
  }
  if (total == 0) {
    return aRoute.m_services.empty() ? nullptr
                                     : &aRoute.m_services.front().m_service;
  }
  std::uint64_t point = aHash % total;
  for (const WeightedService& service : aRoute.m_services) {
    if (point < service.m_weight) {
      return &service.m_service;
    }
    point -= service.m_weight;
  }
  return nullptr;
}

} // namespace walnutwing
