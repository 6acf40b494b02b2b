#ifndef WALNUTWING_DAEMON_CONTEXT_H_
#define WALNUTWING_DAEMON_CONTEXT_H_

// What the components of a daemon share: the event loop, the settings, the
// process's clients and metrics, and access to each other. Components call each
// other only through Child::Call, so that an exception in one component does
// not propagate into another.

#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "daemon/platform_client.h"
#include "daemon/supervisor.h"
#include "daemon/trace.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "walnutwing/base/metrics.h"
#include "walnutwing/config/settings.h"
#include "walnutwing/membership/byte_budget.h"
#include "walnutwing/placement/chat_hint.h"

namespace walnutwing {

class ConfigFeed;
class FleetView;
class Front;
class OrderCoordinator;
class OwnerHost;
class PeerLink;
class PermitCoordinator;

struct Context
{
  net::EventLoop& m_loop;
  const DaemonSettings& m_settings;
  Metrics& m_metrics;
  Tracer& m_tracer;
  net::HttpClient& m_http;
  PlatformClient& m_platform;
  ByteBudget& m_budget;
  std::mt19937_64& m_random;

  // Increases with each start of the process and of a component that takes a
  // new incarnation.
  std::uint64_t m_incarnation;
  std::uint64_t NextIncarnation() { return ++m_incarnation; }

  // Last id of a search for a permit. Kept here, so that ids stay unique in the
  // process when a component restarts.
  std::uint64_t m_lastSearchId = 0;

  Child<PeerLink>* m_peers = nullptr;
  Child<FleetView>* m_fleet = nullptr;
  Child<ConfigFeed>* m_config = nullptr;
  Child<OwnerHost>* m_owners = nullptr;
  Child<PermitCoordinator>* m_permits = nullptr;
  Child<OrderCoordinator>* m_orders = nullptr;
  Child<Front>* m_front = nullptr;

  // Signs and verifies the placement hints that callers carry; empty without a
  // fleet key.
  std::optional<HintSigner> m_hintSigner = std::nullopt;

  bool m_stopping = false; // a graceful stop has begun
};

} // namespace walnutwing

#endif // WALNUTWING_DAEMON_CONTEXT_H_
