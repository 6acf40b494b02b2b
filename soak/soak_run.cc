#include "soak/soak_run.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <functional>
#include <memory>
#include <set>
#include <stdexcept>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "platform/store_codec.h"
#include "router/store_channel.h"
#include "soak/soak_caller.h"
#include "soak/soak_fleet.h"

namespace walnutwing::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFleetTimeout(15'000); // for the fleet to become ready
constexpr milliseconds kSettleTime(6000);     // after the last fault
// After kSettleTime; the requests in this time show whether callers are served.
constexpr milliseconds kRecoveryCheckTime(3000);
constexpr milliseconds kPollInterval(20);
constexpr milliseconds kRecordReadInterval(500);
constexpr milliseconds kStoreTimeout(5000);
constexpr milliseconds kStoreDelay(800); // see StartsStoreLate
constexpr milliseconds kColdTime(2000);
// An upstream that was told to drain is replaced after 1.5 times this, since it
// announces the drain only with its next registration.
constexpr milliseconds kDrainTime(2600);
// From a restore of the store until operators have noticed it.
constexpr milliseconds kRewriteDelay(300);
// From SIGTERM until the platform kills a router that has not ended; routers
// know it as stop_limit_s.
constexpr milliseconds kStopLimit(8000);
constexpr std::uint32_t kLongStreamCallers = 3; // one caller of so many
constexpr std::size_t kRecoveredStreak = 10;    // complete answers in a row

Time
Now()
{
  return SteadyClock().Now();
}

// The routing configuration as JSON. aOnly is the version in the path of the
// OnlyVersion route.
std::string
ConfigText(std::uint64_t aVersion, std::uint64_t aOnly)
{
  const auto route = [](const std::string& aPrefix,
                        const std::string& aKind,
                        const std::string& aMore) {
    return R"({"host":"h.example","pathPrefix":")" + aPrefix + R"(","kind":")" +
           aKind + R"(","service":"s","timeoutMs":6000,"targetLatencyMs":400)" +
           aMore + "}";
  };
  return R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[)" +
         route("/order/", "non_idempotent", "") + "," +
         route("/lookup/", "idempotent", R"(,"maxAttempts":2)") + "," +
         route("/stream/", "streaming", "") + "," +
         route("/resume/",
               "streaming",
               R"(,"maxAttempts":3,"resumable":true,"targetGapMs":100)") +
         "," +
         route("/long/",
               "streaming",
               R"(,"maxAttempts":3,"resumable":true,"targetGapMs":100)") +
         "," +
         route("/only-" + std::to_string(aOnly) + "/",
               "idempotent",
               R"(,"maxAttempts":2)") +
         R"(],"services":[{"name":"s","coldPerS":20,"coldStartS":2}],)"
         R"("limits":{"maxHeaderBytes":4096,"maxBodyBytes":10000,)"
         R"("headerTimeoutMs":2000,"idleTimeoutMs":5000},)"
         R"("tenants":[{"name":"c1","apiKeys":["k1"],"priority":3}]})";
}

// Runs the timers, the callers and the proxies on one event loop. Times of the
// plan count from the moment at which the fleet is ready.
class SoakRun
{
public:
  SoakRun(const SoakOptions& aOptions, const FaultPlan& aPlan)
    : m_options(aOptions)
    , m_plan(aPlan)
    , m_checker({})
    , m_fleet(m_loop, aOptions)
    , m_store(std::make_shared<router::StoreChannel>(
        m_loop,
        ParseEndpoint(m_fleet.StoreAddress())))
  {
    // Upstreams inherit it, as one may get the signal before it handles it.
    std::signal(SIGUSR2, SIG_IGN);
    if (StartsStoreLate(aOptions.m_plan.m_seed)) {
      ScheduleAfter(kStoreDelay, [this] { m_fleet.StartStore(); });
    } else {
      m_fleet.StartStore();
    }
    WriteConfig();
    for (std::uint32_t i = 0; i < aOptions.m_plan.m_upstreams; ++i) {
      m_fleet.StartUpstream(i, Duration::zero());
    }
    for (std::uint32_t i = 0; i < aOptions.m_plan.m_routers; ++i) {
      StartRouter(i);
    }
  }

