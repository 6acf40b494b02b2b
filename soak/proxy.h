#ifndef WALNUTWING_SOAK_PROXY_H_
#define WALNUTWING_SOAK_PROXY_H_

// A TCP proxy on loopback between two processes that can delay, reset or
// silence their connections. A silenced connection keeps its data and forwards
// it when the fault ends, as after a network partition.

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
  Delay,   // forwards each chunk of data after kProxyDelay
  Reset,   // resets open connections at once, new ones on accept
  Silence, // forwards nothing, in either direction
  Refuse,  // answers each request of the client with 503
  OneWay,  // forwards nothing from the target to the client
};

inline constexpr Duration kProxyDelay{ 120 };

class Proxy
{
public:
  // Listens on aListen and connects to aTarget, both "IP:port". Throws if
  // aListen cannot be bound.
  Proxy(boost::asio::io_context& aLoop,
        const std::string& aListen,
        const std::string& aTarget);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  void SetMode(ProxyMode aMode);
  // Applies to new connections only.
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

// Parses an IPv4 "IP:port"; throws if it is invalid.
boost::asio::ip::tcp::endpoint
ParseEndpoint(const std::string& aText);

} // namespace walnutwing::soak

#endif // WALNUTWING_SOAK_PROXY_H_
