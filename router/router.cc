// Creates the components and manages the process: settings, signals, readiness,
// metrics and the planned stop. FleetState maintains the view of the fleet, and
// Front serves the callers.

#include "router/router.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

#include <boost/asio/signal_set.hpp>
#include <sys/stat.h>
#include <unistd.h>

#include "platform/http_names.h"
#include "router/fleet_state.h"
#include "router/front.h"
#include "router/held_signals.h"
#include "router/limit_timer.h"
#include "router/page_server.h"
#include "router/request_record.h"
#include "router/stable_text.h"
#include "router/standstill.h"
#include "router/state_change_log.h"
#include "router/waiting_requests.h"

namespace walnutwing::router {
namespace {

constexpr const char* kSettingsVariable = "WALNUTWING_CONFIG";

constexpr Duration kTickInterval = std::chrono::milliseconds(200);
constexpr Duration kSettingsCheckInterval = std::chrono::milliseconds(1000);
// Until a changed settings file is read once more; see StableText.
constexpr Duration kSettingsSettleTime = std::chrono::milliseconds(50);

// For the answers of requests that a stop cuts.
constexpr Duration kLastAnswersTime = std::chrono::milliseconds(150);

// Between two tries to bind the addresses of a process that still runs.
constexpr Duration kBindRetryInterval = std::chrono::milliseconds(50);

constexpr int kServiceUnavailable = 503;
constexpr int kNotFoundStatus = 404;

class Router
{
public:
  // aSettings: parsed from aSettingsText, the content of aSettingsFile.
  Router(std::string aSettingsFile,
         std::string aSettingsText,
         const RouterSettings& aSettings)
    : m_settingsFile(std::move(aSettingsFile))
    , m_settingsText(std::move(aSettingsText))
    , m_loop(1)
    , m_log(STDOUT_FILENO, aSettings.m_name.Value(), LogOptions(aSettings))
    , m_pool(m_loop)
    , m_exchange(aSettings.m_name, aSettings.m_zone, {})
    , m_sendLimiter(aSettings.m_name)
    , m_selector(aSettings.m_zone,
                 SelectorOptionsOf(aSettings),
                 m_exchange,
                 m_sendLimiter)
    , m_traitBreaker(aSettings.m_name)
    , m_streamVersions(aSettings.m_name, aSettings.m_zone)
    , m_context{ m_loop,
                 aSettings,
                 m_log,
                 m_metrics,
                 m_pool,
                 m_selector,
                 m_sendLimiter,
                 m_traitBreaker,
                 m_streamVersions,
                 std::mt19937_64(std::random_device{}()),
                 {},
                 {} }
    , m_waitingRequests(m_context)
    , m_state(m_context, m_exchange)
    , m_stateChanges(m_context, m_exchange)
    , m_front(m_context, [this] { return m_state.CanServe(); })
    , m_readyPage(
        m_loop,
        ParseEndpoint(aSettings.m_readyListen).value(),
        [this](std::string_view aPath) { return ReadyPage(aPath); },
        [this](const error_code&) { CountAcceptFailure(); })
    , m_signals(m_loop, SIGTERM, SIGINT, SIGHUP)
    , m_tickTimer(m_loop.get_executor())
    , m_settingsTimer(m_loop.get_executor())
    , m_stopTimer(m_loop.get_executor())
    , m_stopLimitTimer(m_loop)
  {
    m_context.m_waiting = &m_waitingRequests;
    StartMetrics();
  }

  int Run()
  {
    std::signal(SIGPIPE, SIG_IGN);
    ListenForSignal();
    ReleaseSignals();
    Tick();
    ScheduleSettingsCheck();
    m_state.Start();
    LogLine(Event::Started)
      .Add("zone", m_context.m_settings.m_zone.Value())
      .Add("listen", m_context.m_settings.m_listen);
    m_loop.run();
    LogLine(Event::Stopped)
      .Add("cut", static_cast<std::int64_t>(m_terminatedRequests))
      .Add("connections_opened",
           static_cast<std::int64_t>(m_pool.OpenedTotal()));
    m_log.Flush(Now());
    return m_terminatedRequests == 0
             ? 0
             : ExitStatusOf(ResultCode::StopCutRequests);
  }

private:
  static EventLogOptions LogOptions(const RouterSettings& aSettings)
  {
    EventLogOptions options;
    options.m_bytesPerSecond = aSettings.m_logBytesPerSecond;
    return options;
  }

  static SelectorOptions SelectorOptionsOf(const RouterSettings& aSettings)
  {
    SelectorOptions options;
    options.m_loadFactor = aSettings.m_loadFactor;
    return options;
  }

  EventLog::Line LogLine(Event aEvent) { return { m_log, aEvent, Now() }; }

  void CountAcceptFailure() { ++m_metrics.Counter("accept_failures_total"); }