  SoakResult Execute()
  {
    StartCallers();
    WaitUntilServed();
    const Time start = Now();
    for (const Fault& fault : m_plan) {
      ++m_result.m_faults[fault.m_kind];
      ScheduleAt(start + fault.m_at, [this, fault] { BeginFault(fault); });
    }
    if (m_options.m_defect == Defect::Recover) {
      ScheduleAt(start + m_options.m_plan.m_length,
                 [this] { PauseAllUpstreams(); });
    }
    ReadRecordsPeriodically();
    RunUntil(start + m_options.m_plan.m_length + kSettleTime);
    m_checkingRecovery = true;
    RunUntil(Now() + kRecoveryCheckTime);
    StopCallers();
    ReadRecords();
    m_checker.CheckRecovery(m_recoveryRequests == 0
                              ? 0
                              : static_cast<double>(m_recoveryComplete) /
                                  static_cast<double>(m_recoveryRequests));
    m_checker.CheckAtEnd();
    m_result.m_violations = m_checker.Violations();
    m_result.m_processCount = m_fleet.ProcessCount();
    return m_result;
  }

private:
  void StartRouter(std::uint32_t aIndex)
  {
    m_fleet.StartRouter(aIndex);
    m_checker.OnRouterStart(aIndex);
    m_down.erase(aIndex);
  }

  // --- operators ---

  void WriteConfig()
  {
    const std::uint64_t version = m_version + 1;
    const bool backward = m_options.m_defect == Defect::Backward && version > 2;
    const bool withheld = m_options.m_defect == Defect::Config && version > 1;
    const std::string text =
      ConfigText(version, backward ? version - 2 : version);
    if (withheld) {
      OnConfigWritten(version);
      return;
    }
    Put(std::string(platform::kConfigKey), text, [this, version] {
      OnConfigWritten(version);
    });
  }

  void OnConfigWritten(std::uint64_t aVersion)
  {
    m_version = aVersion;
    m_checker.OnConfigWritten(aVersion, Now());
  }

  // Sends one request at a time to the store and retries until it succeeds;
  // requests made meanwhile wait.
  void Put(const std::string& aKey,
           const std::string& aValue,
           const std::function<void()>& aDone)
  {
    PutTo(platform::kOperatorTopic, aKey, aValue, aDone);
  }

  void PutTo(std::string_view aTopic,
             const std::string& aKey,
             const std::string& aValue,
             const std::function<void()>& aDone)
  {
    const auto retry = [=, this] {
      ScheduleAfter(kPollInterval,
                    [=, this] { PutTo(aTopic, aKey, aValue, aDone); });
    };
    if (m_putInFlight) {
      retry();
      return;
    }
    m_putInFlight = true;
    m_store->Call(platform::EncodePutRequest(aTopic, aKey, aValue),
                  kStoreTimeout,
                  [=, this](const router::StoreResponse& aResponse) {
                    m_putInFlight = false;
                    if (aResponse.m_status == 200) {
                      aDone();
                    } else {
                      retry();
                    }
                  });
  }

  // --- callers ---

