#ifndef WALNUTWING_ROUTER_PAGE_SERVER_H_
#define WALNUTWING_ROUTER_PAGE_SERVER_H_

// A small HTTP server for pages that are generated synchronously: readiness and
// metrics.

#include <functional>
#include <string>
#include <string_view>

#include "router/acceptor.h"

namespace walnutwing::router {

struct Page
{
  int m_status = 200;
  std::string m_type = "text/plain";
  std::string m_body;
};

class PageServer
{
public:
  using Handler = std::function<Page(std::string_view aPath)>;

  // Throws boost::system::system_error if the address cannot be bound.
  // aOnAcceptFailed is called for each connection that could not be accepted.
  PageServer(Loop& aLoop,
             const Tcp::endpoint& aEndpoint,
             Handler aHandler,
             std::function<void(const error_code&)> aOnAcceptFailed);
  PageServer(const PageServer&) = delete;
  PageServer& operator=(const PageServer&) = delete;

private:
  class Session;

  Loop& m_loop;
  Handler m_handler;
  Acceptor m_acceptor;
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_PAGE_SERVER_H_
