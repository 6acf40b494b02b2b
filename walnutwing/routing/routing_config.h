#ifndef WALNUTWING_ROUTING_ROUTING_CONFIG_H_
#define WALNUTWING_ROUTING_ROUTING_CONFIG_H_

// The operators' routing configuration: which requests go to which service, how
// long they may take, which may be retried, and which customer keys are valid.
// One version is in force at a time and is immutable.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"

namespace walnutwing {

// The kind of a route's requests, which determines whether they may be retried.
enum class RouteKind
{
  Stream, // a stream of a model engine; retried only if the route is resumable
  Order,  // runs at most once per attempt of a caller
  Lookup, // idempotent, so it may be retried
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
  Duration m_timeout{}; // maximum time that a caller waits
  // Target time to the answer; for a stream, to its first event.
  Duration m_targetLatency{};
  Duration m_targetGap{};       // target time between two events of a stream
  std::uint32_t m_priority = 0; // 0 is the most urgent
  std::vector<WeightedService> m_services;
  std::uint32_t m_maxAttempts = 1; // upstreams that may run one request
  bool m_public = false;           // no customer key is needed
  bool m_resumable = false; // a broken stream may be resumed at another engine
};

struct ServiceConfig
{
  ServiceId m_id;
  std::uint32_t m_maxConnections = 0; // to one upstream, from all daemons
  Duration m_coldTime{}; // how long an upstream stays cold after its start
  // Requests per second that a cold upstream can take; 0: no limit.
  double m_coldPerSecond = 0;
};

// Limits of one caller's connection.
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
  std::optional<std::uint32_t> m_priority; // overrides the route's priority
};

struct RoutingConfig
{
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::vector<ServiceConfig> m_services;
  CallerLimits m_limits;
  bool m_keysRequired = false; // whether requests must carry a customer key
  std::vector<RoutingCustomer> m_customers;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_ROUTING_CONFIG_H_