  void StartCallers()
  {
    const std::vector<std::string> routers = m_fleet.CallerAddresses();
    const std::uint32_t callers =
      m_options.m_callersPerRouter * m_options.m_plan.m_routers;
    for (std::uint32_t i = 0; i < callers; ++i) {
      SoakCallerOptions options;
      options.m_name = "c" + std::to_string(i);
      options.m_routers = routers;
      options.m_seed = m_options.m_plan.m_seed * 1000 + i;
      options.m_repeatsResetOrders =
        m_options.m_plan.m_onlyKind == FaultKind::RouterStop;
      options.m_longStreams = i % kLongStreamCallers == 0;
      options.m_versions = [this] {
        return std::pair(m_version, std::max<std::uint64_t>(1, m_version - 1));
      };
      options.m_onRequestEnd = [this](const SoakRequest& aRequest,
                                      RequestOutcome aOutcome,
                                      Time aNow) {
        OnRequestEnd(aRequest, aOutcome, aNow);
      };
      m_callers.push_back(
        std::make_unique<SoakCaller>(m_loop, std::move(options)));
      m_callers.back()->Start();
    }
  }

  void OnRequestEnd(const SoakRequest& aRequest,
                    RequestOutcome aOutcome,
                    Time aNow)
  {
    if (!m_ready) {
      // Wrong answers count, since a stand-in with a defect may give no others.
      const bool answered = aOutcome == RequestOutcome::Complete ||
                            aOutcome == RequestOutcome::Wrong;
      m_completeStreak = answered ? m_completeStreak + 1 : 0;
      return;
    }
    ++m_result.m_outcomes[aOutcome];
    m_checker.OnRequestEnd(aRequest, aOutcome, aNow);
    const bool versionProbe = aRequest.m_kind == RequestKind::OnlyVersion;
    if (m_checkingRecovery && !versionProbe) {
      ++m_recoveryRequests;
      m_recoveryComplete += aOutcome == RequestOutcome::Complete ? 1 : 0;
    }
    const bool streakContinues =
      aOutcome == RequestOutcome::Complete || versionProbe;
    m_completeStreak = streakContinues ? m_completeStreak + 1 : 0;
    if (m_completeStreak >= kRecoveredStreak && m_faultEndedAt) {
      m_result.m_recoveries.push_back(aNow - *m_faultEndedAt);
      m_faultEndedAt.reset();
    }
  }

  void WaitUntilServed()
  {
    const Time end = Now() + kFleetTimeout;
    const std::size_t wanted = 5 * m_callers.size();
    while (m_completeStreak < wanted) {
      if (Now() > end) {
        throw std::runtime_error("the fleet did not become ready in time");
      }
      RunIteration();
    }
    // Leaves time for the registrations to reach all routers.
    RunUntil(Now() + kSettleTime / 2);
    m_ready = true;
  }

  void StopCallers()
  {
    for (const auto& caller : m_callers) {
      caller->Stop();
    }
    const Time end = Now() + kFleetTimeout;
    const auto ended = [](const auto& aCaller) { return aCaller->Ended(); };
    while (!std::all_of(m_callers.begin(), m_callers.end(), ended) &&
           Now() < end) {
      RunIteration();
    }
  }

  // --- faults ---

