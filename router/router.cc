// Puts the parts together: three topics of the platform's store feed what the
// process believes (configuration and zones, upstreams, the fleet's size), the
// front serves callers by it.

#include "router/router.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <set>

#include <boost/asio/signal_set.hpp>
#include <sys/stat.h>
#include <unistd.h>

#include "platform/config_codec.h"
#include "platform/http_names.h"
#include "router/front.h"
#include "router/member_record.h"
#include "router/page_server.h"
#include "router/peers.h"
#include "router/topic_feed.h"

namespace walnutwing::router {
namespace {

constexpr const char* kSettingsVariable = "WALNUTWING_CONFIG";

// How long a read of the operators' topic waits: a connection to the store that
// has gone silent is noticed after this and the answer time.
constexpr Duration kOperatorWait = std::chrono::milliseconds(900);
// Reads of the upstreams' topic: upstreams register again every second or so,
// so records are fetched in batches.
constexpr Duration kUpstreamWait = std::chrono::milliseconds(400);
constexpr Duration kUpstreamInterval = std::chrono::milliseconds(450);
// By when a living upstream has registered again after the store came back.
constexpr Duration kReturnTime = std::chrono::milliseconds(2300);
// Each daemon says that it is there this often, and looks who else is; one that
// was not heard for three times as long no longer counts.
constexpr Duration kMemberInterval = std::chrono::milliseconds(8000);
constexpr Duration kMemberLifetime = 3 * kMemberInterval;
constexpr Duration kFirstCount = std::chrono::milliseconds(1500);
constexpr Duration kStoreAnswerTime = std::chrono::milliseconds(1500);
// Budgets are shared by so many before the others are known: cold upstreams get
// nothing then.
constexpr std::uint32_t kFleetUnknown = 30;

constexpr Duration kTickInterval = std::chrono::milliseconds(200);
constexpr Duration kSettingsCheckInterval = std::chrono::milliseconds(1000);

// A planned stop: the platform asks for readiness each second and takes two
// misses; until then callers still connect.
constexpr Duration kAcceptAfterStop = std::chrono::milliseconds(2600);
// Kept back of the stop limit, to end by ourselves.
constexpr Duration kStopReserve = std::chrono::milliseconds(400);

constexpr int kServiceUnavailable = 503;
constexpr int kNotFoundStatus = 404;

std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

RouterSettings
LoadSettings(const std::string& aPath)
{
  const std::optional<std::string> text = ReadFile(aPath);
  if (!text) {
    throw SettingsError({ { ResultCode::SettingsFileMissing,
                            aPath,
                            0,
                            "",
                            "",
                            "cannot be read",
                            "" } });
  }
  return ParseRouterSettings(*text, aPath);
}

class Router
{
public:
  Router(std::string aSettingsFile, const RouterSettings& aSettings)
    : m_settingsFile(std::move(aSettingsFile))
    , m_settingsText(ReadFile(m_settingsFile).value_or(""))
    , m_loop(1)
    , m_log(STDOUT_FILENO, aSettings.m_name.Value(), LogOptions(aSettings))
    , m_pool(m_loop)
    , m_directory(kReturnTime)
    , m_exchange(aSettings.m_name, aSettings.m_zone, {})
    , m_selector(aSettings.m_zone, SelectorOptionsOf(aSettings), m_exchange)
    , m_roster(kMemberLifetime)
    , m_context{ m_loop,
                 aSettings,
                 m_log,
                 m_metrics,
                 m_pool,
                 m_selector,
                 std::mt19937_64(std::random_device{}()),
                 {},
                 {} }
    , m_operators(
        m_context,
        std::string(platform::kOperatorTopic),
        { kOperatorWait, Duration::zero() },
        [this](const TopicNews& aNews) { OnOperatorNews(aNews); },
        [](bool) {})
    , m_upstreams(
        m_context,
        std::string(platform::kUpstreamTopic),
        { kUpstreamWait, kUpstreamInterval },
        [this](const TopicNews& aNews) { OnUpstreamNews(aNews); },
        [this](bool aAnswers) { OnStoreHealth(aAnswers); })
    , m_members(
        m_context,
        std::string(platform::kMemberTopic),
        { Duration::zero(), kMemberInterval },
        [this](const TopicNews& aNews) { OnMemberNews(aNews); },
        [](bool) {})
    , m_announcements(std::make_shared<StoreChannel>(
        m_loop,
        ParseEndpoint(aSettings.m_storeAddress).value()))
    , m_peers(m_context, m_exchange, m_operators, m_upstreams, m_members)
    , m_front(m_context)
    , m_readyPage(m_loop,
                  ParseEndpoint(aSettings.m_readyListen).value(),
                  [this](std::string_view aPath) { return ReadyPage(aPath); })
    , m_signals(m_loop, SIGTERM, SIGINT, SIGHUP)
    , m_tick(m_loop.get_executor())
    , m_announce(m_loop.get_executor())
    , m_followMembers(m_loop.get_executor())
    , m_settingsCheck(m_loop.get_executor())
    , m_stopTimer(m_loop.get_executor())
    , m_stopLimit(m_loop.get_executor())
  {
    m_context.m_daemons = kFleetUnknown;
    StartMetrics();
  }

