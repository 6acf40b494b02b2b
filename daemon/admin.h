#ifndef WALNUTWING_DAEMON_ADMIN_H_
#define WALNUTWING_DAEMON_ADMIN_H_

// The operators' side, on an address of its own:
//   GET /healthz  200 while the loop turns
//   GET /readyz   200 when the balancer may send callers here, else 503
//   GET /metrics  Prometheus text
//   GET /status   what this daemon sees, as JSON
//   GET /order?customer=NAME&key=KEY  what is known of an order, as JSON

#include <memory>
#include <string>

#include "daemon/context.h"
#include "net/http_server.h"

namespace walnutwing {

class Admin
{
public:
  // Listens at once. Throws std::system_error if the address cannot be bound.
  Admin(Context& aContext, const Supervisor& aRoot);

private:
  void OnRequest(net::Exchange& aExchange);
  std::string NotReadyReason() const;
  std::string StatusJson() const;
  void RespondWithOrderStatus(net::Exchange& aExchange) const;

  Context& m_context;
  const Supervisor& m_root;
  net::HttpServer m_server;
};

} // namespace walnutwing

#endif // WALNUTWING_DAEMON_ADMIN_H_
