#ifndef WALNUTWING_ROUTER_FRONT_H_
#define WALNUTWING_ROUTER_FRONT_H_

// Accepts callers' connections and keeps track of the open ones.

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_set>
#include <vector>

#include "router/acceptor.h"
#include "router/caller_connection.h"

namespace walnutwing::router {

class Front
{
public:
  // Throws boost::system::system_error if the address cannot be bound.
  // aCanServe returns whether requests can be served; accepting starts once it
  // is true, or after a short time in any case.
  Front(Context& aContext, std::function<bool()> aCanServe);
  Front(const Front&) = delete;
  Front& operator=(const Front&) = delete;

  // Closes connections without a request in progress.
  void CloseIdleConnections();

  // Stops accepting connections.
  void StopAccepting();

  // Ends all requests in progress. Connections close once the callers have
  // taken what there is for them.
  void TerminateAll();

  // Logs what callers have not taken.
  void LogUnsent() const;

  std::size_t OpenConnections() const { return m_connections.size(); }

private:
  std::vector<std::shared_ptr<CallerConnection>> Connections() const;
  void AcceptWhenReady();
  void OnAccepted(Socket aSocket);

  Context& m_context;
  std::function<bool()> m_canServe;
  Time m_startedAt;
  Acceptor m_acceptor;
  Timer m_readyTimer; // of AcceptWhenReady
  std::unordered_set<std::shared_ptr<CallerConnection>> m_connections;
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_FRONT_H_
