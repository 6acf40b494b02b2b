// Builds the supervision tree of three groups: "links" to the platform and the
// peers, "decisions" about upstreams and orders, and "faces", the servers for
// callers and operators. A group whose components keep failing is restarted as
// a whole.

#include "daemon/daemon.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <memory>
#include <random>
#include <stdexcept>
#include <system_error>

#include <sys/signalfd.h>
#include <unistd.h>

#include "daemon/admin.h"
#include "daemon/config_feed.h"
#include "daemon/context.h"
#include "daemon/fleet_view.h"
#include "daemon/front.h"
#include "daemon/log.h"
#include "daemon/order_coordinator.h"
#include "daemon/owner_host.h"
#include "daemon/peer_link.h"
#include "daemon/permit_coordinator.h"
#include "net/owned_timer.h"
#include "router/held_signals.h"
#include "router/standstill.h"
#include "walnutwing/base/result_code.h"

namespace walnutwing {
namespace {

constexpr Duration kStopCheckInterval = std::chrono::milliseconds(50);
// Connections are still accepted for this long after the stop was announced,
// for callers and peers that have not learned of it yet.
constexpr Duration kStopAcceptingDelay = std::chrono::milliseconds(500);
constexpr Duration kTickInterval = std::chrono::milliseconds(200);

class Daemon
{
public:
  explicit Daemon(const DaemonSettings& aSettings)
    : m_settings(aSettings)
    , m_random(std::random_device{}())
    , m_tracer(aSettings.m_id.Value(), aSettings.m_traceFile, m_random())
    , m_http(m_loop)
    , m_platform(m_loop,
                 m_http,
                 net::Endpoint::Parse(aSettings.m_platformAddress).value(),
                 aSettings.m_zone,
                 aSettings.m_platformTimeout)
    , m_budget(BudgetOptions(aSettings), m_loop.Now())
    , m_context{ m_loop,
                 m_settings,
                 m_metrics,
                 m_tracer,
                 m_http,
                 m_platform,
                 m_budget,
                 m_random,
                 static_cast<std::uint64_t>(
                   m_loop.WallNow().time_since_epoch().count()) }
    , m_root("daemon", {}, Hooks(), nullptr, [this] { GiveUp(); })
    , m_tickTimer(m_loop)
    , m_stopCheckTimer(m_loop)
    , m_stopLimitTimer(m_loop)
  {
    if (!m_settings.m_curveSecretKeyFile.empty()) {
      m_context.m_hintSigner.emplace(
        std::vector{ ReadFleetSecret(m_settings) });
    }
    AddComponents();
  }

  int Run()
  {
    WatchSignals();
    m_standstill.OnTick(router::TimeSinceBoot());
    m_tickTimer.Every(kTickInterval,
                      [this] { m_standstill.OnTick(router::TimeSinceBoot()); });
    m_root.Start();
    LogEvent(LogLevel::Info,
             "started",
             { { "daemon", m_settings.m_id.Value() },
               { "zone", m_settings.m_zone.Value() },
               { "listen", m_settings.m_listen } });
    m_loop.Run();
    m_root.Stop();
    return m_exitStatus;
  }

private:
  static ByteBudgetOptions BudgetOptions(const DaemonSettings& aSettings)
  {
    ByteBudgetOptions options;
    // The setting counts both directions, the budget only sent bytes; on
    // average a daemon receives as much as it sends.
    options.m_bytesPerSecond =
      static_cast<std::uint32_t>(aSettings.m_controlBytesPerSecond / 2);
    return options;
  }

  SupervisorHooks Hooks()
  {
    return { [this] { return m_loop.Now(); },
             [this](Duration aDelay, std::function<void()> aFunction) {
               m_loop.After(aDelay, std::move(aFunction));
             },
             [this](const std::string& aChild, const std::string& aReason) {
               if (aReason.empty()) {
                 LogEvent(LogLevel::Info,
                          "component_started",
                          { { "component", aChild } });
                 return;
               }
               ++m_metrics.Counter("component_failures_total",
                                   "component=\"" + aChild + "\"");
               LogEvent(LogLevel::Error,
                        "component_failed",
                        { { "component", aChild }, { "why", aReason } });
             } };
  }

  void AddComponents()
  {
    Supervisor& links = m_root.AddSupervisor("links", {});
    m_context.m_peers = &links.Add<PeerLink>(
      "peer_link", [this] { return std::make_unique<PeerLink>(m_context); });
    m_context.m_fleet = &links.Add<FleetView>(
      "fleet_view", [this] { return std::make_unique<FleetView>(m_context); });
    m_context.m_config = &links.Add<ConfigFeed>("config_feed", [this] {
      return std::make_unique<ConfigFeed>(m_context);
    });
    Supervisor& decisions = m_root.AddSupervisor("decisions", {});
    m_context.m_owners = &decisions.Add<OwnerHost>(
      "owner_host", [this] { return std::make_unique<OwnerHost>(m_context); });
    m_context.m_permits =
      &decisions.Add<PermitCoordinator>("permit_desk", [this] {
        return std::make_unique<PermitCoordinator>(m_context);
      });
    m_context.m_orders = &decisions.Add<OrderCoordinator>("order_desk", [this] {
      return std::make_unique<OrderCoordinator>(m_context);
    });
    Supervisor& servers = m_root.AddSupervisor("faces", {});
    m_context.m_front = &servers.Add<Front>(
      "front", [this] { return std::make_unique<Front>(m_context); });
    servers.Add<Admin>(
      "admin", [this] { return std::make_unique<Admin>(m_context, m_root); });
  }