  int Run()
  {
    std::signal(SIGPIPE, SIG_IGN);
    WaitForSignal();
    Tick();
    CheckSettingsLater();
    m_operators.Start();
    m_upstreams.Start();
    m_peers.SetStoreHealth([this](bool aAnswers) { OnStoreHealth(aAnswers); });
    m_peers.Start();
    Announce();
    LogLine(Event::Started)
      .Add("zone", m_context.m_settings.m_zone.Value())
      .Add("listen", m_context.m_settings.m_listen);
    m_loop.run();
    LogLine(Event::Stopped)
      .Add("cut", static_cast<std::int64_t>(m_cut))
      .Add("connections_opened", static_cast<std::int64_t>(m_pool.Opened()));
    m_log.Flush(Now());
    return m_cut == 0 ? 0 : ExitStatusOf(ResultCode::StopCutRequests);
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

  void StartMetrics()
  {
    if (m_context.m_settings.m_metricsPort == 0) {
      return;
    }
    Tcp::endpoint endpoint =
      ParseEndpoint(m_context.m_settings.m_listen).value();
    endpoint.port(
      static_cast<std::uint16_t>(m_context.m_settings.m_metricsPort));
    m_metricsPage.emplace(m_loop, endpoint, [this](std::string_view aPath) {
      return MetricsPage(aPath);
    });
  }

  // --- what the process believes ---

  void OnStoreHealth(bool aAnswers)
  {
    if (aAnswers) {
      m_directory.OnStoreAnswers(Now());
    } else {
      m_directory.OnStoreAway(Now());
    }
  }

  void OnOperatorNews(const TopicNews& aNews)
  {
    std::set<ZoneId> zonesOut = aNews.m_whole ? std::set<ZoneId>() : m_zonesOut;
    for (const platform::StoreRecord& record : aNews.m_records) {
      if (record.m_key == platform::kConfigKey && record.m_value) {
        OnConfig(*record.m_value);
        continue;
      }
      if (!record.m_key.starts_with(platform::kZoneOutPrefix)) {
        continue;
      }
      const ZoneId zone(record.m_key.substr(platform::kZoneOutPrefix.size()));
      if (record.m_value) {
        zonesOut.insert(zone);
      } else {
        zonesOut.erase(zone);
      }
    }
    SetZonesOut(zonesOut);
    m_peers.OnRead();
  }

  // Only a newer version comes into force: records may be read twice.
  void OnConfig(const std::string& aJson)
  {
    platform::DecodeProblem problem;
    std::optional<RoutingConfig> config =
      platform::DecodeConfig(aJson, problem);
    if (!config) {
      LogLine(Event::ConfigRefused)
        .Add("where", problem.m_where)
        .Add("why", problem.m_text);
      return;
    }
    if (m_context.m_routes != nullptr &&
        config->m_version <= m_context.m_routes->Version()) {
      return;
    }
    const std::uint64_t version = config->m_version;
    m_context.m_routes = std::make_shared<RouteTable>(std::move(*config));
    const RoutingConfig& routing = m_context.m_routes->Config();
    LogLine(Event::ConfigInForce)
      .Add("version", static_cast<std::int64_t>(version))
      .Add("routes", static_cast<std::int64_t>(routing.m_routes.size()))
      .Add("customers", static_cast<std::int64_t>(routing.m_customers.size()));
    m_metrics.Gauge("config_version") = static_cast<double>(version);
    CheckReady();
  }

  void SetZonesOut(const std::set<ZoneId>& aZones)
  {
    if (aZones == m_zonesOut) {
      return;
    }
    m_zonesOut = aZones;
    std::string names;
    for (const ZoneId& zone : aZones) {
      names += (names.empty() ? "" : ",") + zone.Value();
    }
    LogLine(Event::ZonesOutChanged).Add("zones", names);
    m_selector.SetZonesOut(aZones, LongestColdTime(), Now());
  }

  Duration LongestColdTime() const
  {
    Duration longest{};
    if (m_context.m_routes != nullptr) {
      for (const ServiceConfig& service :
           m_context.m_routes->Config().m_services) {
        longest = std::max(longest, service.m_coldTime);
      }
    }
    return longest;
  }

  void OnUpstreamNews(const TopicNews& aNews)
  {
    std::vector<UpstreamEntry> entries;
    for (const platform::StoreRecord& record : aNews.m_records) {
      std::optional<UpstreamEntry> entry = ReadUpstream(record);
      if (aNews.m_whole && entry) {
        entries.push_back(std::move(*entry));
        continue;
      }
      const UpstreamId id(record.m_key);
      const UpstreamChange change = entry ? m_directory.OnEntry(*entry, Now())
                                          : m_directory.OnRemoved(id, Now());
      if (change != UpstreamChange::None) {
        m_peers.OnChange(record);
      }
      OnUpstreamChange(id, change);
    }
    if (aNews.m_whole) {
      m_peers.OnWhole(m_upstreams.Follower().Next());
      for (const auto& [id, change] : m_directory.OnList(entries, Now())) {
        OnUpstreamChange(id, change);
      }
    }
    m_peers.OnRead();
    CheckReady();
  }

  // Nothing for a record that names no upstream to use.
  std::optional<UpstreamEntry> ReadUpstream(
    const platform::StoreRecord& aRecord)
  {
    if (!aRecord.m_value || aRecord.m_value->empty()) {
      return std::nullopt;
    }
    platform::DecodeProblem problem;
    std::optional<UpstreamEntry> entry =
      platform::DecodeUpstream(aRecord.m_key, *aRecord.m_value, problem);
    if (!entry) {
      LogLine(Event::UpstreamUnreadable)
        .Add("upstream", aRecord.m_key)
        .Add("where", problem.m_where)
        .Add("why", problem.m_text);
    }
    return entry;
  }

  void OnUpstreamChange(const UpstreamId& aId, UpstreamChange aChange)
  {
    if (aChange == UpstreamChange::None) {
      return;
    }
    m_selector.OnUpstream(m_directory, aId, aChange);
    const KnownUpstream* known = m_directory.Find(aId);
    if (known == nullptr) {
      LogLine(Event::UpstreamGone).Add("upstream", aId.Value());
      return;
    }
    const UpstreamEntry& entry = known->m_entry;
    LogLine(Event::UpstreamListed)
      .Add("upstream", aId.Value())
      .Add("service", entry.m_service.Value())
      .Add("address", entry.m_address)
      .Add("zone", entry.m_zone.Value())
      .Add("draining", static_cast<std::int64_t>(entry.m_draining))
      .Add("cold_ms", static_cast<std::int64_t>(entry.m_coldRemaining.count()));
  }

  // --- the fleet's size ---

  RosterMember Self() const
  {
    const RouterSettings& settings = m_context.m_settings;
    return { settings.m_name,
             settings.m_zone,
             settings.m_peerListen,
             settings.m_weight,
             static_cast<std::uint64_t>(
               SteadyClock().WallNow().time_since_epoch().count()) };
  }

  void Announce()
  {
    m_announcements->Call(
      platform::PutCall(platform::kMemberTopic,
                        m_context.m_settings.m_name.Value(),
                        EncodeMember(Self())),
      kStoreAnswerTime,
      [this](const StoreAnswer& aAnswer) {
        if (!std::exchange(m_announced, true)) {
          FollowMembersLater();
        }
        // A lost announcement is made up for by the next one.
        m_metrics.Gauge("announced_status") = aAnswer.m_status;
        m_announce.expires_after(kMemberInterval);
        m_announce.async_wait([this](const error_code& aError) {
          if (!aError && !m_context.m_stopping) {
            Announce();
          }
        });
      });
  }

  // A fleet that starts as a whole has announced itself by then; counting
  // sooner would share its budgets by too few.
  void FollowMembersLater()
  {
    m_followMembers.expires_after(kFirstCount);
    m_followMembers.async_wait([this](const error_code& aError) {
      if (!aError) {
        m_members.Start();
      }
    });
  }

  void OnMemberNews(const TopicNews& aNews)
  {
    for (const platform::StoreRecord& record : aNews.m_records) {
      const DaemonId name(record.m_key);
      const auto member =
        record.m_value ? DecodeMember(name, *record.m_value) : std::nullopt;
      if (member) {
        m_roster.OnAnnounced(*member, Now());
      } else {
        m_roster.OnDropped(name);
      }
    }
    std::vector<RosterMember> alive = m_roster.Alive(Now());
    const auto daemons =
      std::max<std::uint32_t>(1, static_cast<std::uint32_t>(alive.size()));
    m_exchange.SetMembers(std::move(alive), Now());
    if (daemons == m_context.m_daemons) {
      return;
    }
    m_context.m_daemons = daemons;
    LogLine(Event::FleetSizeChanged)
      .Add("daemons", static_cast<std::int64_t>(daemons))
      .Add("hub", m_exchange.Hub().Value());
    m_metrics.Gauge("daemons") = daemons;
  }

  // --- readiness, metrics, settings ---

  void CheckReady()
  {
    const bool ready = m_context.m_routes != nullptr && m_upstreams.Loaded() &&
                       !m_directory.All().empty() && !m_context.m_stopping;
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
    CheckReady();
    return m_ready ? Page{ 200, "text/plain", "ready\n" }
                   : Page{ kServiceUnavailable, "text/plain", "not ready\n" };
  }

  Page MetricsPage(std::string_view aPath)
  {
    if (aPath != "/metrics") {
      return { kNotFoundStatus, "text/plain", "no such page\n" };
    }
    m_metrics.Gauge("requests_in_progress") =
      static_cast<double>(m_context.m_requests);
    m_metrics.Gauge("caller_connections") = static_cast<double>(m_front.Open());
    m_metrics.Counter("upstream_connections_opened_total") = m_pool.Opened();
    m_metrics.Counter("log_lines_dropped_total") = m_log.Dropped();
    m_metrics.Counter("store_calls_total") =
      m_operators.Channel().Calls() + m_upstreams.Channel().Calls() +
      m_members.Channel().Calls() + m_announcements->Calls();
    m_metrics.Counter("store_bytes_read_total") =
      m_operators.Channel().BytesRead() + m_upstreams.Channel().BytesRead() +
      m_members.Channel().BytesRead() + m_announcements->BytesRead();
    return { 200, "text/plain; version=0.0.4", m_metrics.PrometheusText() };
  }

  void CheckSettingsLater()
  {
    m_settingsCheck.expires_after(kSettingsCheckInterval);
    m_settingsCheck.async_wait([this](const error_code& aError) {
      if (aError) {
        return;
      }
      ReloadSettings();
      CheckSettingsLater();
    });
  }

  // The file may change without a signal, and a signal may come without a
  // change.
  void ReloadSettings()
  {
    const std::optional<std::string> text = ReadFile(m_settingsFile);
    if (!text || *text == m_settingsText) {
      return;
    }
    m_settingsText = *text;
    try {
      RouterSettings settings = ParseRouterSettings(*text, m_settingsFile);
      // Addresses that are bound, and the name, hold until the next start.
      settings.m_name = m_context.m_settings.m_name;
      settings.m_listen = m_context.m_settings.m_listen;
      settings.m_readyListen = m_context.m_settings.m_readyListen;
      settings.m_metricsPort = m_context.m_settings.m_metricsPort;
      settings.m_storeAddress = m_context.m_settings.m_storeAddress;
      m_context.m_settings = settings;
      m_log.SetOptions(LogOptions(settings));
      LogLine(Event::SettingsReloaded).Add("file", m_settingsFile);
    } catch (const SettingsError& error) {
      LogLine(Event::SettingsRefused)
        .Add("file", m_settingsFile)
        .Add("why", error.what());
    }
  }

  void Tick()
  {
    const Time now = Now();
    for (const UpstreamId& id : m_directory.OnTick(now)) {
      OnUpstreamChange(id, UpstreamChange::Removed);
    }
    m_log.Flush(now);
    m_tick.expires_after(kTickInterval);
    m_tick.async_wait([this](const error_code& aError) {
      if (!aError) {
        Tick();
      }
    });
  }

  // --- signals and the planned stop ---

  void WaitForSignal()
  {
    m_signals.async_wait([this](const error_code& aError, int aSignal) {
      if (aError) {
        return;
      }
      if (aSignal == SIGHUP) {
        ReloadSettings();
      } else {
        OnStopSignal();
      }
      WaitForSignal();
    });
  }

  // Callers still connect until the platform has noticed; they are served, and
  // told to connect elsewhere next time.
  void OnStopSignal()
  {
    if (std::exchange(m_context.m_stopping, true)) {
      return;
    }
    LogLine(Event::Stopping)
      .Add("in_progress", static_cast<std::int64_t>(m_context.m_requests));
    CheckReady();
    m_stopTimer.expires_after(kAcceptAfterStop);
    m_stopTimer.async_wait([this](const error_code& aError) {
      if (!aError) {
        m_front.StopAccepting();
        EndWhenIdle();
      }
    });
    m_stopLimit.expires_after(m_context.m_settings.m_stopLimit - kStopReserve);
    m_stopLimit.async_wait([this](const error_code& aError) {
      if (!aError) {
        m_cut = m_context.m_requests;
        m_front.CutAll();
        End();
      }
    });
  }

  void EndWhenIdle()
  {
    m_front.CloseIdle();
    if (m_context.m_requests == 0 && m_front.Open() == 0) {
      End();
      return;
    }
    m_stopTimer.expires_after(kTickInterval);
    m_stopTimer.async_wait([this](const error_code& aError) {
      if (!aError) {
        EndWhenIdle();
      }
    });
  }

  void End() { m_loop.stop(); }

  std::string m_settingsFile;
  std::string m_settingsText;
  Loop m_loop;
  Metrics m_metrics;
  EventLog m_log;
  UpstreamPool m_pool;
  UpstreamDirectory m_directory;
  LoadExchange m_exchange;
  UpstreamSelector m_selector;
  FleetRoster m_roster;
  Context m_context;
  TopicFeed m_operators;
  TopicFeed m_upstreams;
  TopicFeed m_members;
  std::shared_ptr<StoreChannel> m_announcements;
  Peers m_peers;
  Front m_front;
  PageServer m_readyPage;
  std::optional<PageServer> m_metricsPage;
  asio::signal_set m_signals;
  Timer m_tick;
  Timer m_announce;
  Timer m_followMembers;
  Timer m_settingsCheck;
  Timer m_stopTimer;
  Timer m_stopLimit;
  std::set<ZoneId> m_zonesOut;
  bool m_announced = false;
  bool m_ready = false;
  std::size_t m_cut = 0;
};

} // namespace

int
RunRouter(std::string aSettingsFile)
{
  if (aSettingsFile.empty()) {
    const char* path = std::getenv(kSettingsVariable);
    aSettingsFile = path == nullptr ? "" : path;
  }
  try {
    const RouterSettings settings = LoadSettings(aSettingsFile);
    return Router(aSettingsFile, settings).Run();
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
