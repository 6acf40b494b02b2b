#ifndef WALNUTWING_DAEMON_ADMIN_H_
#define WALNUTWING_DAEMON_ADMIN_H_

// HTTP server for operators, on its own address:
//   GET /healthz  200 while the event loop runs
//   GET /readyz   200 if the load balancer may route callers here, else 503
//   GET /metrics  metrics in the Prometheus text format
//   GET /status   this daemon's view of the fleet, as JSON
//   GET /order?customer=NAME&key=KEY  status of an order, as JSON

#include <memory>
#include <string>

#include "daemon/context.h"
#include "net/http_server.h"

namespace walnutwing {

class Admin
{
public:
  // Starts to listen. aRoot supplies the names of components that are down.
  // Throws std::system_error if the address cannot be bound.
  Admin(Context& aContext, const Supervisor& aRoot);

private:
  void OnRequest(net::Exchange& aExchange);
  // Returns an empty string if the daemon is ready.
  std::string NotReadyReason() const;
  std::string StatusJson() const;
  void RespondWithOrderStatus(net::Exchange& aExchange) const;

  Context& m_context;
  const Supervisor& m_root;
  net::HttpServer m_server;
};

} // namespace walnutwing

#endif // WALNUTWING_DAEMON_ADMIN_H_
