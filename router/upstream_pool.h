#ifndef WALNUTWING_ROUTER_UPSTREAM_POOL_H_
#define WALNUTWING_ROUTER_UPSTREAM_POOL_H_

// Pool of persistent connections to upstreams. The most recently used one is
// reused first, as its upstream is the least likely to have closed it
// meanwhile.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "router/upstream_connection.h"

namespace walnutwing::router {

// Which connections a request may be sent over.
enum class ConnectionUse
{
  Any,          // an idle one or a new one
  RecentlyUsed, // the same, but an idle one only if it was in use very recently
  New,
};

class UpstreamPool
{
public:
  explicit UpstreamPool(Loop& aLoop)
    : m_loop(aLoop)
  {
  }
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  // Sends a request to aAddress ("IP:port"). aMaxConnections limits the
  // connections to that address; 0 means no limit. Returns null, with nothing
  // sent, if the address is invalid or the limit is reached.
  std::shared_ptr<UpstreamConnection> Send(const std::string& aAddress,
                                           UpstreamRequest aRequest,
                                           ConnectionUse aUse,
                                           std::uint32_t aMaxConnections,
                                           ResponseReceiver& aReceiver);

  // Closes all idle connections to an address.
  void CloseIdleConnections(const std::string& aAddress);

  // Connections opened since the start.
  std::uint64_t OpenedTotal() const { return m_openedTotal; }

private:
  struct IdleConnection
  {
    std::shared_ptr<UpstreamConnection> m_connection;
    Time m_since;
  };
  struct AddressEntry
  {
    std::vector<IdleConnection> m_idle; // the most recently used one is last
    std::uint32_t m_open = 0;
  };

  std::shared_ptr<UpstreamConnection> TakeIdle(AddressEntry& aEntry,
                                               ConnectionUse aUse,
                                               const std::string& aAttemptId);
  std::shared_ptr<UpstreamConnection> OpenConnection(
    const std::string& aAddress,
    const Tcp::endpoint& aEndpoint);
  void OnReusable(const std::string& aAddress,
                  std::shared_ptr<UpstreamConnection> aConnection,
                  std::optional<Duration> aKeepAlive);

  Loop& m_loop;
  std::map<std::string, AddressEntry> m_addresses;
  std::uint64_t m_openedTotal = 0;
};

// Parses "IP:port" (IPv4). Returns nullopt if it is malformed.
std::optional<Tcp::endpoint>
ParseEndpoint(const std::string& aAddress);

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_UPSTREAM_POOL_H_