  void BeginFault(const Fault& aFault)
  {
    const Time now = Now();
    const Time end = now + aFault.m_length;
    switch (aFault.m_kind) {
      case FaultKind::RouterKill:
        m_checker.OnFault(aFault.m_target, now, end);
        m_down.insert(aFault.m_target);
        m_fleet.Router(aFault.m_target).Kill();
        break;
      case FaultKind::AllRoutersKill:
        KillAllRouters(end);
        break;
      case FaultKind::RouterStop:
        BeginRouterStop(aFault);
        return;
      case FaultKind::RouterPause:
        m_checker.OnStandstill(aFault.m_target, now, end);
        m_fleet.Router(aFault.m_target).Signal(SIGSTOP);
        break;
      case FaultKind::RouterLateStop:
        m_checker.OnStandstill(aFault.m_target, now, end);
        m_fleet.Router(aFault.m_target).Signal(SIGSTOP);
        BeginRouterStop(aFault);
        break;
      case FaultKind::RouterReload:
        m_fleet.WriteSettings(aFault.m_target);
        m_fleet.Router(aFault.m_target).Signal(SIGHUP);
        return;
      case FaultKind::UpstreamKill:
      case FaultKind::UpstreamReturn:
        m_checker.OnUpstreamFault(now, end);
        m_fleet.Upstream(aFault.m_target).Kill();
        break;
      case FaultKind::UpstreamPause:
        m_checker.OnUpstreamFault(now, end);
        m_fleet.Upstream(aFault.m_target).Signal(SIGSTOP);
        break;
      case FaultKind::UpstreamBreak:
        m_checker.OnUpstreamFault(now, now + kAnswerBreakTime);
        m_fleet.Upstream(aFault.m_target).Signal(SIGUSR2);
        return;
      case FaultKind::UpstreamDrain:
        BeginUpstreamDrain(aFault.m_target);
        return;
      case FaultKind::StorePause:
        m_checker.OnFault(GuaranteeChecker::kAllRouters, now, end);
        m_fleet.Store().Signal(SIGSTOP);
        break;
      case FaultKind::StoreForget:
        m_checker.OnFault(GuaranteeChecker::kAllRouters, now, now);
        m_fleet.Store().Signal(SIGUSR1);
        return;
      case FaultKind::StoreRefuse:
        m_checker.OnFault(aFault.m_target, now, end);
        m_fleet.ProxyOf(Link::Store, aFault.m_target)
          .SetMode(ProxyMode::Refuse);
        break;
      case FaultKind::OddRecord:
        LeaveOddRecord(aFault.m_target);
        return;
      case FaultKind::StoreRestore:
        m_checker.OnFault(
          GuaranteeChecker::kAllRouters, now, now + kRewriteDelay);
        m_fleet.Store().Signal(SIGUSR2);
        ScheduleAfter(kRewriteDelay, [this] { WriteOperatorsAgain(); });
        return;
      case FaultKind::LinkDelay:
      case FaultKind::LinkReset:
      case FaultKind::LinkSilence:
      case FaultKind::LinkOneWay:
        BeginLinkFault(aFault, now, end);
        break;
      case FaultKind::ConfigChange:
        WriteConfig();
        return;
      case FaultKind::ZoneOut:
        SetZoneOut(aFault.m_target, true);
        break;
    }
    ScheduleAt(end, [this, aFault] { EndFault(aFault); });
  }

  void EndFault(const Fault& aFault)
  {
    m_faultEndedAt = Now();
    m_completeStreak = 0;
    switch (aFault.m_kind) {
      case FaultKind::RouterKill:
        StartRouterIfDown(aFault.m_target);
        return;
      case FaultKind::AllRoutersKill:
        StartAllRouters();
        return;
      case FaultKind::StoreRefuse:
        m_fleet.ProxyOf(Link::Store, aFault.m_target).SetMode(ProxyMode::Pass);
        return;
      case FaultKind::RouterPause:
      case FaultKind::RouterLateStop:
        m_fleet.Router(aFault.m_target).Signal(SIGCONT);
        return;
      case FaultKind::UpstreamKill:
        m_fleet.StartUpstream(aFault.m_target, kColdTime);
        return;
      case FaultKind::UpstreamReturn:
        m_fleet.RestartUpstream(aFault.m_target, kColdTime);
        return;
      case FaultKind::UpstreamPause:
        m_fleet.Upstream(aFault.m_target).Signal(SIGCONT);
        return;
      case FaultKind::StorePause:
        m_fleet.Store().Signal(SIGCONT);
        return;
      case FaultKind::ZoneOut:
        SetZoneOut(aFault.m_target, false);
        return;
      default:
        m_fleet.ProxyOf(aFault.m_link, aFault.m_target)
          .SetMode(ProxyMode::Pass);
    }
  }

  void KillAllRouters(Time aEnd)
  {
    m_checker.OnFault(GuaranteeChecker::kAllRouters, Now(), aEnd);
    for (std::uint32_t i = 0; i < m_options.m_plan.m_routers; ++i) {
      m_down.insert(i);
      m_fleet.Router(i).Kill();
    }
  }

