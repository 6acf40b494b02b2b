#ifndef WALNUTWING_DAEMON_CONTEXT_H_
#define WALNUTWING_DAEMON_CONTEXT_H_

// What the components of a daemon share: the loop, the settings, the process's
// clients and counters, and each other. Components reach one another only
// through their Child, so that one that fails takes no other with it.

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

  // Larger after each start of this process and of a component in it.
  std::uint64_t m_incarnation;
  std::uint64_t NextIncarnation() { return ++m_incarnation; }

  // Ids of searches for permits; unique in this process, whatever restarts.
  std::uint64_t m_lastSearchId = 0;

  Child<PeerLink>* m_peers = nullptr;
  Child<FleetView>* m_fleet = nullptr;
  Child<ConfigFeed>* m_config = nullptr;
  Child<OwnerHost>* m_owners = nullptr;
  Child<PermitCoordinator>* m_permits = nullptr;
  Child<OrderCoordinator>* m_orders = nullptr;
  Child<Front>* m_front = nullptr;

  // Signs the hints that callers carry; none without a fleet key.
  std::optional<HintSigner> m_hintSigner = std::nullopt;

  bool m_stopping = false;
};

} // namespace walnutwing

#endif // WALNUTWING_DAEMON_CONTEXT_H_
