#ifndef WALNUTWING_ROUTING_ROUTING_CONFIG_H_
#define WALNUTWING_ROUTING_ROUTING_CONFIG_H_

// What operators decide about routing: which requests go to which service, how
// long they may take and what may be repeated, and whose keys are good. One
// version of it is in force at a time and is never changed in place.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"

namespace walnutwing {

// What a route's requests are, hence what may be repeated.
enum class RouteKind
{
  Stream, // events of a model engine; repeated only where it is resumable
  Order,  // runs at most once for each attempt of a caller
  Lookup, // idempotent
};

// "stream", "order", "lookup".
std::string_view
NameOf(RouteKind aKind);

struct WeightedService
{
  ServiceId m_service;
  std::uint32_t m_weight = 1; // share of the route's requests
};

struct Route
{
  std::string m_name;
  std::string m_host;       // lower case, without a port
  std::string m_pathPrefix; // begins and ends with '/'
  RouteKind m_kind = RouteKind::Order;
  Duration m_timeout{};         // longest time that a caller is kept waiting
  Duration m_targetLatency{};   // an answer (a stream's first event) later than
                                // this is late
  Duration m_targetGap{};       // the same for the pause between two events
  std::uint32_t m_priority = 0; // 0 is the most urgent
  std::vector<WeightedService> m_services;
  std::uint32_t m_maxAttempts = 1; // upstreams that may run one request
  bool m_public = false;           // no customer key is needed
  bool m_resumable = false; // a broken stream may go on at another engine
};

struct ServiceConfig
{
  ServiceId m_id;
  std::uint32_t m_maxConnections = 0; // of one upstream, from all daemons
  Duration m_coldTime{};              // how long a fresh upstream stays cold
  double m_coldPerSecond = 0; // requests that a cold upstream bears; 0: any
};

// What one caller's connection may do.
struct CallerLimits
{
  std::uint32_t m_maxHeaderBytes = 16U << 10U;
  std::uint64_t m_maxBodyBytes = 4U << 20U;
  Duration m_headerTimeout = std::chrono::seconds(3);
  Duration m_idleTimeout = std::chrono::seconds(15);
};

struct RoutingCustomer
{
  CustomerId m_id;
  std::vector<std::string> m_keys;
  std::optional<std::uint32_t> m_priority; // goes before the route's
};

struct RoutingConfig
{
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::vector<ServiceConfig> m_services;
  CallerLimits m_limits;
  bool m_keysRequired = false; // whether requests carry customers' keys
  std::vector<RoutingCustomer> m_customers;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_ROUTING_CONFIG_H_