  void StartMetrics()
  {
    if (m_context.m_settings.m_metricsPort == 0) {
      return;
    }
    Tcp::endpoint endpoint =
      ParseEndpoint(m_context.m_settings.m_listen).value();
    endpoint.port(
      static_cast<std::uint16_t>(m_context.m_settings.m_metricsPort));
    m_metricsPage.emplace(
      m_loop,
      endpoint,
      [this](std::string_view aPath) { return MetricsPage(aPath); },
      [this](const error_code&) { CountAcceptFailure(); });
  }

  // Readiness, metrics and settings.

  void UpdateReadiness()
  {
    const bool ready = m_state.CanServe() && !m_context.m_stop.IsStopping();
    if (ready == m_ready) {
      return;
    }
    m_ready = ready;
    LogLine(Event::ReadyChanged).Add("ready", static_cast<std::int64_t>(ready));
  }

  Page ReadyPage(std::string_view aPath)
  {
    if (aPath != platform::kReadyPath) {
      return { kNotFoundStatus, "text/plain", "no such page\n" };
    }
    UpdateReadiness();
    return m_ready ? Page{ 200, "text/plain", "ready\n" }
                   : Page{ kServiceUnavailable, "text/plain", "not ready\n" };
  }

  Page MetricsPage(std::string_view aPath)
  {
    if (aPath != "/metrics") {
      return { kNotFoundStatus, "text/plain", "no such page\n" };
    }
    m_metrics.Gauge("requests_in_progress") =
      static_cast<double>(m_context.m_requestsInProgress);
    m_metrics.Gauge("caller_connections") =
      static_cast<double>(m_front.OpenConnections());
    m_metrics.Counter("upstream_connections_opened_total") =
      m_pool.OpenedTotal();
    m_metrics.Counter("log_lines_dropped_total") = m_log.Dropped();
    m_metrics.Counter("store_calls_total") = m_state.StoreCalls();
    m_metrics.Counter("store_bytes_read_total") = m_state.StoreBytesRead();
    UpdateRepeatBudgetGauges(m_context, Now());
    return { 200, "text/plain; version=0.0.4", m_metrics.PrometheusText() };
  }

  void ScheduleSettingsCheck(Duration aDelay = kSettingsCheckInterval)
  {
    m_settingsTimer.expires_after(aDelay);
    m_settingsTimer.async_wait([this](const error_code& aError) {
      if (aError) {
        return;
      }
      ScheduleSettingsCheck();
      CheckSettings();
    });
  }

  // Returns nullopt while the file cannot be read, which is logged once.
  std::optional<std::string> ReadSettingsText()
  {
    try {
      std::string text = ReadTextFile(m_settingsFile);
      m_settingsUnreadable = false;
      return text;
    } catch (const SettingsError& error) {
      if (!std::exchange(m_settingsUnreadable, true)) {
        LogSettingsRefused(error);
      }
      return std::nullopt;
    }
  }

  void LogSettingsRefused(const SettingsError& aError)
  {
    LogLine(Event::SettingsRefused)
      .Add("file", m_settingsFile)
      .Add("why", aError.what());
  }

  // Called periodically and on SIGHUP. Does nothing if the file is unchanged.
  void CheckSettings()
  {
    const std::optional<std::string> text = ReadSettingsText();
    if (!text) {
      return;
    }
    switch (m_settingsText.OnRead(*text)) {
      case TextChange::None:
        return;
      case TextChange::Unstable:
        ScheduleSettingsCheck(kSettingsSettleTime);
        return;
      case TextChange::Stable:
        ReloadSettings(*text);
        return;
    }
  }

  void ReloadSettings(const std::string& aText)
  {
    try {
      m_context.m_settings = ApplyReload(
        m_context.m_settings, ParseRouterSettings(aText, m_settingsFile));
      ApplySettings();
      LogLine(Event::SettingsReloaded).Add("file", m_settingsFile);
    } catch (const SettingsError& error) {
      LogSettingsRefused(error);
    }
  }

  void ApplySettings()
  {
    const RouterSettings& settings = m_context.m_settings;
    m_log.SetOptions(LogOptions(settings));
    m_selector.SetOptions(SelectorOptionsOf(settings));
    m_state.OnSettingsChanged();
    for (auto& [service, budget] : m_context.m_repeatBudgets) {
      budget.SetBounds(settings.m_repeatRatio, settings.m_repeatAllowance);
    }
  }

  void Tick()
  {
    const Time now = Now();
    m_standstill.OnTick(TimeSinceBoot());
    m_state.Tick(now);
    m_stateChanges.Tick(now);
    UpdateReadiness();
    m_log.Flush(now);
    m_tickTimer.expires_after(kTickInterval);
    m_tickTimer.async_wait([this](const error_code& aError) {
      if (!aError) {
        Tick();
      }
    });
  }

  // Signals and the planned stop.

  void ListenForSignal()
  {
    m_signals.async_wait([this](const error_code& aError, int aSignal) {
      if (aError) {
        return;
      }
      if (aSignal == SIGHUP) {
        CheckSettings();
      } else {
        OnStopSignal();
      }
      ListenForSignal();
    });
  }

