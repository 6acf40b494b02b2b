#ifndef WALNUTWING_ROUTER_ROUTED_REQUEST_H_
#define WALNUTWING_ROUTER_ROUTED_REQUEST_H_

// A caller's request, and what the configuration in force at its arrival says
// of it: its route, its service and its customer. It stays with that version of
// the configuration, whatever comes into force meanwhile.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "platform/request_codec.h"
#include "router/stream_resumption.h"
#include "router/upstream_connection.h"
#include "walnutwing/base/result_code.h"
#include "walnutwing/routing/route_table.h"
#include "walnutwing/routing/trait_breaker.h"
#include "walnutwing/routing/upstream_selector.h"

namespace walnutwing::router {

using CallerRequest =
  boost::beast::http::request<boost::beast::http::string_body>;

class RoutedRequest
{
public:
  // aRoutes: the version in force; null if there is none yet.
  RoutedRequest(std::shared_ptr<const RouteTable> aRoutes,
                CallerRequest aRequest);
  RoutedRequest(const RoutedRequest&) = delete;
  RoutedRequest& operator=(const RoutedRequest&) = delete;

  // Finds the route and the service, and identifies the customer. Returns why
  // the request is refused; nothing if it may go on.
  std::optional<ResultCode> FindRoute(const StreamResumption& aResumption);
  std::optional<ResultCode> FindCustomer();

  const platform::CallerFacts& Facts() const { return m_facts; }
  bool HasRoute() const { return m_route != nullptr; }
  // The following need a route.
  const Route& GetRoute() const { return *m_route; }
  const ServiceId& Service() const { return m_serviceId; }
  std::uint64_t ConfigVersion() const { return m_routes->Version(); }

  // Its fingerprint and the shared parts of its prompt.
  RequestTraits Traits() const;
  std::uint32_t Priority() const; // 0 is the most urgent
  CustomerId Customer() const;    // empty if unknown
  std::size_t Bytes() const;      // of its body
  // Whether it may run more than once.
  bool IsRepeatable() const;

  // What follows from it for the choice of an upstream. aColdFactor: multiple
  // of the configured rate that a cold upstream may get.
  SelectionRequest MakeSelection(double aColdFactor) const;

  // The request as it is sent to aUpstream. aResumeAfter: id of the last event
  // that was forwarded; "" if no stream is resumed.
  UpstreamRequest MakeUpstreamRequest(const UpstreamId& aUpstream,
                                      Duration aTimeLeft,
                                      const std::string& aResumeAfter) const;

  // Connections that one of aDaemons may have to an upstream; 0: any number.
  std::uint32_t MaxConnections(std::uint32_t aDaemons) const;

private:
  std::shared_ptr<const RouteTable> m_routes;
  CallerRequest m_request;
  platform::CallerFacts m_facts;
  const Route* m_route = nullptr;
  const RoutingCustomer* m_customer = nullptr;
  const ServiceConfig* m_service = nullptr; // null if it has no entry
  ServiceId m_serviceId;
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_ROUTED_REQUEST_H_
