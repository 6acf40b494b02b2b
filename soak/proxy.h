#ifndef WALNUTWING_SOAK_PROXY_H_
#define WALNUTWING_SOAK_PROXY_H_

// A proxy on loopback between two processes, which delays, resets or silences
// what passes. A connection that is silenced keeps its bytes: they go on when
// the fault ends, as after a cut of the network.

#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "walnutwing/base/clock.h"

namespace walnutwing::soak {

enum class ProxyMode
{
  Pass,
  Delay,   // every piece by kProxyDelay
  Reset,   // open connections at once, new ones as they come
  Silence, // both ways
  OneWay,  // what comes back
};

inline constexpr Duration kProxyDelay{ 120 };

class Proxy
{
public:
  // Listens on aListen and connects to aTarget, both "IP:port".
  Proxy(boost::asio::io_context& aLoop,
        const std::string& aListen,
        const std::string& aTarget);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  void SetMode(ProxyMode aMode);
  // Of connections from now on.
  void SetTarget(const std::string& aTarget);

private:
  class Connection;

  void Accept();

  boost::asio::io_context& m_loop;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::ip::tcp::endpoint m_target;
  ProxyMode m_mode = ProxyMode::Pass;
  std::list<std::weak_ptr<Connection>> m_connections;
};

boost::asio::ip::tcp::endpoint
ParseEndpoint(const std::string& aText);

} // namespace walnutwing::soak

#endif // WALNUTWING_SOAK_PROXY_H_