  void StartAllRouters()
  {
    for (std::uint32_t i = 0; i < m_options.m_plan.m_routers; ++i) {
      StartRouterIfDown(i);
    }
  }

  // Kills of one router may overlap; the first one that ends starts it again.
  void StartRouterIfDown(std::uint32_t aIndex)
  {
    if (m_fleet.Router(aIndex).ExitStatus()) {
      StartRouter(aIndex);
    }
  }

  // The platform starts a router again that has ended by itself.
  void CheckRoutersRun()
  {
    for (std::uint32_t i = 0; i < m_options.m_plan.m_routers; ++i) {
      if (!m_down.contains(i) && m_fleet.Router(i).ExitStatus()) {
        m_checker.OnRouterEnded(i);
        StartRouter(i);
      }
    }
  }

  // An entry of another writer in the list of upstreams.
  void LeaveOddRecord(std::uint32_t aKind)
  {
    constexpr std::size_t kRecordBytes = 262'000;
    const std::array<std::string, kOddRecords> records{
      std::string(kRecordBytes, '['),
      R"({"service":"s","zone":"z0","state":"ready","slots":1e999})",
      R"({"service":"s","zone":"z0","state":"ready","address":"127.0.0.1:70000"})"
    };
    PutTo(platform::kUpstreamTopic,
          "odd-" + std::to_string(aKind),
          records.at(aKind),
          [] {});
  }

  void PauseAllUpstreams()
  {
    for (std::uint32_t i = 0; i < m_options.m_plan.m_upstreams; ++i) {
      m_fleet.Upstream(i).Signal(SIGSTOP);
    }
  }

  void BeginRouterStop(const Fault& aFault)
  {
    const std::uint32_t index = aFault.m_target;
    m_checker.OnRouterStop(index, Now());
    m_down.insert(index);
    const bool killed = m_options.m_defect == Defect::Stop;
    m_fleet.Router(index).Signal(killed ? SIGKILL : SIGTERM);
    KillAtStopLimit(index, m_fleet.Router(index).Pid());
    RestartWhenEnded(index);
  }

  // Leaves a router alone that was started in place of aProcess.
  void KillAtStopLimit(std::uint32_t aIndex, pid_t aProcess)
  {
    ScheduleAfter(kStopLimit, [this, aIndex, aProcess] {
      if (m_fleet.Router(aIndex).Pid() == aProcess) {
        m_fleet.Router(aIndex).Signal(SIGKILL);
      }
    });
  }

  void RestartWhenEnded(std::uint32_t aIndex)
  {
    if (!m_fleet.Router(aIndex).ExitStatus()) {
      ScheduleAfter(kPollInterval,
                    [this, aIndex] { RestartWhenEnded(aIndex); });
      return;
    }
    m_checker.OnFault(aIndex, Now(), Now());
    StartRouter(aIndex);
  }

  void BeginUpstreamDrain(std::uint32_t aIndex)
  {
    const std::uint32_t startCount = m_fleet.StartCount(aIndex);
    m_fleet.Upstream(aIndex).Signal(SIGUSR1);
    ScheduleAfter(kDrainTime + kDrainTime / 2, [this, aIndex, startCount] {
      if (m_fleet.StartCount(aIndex) == startCount) { // not replaced
        m_checker.OnUpstreamFault(Now(), Now());
        m_fleet.StartUpstream(aIndex, kColdTime);
      }
    });
  }

  void BeginLinkFault(const Fault& aFault, Time aNow, Time aEnd)
  {
    if (aFault.m_link == Link::Upstream) {
      m_checker.OnUpstreamFault(aNow, aEnd);
    } else {
      m_checker.OnFault(aFault.m_target, aNow, aEnd);
    }
    const ProxyMode mode =
      aFault.m_kind == FaultKind::LinkDelay     ? ProxyMode::Delay
      : aFault.m_kind == FaultKind::LinkReset   ? ProxyMode::Reset
      : aFault.m_kind == FaultKind::LinkSilence ? ProxyMode::Silence
                                                : ProxyMode::OneWay;
    m_fleet.ProxyOf(aFault.m_link, aFault.m_target).SetMode(mode);
  }