  // Reads the signals, which are held back since the start, from a descriptor,
  // so that the event loop handles them like all other events.
  void WatchSignals()
  {
    const sigset_t signals = router::ControlSignals();
    const int descriptor = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    if (descriptor < 0) {
      throw std::system_error(errno, std::generic_category(), "signalfd");
    }
    m_signals = m_loop.WatchReadable(descriptor, [this, descriptor] {
      signalfd_siginfo info{};
      while (read(descriptor, &info, sizeof(info)) == sizeof(info)) {
        if (info.ssi_signo == SIGHUP) {
          LogEvent(LogLevel::Warning,
                   "reload_ignored",
                   { { "why", "settings are read at the start only" } });
        } else {
          OnStopSignal();
        }
      }
    });
  }

  void OnStopSignal()
  {
    if (m_context.m_stopping) {
      TerminateAndStop("second signal");
      return;
    }
    m_context.m_stopping = true;
    // The time until the process is killed runs from when the signal was sent.
    const Duration waited = m_standstill.LongestWait(router::TimeSinceBoot());
    LogEvent(LogLevel::Info,
             "stopping",
             { { "waited_ms", std::to_string(waited.count()) } });
    m_context.m_fleet->Call([](FleetView& aFleet) { aFleet.OnStop(); });
    m_loop.After(kStopAcceptingDelay, [this] {
      m_context.m_front->Call([](Front& aFront) { aFront.StopAccepting(); });
      m_context.m_orders->Call(
        [](OrderCoordinator& aOrders) { aOrders.OnStop(); });
      m_stopCheckTimer.Every(kStopCheckInterval, [this] { StopIfIdle(); });
    });
    m_stopLimitTimer.After(
      std::max(m_settings.m_stopLimit - waited, Duration::zero()),
      [this] { TerminateAndStop("stop limit"); });
  }

  void StopIfIdle()
  {
    const Front* front = m_context.m_front->Peek();
    const OrderCoordinator* orders = m_context.m_orders->Peek();
    const bool busy = (front != nullptr && front->InProgressCount() != 0) ||
                      (orders != nullptr && !orders->Idle());
    if (!busy) {
      LogEvent(LogLevel::Info, "stopped", { { "requests_cut", "0" } });
      m_loop.Stop();
    }
  }

  void TerminateAndStop(const char* aReason)
  {
    std::size_t terminated = 0;
    m_context.m_front->Call(
      [&](Front& aFront) { terminated = aFront.TerminateAll(); });
    if (terminated != 0) {
      m_exitStatus = ExitStatusOf(ResultCode::StopCutRequests);
    }
    LogEvent(
      LogLevel::Warning,
      "stopped",
      { { "why", aReason }, { "requests_cut", std::to_string(terminated) } });
    // Lets the loop run a little longer, so that the last bytes are sent.
    m_loop.After(kStopCheckInterval, [this] { m_loop.Stop(); });
  }

  // Ends the process with status 1; the platform then replaces its VM.
  void GiveUp()
  {
    LogEvent(
      LogLevel::Error, "gave_up", { { "why", "components keep failing" } });
    m_exitStatus = 1;
    m_loop.Stop();
  }

  const DaemonSettings& m_settings;
  net::EventLoop m_loop;
  std::mt19937_64 m_random;
  Metrics m_metrics;
  Tracer m_tracer;
  net::HttpClient m_http;
  PlatformClient m_platform;
  ByteBudget m_budget;
  Context m_context;
  Supervisor m_root;
  router::Standstill m_standstill{ router::Standstill::kMaxSignalGap };
  net::OwnedTimer m_tickTimer;
  net::OwnedTimer m_stopCheckTimer;
  net::OwnedTimer m_stopLimitTimer;
  std::unique_ptr<net::ReadableWatch> m_signals;
  int m_exitStatus = 0;
};

} // namespace

int
RunDaemon(const std::string& aSettingsFile)
{
  router::HoldSignals();
  try {
    const DaemonSettings settings = LoadDaemonSettings(aSettingsFile);
    StartLog(settings.m_logLevel);
    return Daemon(settings).Run();
  } catch (const SettingsError& error) {
    std::cerr << error.what() << "\n";
    return ExitStatusOf(error.Code());
  } catch (const std::invalid_argument& error) {
    // CURVE keys that are not valid Z85: loading the settings checks only their
    // length, decoding them throws.
    const ResultCodeRow& row = RowOf(ResultCode::SettingsBadValue);
    std::cerr << aSettingsFile << ": [peers] curve keys: " << error.what()
              << ": error " << static_cast<int>(row.m_code) << " " << row.m_name
              << "\n";
    return ExitStatusOf(row.m_code);
  } catch (const std::system_error& error) {
    const ResultCodeRow& row = RowOf(ResultCode::AddressInUse);
    std::cerr << "error " << static_cast<int>(row.m_code) << " " << row.m_name
              << ": " << error.what() << "\n";
    return ExitStatusOf(row.m_code);
  }
}

} // namespace walnutwing
