#ifndef WALNUTWING_ROUTER_ACCEPTOR_H_
#define WALNUTWING_ROUTER_ACCEPTOR_H_

// Accepts connections at one address. A failed accept, as when descriptors run
// out, is repeated after a delay, since the connection that waits would make
// the next one fail at once.

#include <functional>

#include <boost/asio/basic_socket_acceptor.hpp>

#include "router/asio.h"

namespace walnutwing::router {

class Acceptor
{
public:
  // Binds and listens; connections wait until Start. Throws
  // boost::system::system_error if the address cannot be bound.
  Acceptor(Loop& aLoop,
           const Tcp::endpoint& aEndpoint,
           std::function<void(Socket)> aOnAccepted,
           std::function<void(const error_code&)> aOnFailed);
  Acceptor(const Acceptor&) = delete;
  Acceptor& operator=(const Acceptor&) = delete;

  void Start();

  // Accepts the connections that already wait, as closing the socket would
  // reset them, and stops listening for good.
  void Stop();

private:
  void AcceptWaiting();

  asio::basic_socket_acceptor<Tcp, Executor> m_acceptor;
  Timer m_retryTimer;
  bool m_stopped = false;
  std::function<void(Socket)> m_onAccepted;
  std::function<void(const error_code&)> m_onFailed;
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_ACCEPTOR_H_
