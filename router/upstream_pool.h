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
  // one. aOnce: the request must not run twice, so a kept connection is used
  // only if it was in use a moment ago and is still clean. aMostConnections
  // bounds the connections to that address, 0: no bound. Null when the address
  // cannot be read or the bound is reached; nothing has been sent then.
  std::shared_ptr<UpstreamConnection> Send(const std::string& aAddress,
                                           UpstreamRequest aRequest,
                                           bool aOnce,
                                           std::uint32_t aMostConnections,
                                           AnswerReceiver& aReceiver);

  // Closes the idle connections to an address that is no longer in use.
  void Forget(const std::string& aAddress);

  std::uint64_t Opened() const { return m_opened; }

private:
  struct Idle
  {
    std::shared_ptr<UpstreamConnection> m_connection;
    Time m_since;
  };
  struct Place
  {
    std::vector<Idle> m_idle; // the one used last is at the end
    std::uint32_t m_open = 0;
  };

  std::shared_ptr<UpstreamConnection> TakeIdle(Place& aPlace, bool aOnce);
  std::shared_ptr<UpstreamConnection> Open(const std::string& aAddress,
                                           const Tcp::endpoint& aEndpoint);
  void OnFree(const std::string& aAddress,
              std::shared_ptr<UpstreamConnection> aConnection,
              std::optional<Duration> aKeepAlive);

  Loop& m_loop;
  std::map<std::string, Place> m_places;
  std::uint64_t m_opened = 0;
};

// "IP:port" as an endpoint; nothing when it is not that.
std::optional<Tcp::endpoint>
ParseEndpoint(const std::string& aAddress);

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_UPSTREAM_POOL_H_
