#ifndef WALNUTWING_ROUTER_FRONT_H_
#define WALNUTWING_ROUTER_FRONT_H_

// Accepts callers' connections and keeps track of the open ones. Callers may
// take a half of the process's descriptors, as each request needs one for its
// upstream too. A connection over that is accepted in the place of those that
// have been idle for the longest. If none is idle, one that the memory's ledger
// names is ended to make room for the next, and this one is closed if there is
// no room yet.

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
  // Returns whether there is room for another connection.
  bool MakeRoom();
  std::size_t MaxConnections() const;
  void CloseLongestIdle();

  Context& m_context;
  std::function<bool()> m_canServe;
  Time m_startedAt;
  std::uint64_t m_systemDescriptors;
  Acceptor m_acceptor;
  Timer m_readyTimer; // of AcceptWhenReady
  std::unordered_set<std::shared_ptr<CallerConnection>> m_connections;
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_FRONT_H_