  // Callers still connect until the platform has removed this daemon. They are
  // served, and their connections are closed after the response.
  void OnStopSignal()
  {
    if (m_context.m_stop.IsStopping()) {
      return;
    }
    // The platform counts from when it sent the signal, which may have waited.
    const Duration waited = m_standstill.LongestWait(TimeSinceBoot());
    const Time now = Now();
    PlannedStop& stop = m_context.m_stop;
    stop.Begin(now - waited, m_context.m_settings.m_stopLimit);
    LogLine(Event::Stopping)
      .Add("in_progress",
           static_cast<std::int64_t>(m_context.m_requestsInProgress))
      .Add("waited_ms", static_cast<std::int64_t>(waited.count()));
    UpdateReadiness();
    m_stopTimer.expires_after(stop.TimeUntilAcceptEnd(now));
    m_stopTimer.async_wait([this](const error_code& aError) {
      if (!aError) {
        m_front.StopAccepting();
        StopWhenIdle();
      }
    });
    m_stopLimitTimer.Start(stop.TimeUntilCut(now),
                           [this] { TerminateRequests(); });
  }

  // Callers get an answer, also that their request was cut: a connection that
  // ends without one looks as if the request had not been read, and its caller
  // might send it again.
  void TerminateRequests()
  {
    m_terminatedRequests = m_context.m_requestsInProgress;
    m_front.TerminateAll();
    m_stopLimitTimer.Start(kLastAnswersTime, [this] {
      m_front.LogUnsent();
      StopLoop();
    });
  }

  void StopWhenIdle()
  {
    m_front.CloseIdleConnections();
    if (m_context.m_requestsInProgress == 0 && m_front.OpenConnections() == 0) {
      StopLoop();
      return;
    }
    m_stopTimer.expires_after(kTickInterval);
    m_stopTimer.async_wait([this](const error_code& aError) {
      if (!aError) {
        StopWhenIdle();
      }
    });
  }

  void StopLoop() { m_loop.stop(); }

  std::string m_settingsFile;
  StableText m_settingsText;
  bool m_settingsUnreadable = false;
  Loop m_loop;
  Metrics m_metrics;
  EventLog m_log;
  UpstreamPool m_pool;
  LoadExchange m_exchange;
  SendLimiter m_sendLimiter;
  UpstreamSelector m_selector;
  TraitBreaker m_traitBreaker;
  StreamVersions m_streamVersions;
  Context m_context;
  WaitingRequests m_waitingRequests;
  FleetState m_state;
  StateChangeLog m_stateChanges;
  Front m_front;
  PageServer m_readyPage;
  std::optional<PageServer> m_metricsPage;
  asio::signal_set m_signals;
  Timer m_tickTimer;
  Timer m_settingsTimer;
  Timer m_stopTimer;
  LimitTimer m_stopLimitTimer;
  Standstill m_standstill{ Standstill::kMaxSignalGap };
  bool m_ready = false;
  std::size_t m_terminatedRequests = 0;
};

// Runs a router. While the addresses are in use, as when the process that is
// being replaced has not ended yet, waits for them as long as a planned stop
// may take. Throws boost::system::system_error if they are in use after that.
int
RunOnceAddressesAreFree(const std::string& aSettingsFile,
                        const std::string& aText,
                        const RouterSettings& aSettings)
{
  const Time end = Now() + aSettings.m_stopLimit;
  bool waits = false;
  while (true) {
    try {
      return Router(aSettingsFile, aText, aSettings).Run();
    } catch (const boost::system::system_error& error) {
      if (error.code() != asio::error::address_in_use || Now() >= end) {
        throw;
      }
      if (!std::exchange(waits, true)) {
        std::cerr << "waiting for an address: " << error.what() << "\n";
      }
    }
    if (WaitForHeldStop(kBindRetryInterval)) {
      return 0;
    }
  }
}

} // namespace

int
RunRouter(std::string aSettingsFile)
{
  HoldSignals();
  if (aSettingsFile.empty()) {
    const char* path = std::getenv(kSettingsVariable);
    aSettingsFile = path == nullptr ? "" : path;
  }
  try {
    const std::string text = ReadTextFile(aSettingsFile);
    const RouterSettings settings = ParseRouterSettings(text, aSettingsFile);
    return RunOnceAddressesAreFree(aSettingsFile, text, settings);
  } catch (const SettingsError& error) {
    std::cerr << error.what() << "\n";
    return ExitStatusOf(error.Code());
  } catch (const boost::system::system_error& error) {
    const ResultCodeRow& row = RowOf(ResultCode::AddressInUse);
    std::cerr << "error " << static_cast<int>(row.m_code) << " " << row.m_name
              << ": " << error.what() << "\n";
    return ExitStatusOf(row.m_code);
  }
}

} // namespace walnutwing::router
