#ifndef WALNUTWING_ROUTER_UPSTREAM_POOL_H_
#define WALNUTWING_ROUTER_UPSTREAM_POOL_H_

// Connections to upstreams, kept for the next request. The one used last goes
// first: it is the least likely to have been closed by its upstream meanwhile.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "router/upstream_connection.h"

namespace walnutwing::router {

class UpstreamPool
{
public:
  explicit UpstreamPool(Loop& aLoop)
    : m_loop(aLoop)
  {
  }
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  // Sends a request to aAddress ("IP:port") over a kept connection or a new
  // one. aNonIdempotent: the request must not run twice, so a kept connection
  // is used only if it was in use a moment ago and is still clean.
  // aMaxConnections bounds the connections to that address, 0: no bound. Null
  // when the address cannot be read or the bound is reached; nothing has been
  // sent then.
  std::shared_ptr<UpstreamConnection> Send(const std::string& aAddress,
                                           UpstreamRequest aRequest,
                                           bool aNonIdempotent,
                                           std::uint32_t aMaxConnections,
                                           ResponseReceiver& aReceiver);

  // Closes the idle connections to an address that is no longer in use.
  void CloseIdleConnections(const std::string& aAddress);

  std::uint64_t Opened() const { return m_opened; }

private:
  struct IdleConnection
  {
    std::shared_ptr<UpstreamConnection> m_connection;
    Time m_since;
  };
  struct AddressEntry
  {
    std::vector<IdleConnection> m_idle; // the one used last is at the end
    std::uint32_t m_open = 0;
  };

  std::shared_ptr<UpstreamConnection> TakeIdle(AddressEntry& aEntry,
                                               bool aNonIdempotent);
  std::shared_ptr<UpstreamConnection> OpenConnection(
    const std::string& aAddress,
    const Tcp::endpoint& aEndpoint);
  void OnReusable(const std::string& aAddress,
                  std::shared_ptr<UpstreamConnection> aConnection,
                  std::optional<Duration> aKeepAlive);

  Loop& m_loop;
  std::map<std::string, AddressEntry> m_addresses;
  std::uint64_t m_opened = 0;
};

// "IP:port" as an endpoint; nothing when it is not that.
std::optional<Tcp::endpoint>
ParseEndpoint(const std::string& aAddress);

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_UPSTREAM_POOL_H_
