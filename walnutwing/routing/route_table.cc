// Every prefix begins and ends with a slash, so only the prefixes that end at
// one of the path's slashes can match it. They are tried from the longest to
// the shortest; each try is one hash lookup.

#include "walnutwing/routing/route_table.h"

#include <utility>

namespace walnutwing {
namespace {

std::string
LowerHost(std::string_view aHost)
{
  const std::size_t colon = aHost.rfind(':');
  std::string host(aHost.substr(0, colon));
  for (char& c : host) {
    c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  }
  return host;
}

} // namespace

RouteTable::RouteTable(RoutingConfig aConfig)
  : m_config(std::move(aConfig))
{
  for (const Route& route : m_config.m_routes) {
    m_routes.emplace(route.m_host + route.m_pathPrefix, &route);
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
  std::string key = LowerHost(aHost);
  const std::size_t hostSize = key.size();
  key += aPath;
  std::size_t end = key.rfind('/');
  while (end != std::string::npos && end >= hostSize) {
    const auto found = m_routes.find(std::string_view(key).substr(0, end + 1));
    if (found != m_routes.end()) {
      return found->second;
    }
    if (end == 0) {
      break;
    }
    end = key.rfind('/', end - 1);
  }
  return nullptr;
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