  void SetZoneOut(std::uint32_t aZone, bool aOut)
  {
    const std::string zone = ZoneOf(aZone);
    m_zonesOut[zone] = aOut;
    if (!aOut) {
      // At once, since requests may arrive before the store's response does.
      m_checker.OnZoneChange(zone, false, Now());
    }
    Put(std::string(platform::kZoneOutPrefix) + zone,
        aOut ? "{}" : "",
        [this, zone, aOut] { m_checker.OnZoneChange(zone, aOut, Now()); });
  }

  // Operators write again what a restored store may lack.
  void WriteOperatorsAgain()
  {
    if (m_putInFlight) {
      ScheduleAfter(kPollInterval, [this] { WriteOperatorsAgain(); });
      return;
    }
    if (m_version != 0 && m_options.m_defect == Defect::None) {
      Put(std::string(platform::kConfigKey),
          ConfigText(m_version, m_version),
          [] {});
    }
    for (const auto& [zone, out] : m_zonesOut) {
      const std::string key = std::string(platform::kZoneOutPrefix) + zone;
      Put(key, out ? "{}" : "", [] {});
    }
  }

  // --- records ---

  void ReadRecordsPeriodically()
  {
    ReadRecords();
    CheckRoutersRun();
    ScheduleAfter(kRecordReadInterval, [this] { ReadRecordsPeriodically(); });
  }

  void ReadRecords()
  {
    for (RecordFile& record : m_fleet.Records()) {
      std::ifstream file(record.m_path);
      file.seekg(record.m_readOffset);
      for (std::string line; std::getline(file, line) && !file.eof();) {
        m_checker.OnRecord(line, record.m_zone);
        record.m_readOffset = file.tellg();
      }
    }
  }

  // --- time ---

  void ScheduleAt(Time aAt, std::function<void()> aAction)
  {
    ScheduleAfter(std::max(milliseconds(0), aAt - Now()), std::move(aAction));
  }

  void ScheduleAfter(milliseconds aTime, std::function<void()> aAction)
  {
    const auto timer =
      std::make_shared<boost::asio::steady_timer>(m_loop, aTime);
    timer->async_wait([timer, action = std::move(aAction)](
                        const boost::system::error_code& aError) {
      if (!aError) {
        action();
      }
    });
  }

  void RunIteration()
  {
    m_loop.run_for(kPollInterval);
    m_loop.restart();
  }

  void RunUntil(Time aEnd)
  {
    while (Now() < aEnd) {
      RunIteration();
    }
  }

  const SoakOptions& m_options;
  const FaultPlan& m_plan;
  boost::asio::io_context m_loop;
  GuaranteeChecker m_checker;
  SoakResult m_result;
  SoakFleet m_fleet;
  std::shared_ptr<router::StoreChannel> m_store;
  bool m_putInFlight = false;
  std::set<std::uint32_t> m_down; // routers that were killed or stopped
  std::uint64_t m_version = 0;
  std::map<std::string, bool> m_zonesOut; // by zone
  std::vector<std::unique_ptr<SoakCaller>> m_callers;
  bool m_ready = false;            // requests are counted and checked
  bool m_checkingRecovery = false; // all faults are over
  std::uint64_t m_recoveryRequests = 0;
  std::uint64_t m_recoveryComplete = 0;
  std::size_t m_completeStreak = 0; // complete answers in a row
  std::optional<Time> m_faultEndedAt;
};

} // namespace

SoakResult
RunSoak(const SoakOptions& aOptions, const FaultPlan& aPlan)
{
  return SoakRun(aOptions, aPlan).Execute();
}

} // namespace walnutwing::soak
