#include "soak/soak_run.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <functional>
#include <memory>
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

constexpr milliseconds kPatience(15'000); // until a fleet is ready
constexpr milliseconds kSettle(6000);     // after the last fault
constexpr milliseconds kLastLook(3000);   // in which all must be served
constexpr milliseconds kTurn(20);
constexpr milliseconds kRecordInterval(500);
constexpr milliseconds kStoreTimeout(5000);
constexpr milliseconds kColdTime(2000);
constexpr milliseconds kDrainTime(2600); // from its announcement to its end
constexpr std::size_t kRecovered = 10;   // whole answers in a row

Time
Now()
{
  return SteadyClock().Now();
}

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
         route("/only-" + std::to_string(aOnly) + "/",
               "idempotent",
               R"(,"maxAttempts":2)") +
         R"(],"services":[{"name":"s","coldPerS":20,"coldStartS":2}],)"
         R"("limits":{"maxHeaderBytes":4096,"maxBodyBytes":10000,)"
         R"("headerTimeoutMs":2000,"idleTimeoutMs":5000},)"
         R"("tenants":[{"name":"c1","apiKeys":["k1"],"priority":3}]})";
}

class Run
{
public:
  Run(const SoakOptions& aOptions, const FaultPlan& aPlan)
    : m_options(aOptions)
    , m_plan(aPlan)
    , m_promises({})
    , m_fleet(m_loop, aOptions)
    , m_store(std::make_shared<router::StoreChannel>(
        m_loop,
        EndpointOf(m_fleet.StoreAddress())))
  {
    WriteConfig();
    for (std::uint32_t i = 0; i < aOptions.m_plan.m_upstreams; ++i) {
      m_fleet.StartUpstream(i, Duration::zero());
    }
    for (std::uint32_t i = 0; i < aOptions.m_plan.m_routers; ++i) {
      StartRouter(i);
    }
  }

  SoakResult Play()
  {
    StartCallers();
    WaitUntilServed();
    const Time start = Now();
    for (const Fault& fault : m_plan) {
      ++m_result.m_faults[fault.m_kind];
      At(start + fault.m_at, [this, fault] { Begin(fault); });
    }
    if (m_options.m_breakage == Breakage::Recover) {
      At(start + m_options.m_plan.m_length, [this] { PauseAllUpstreams(); });
    }
    ReadRecordsLater();
    TurnUntil(start + m_options.m_plan.m_length + kSettle);
    m_looking = true;
    TurnUntil(Now() + kLastLook);
    StopCallers();
    ReadRecords();
    m_promises.OnRecovered(m_looked == 0 ? 0
                                         : static_cast<double>(m_lookedWhole) /
                                             static_cast<double>(m_looked));
    m_promises.CheckAtEnd();
    m_result.m_violations = m_promises.Violations();
    m_result.m_processes = m_fleet.Processes();
    return m_result;
  }

private:
  void StartRouter(std::uint32_t aIndex)
  {
    m_fleet.StartRouter(aIndex);
    m_promises.OnStart(aIndex);
  }

  // --- operators ---

  void WriteConfig()
  {
    const std::uint64_t version = m_version + 1;
    const bool backward =
      m_options.m_breakage == Breakage::Backward && version > 2;
    const bool withheld =
      m_options.m_breakage == Breakage::Config && version > 1;
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
    m_promises.OnConfigWritten(aVersion, Now());
  }

  // One call at a time; those that come meanwhile wait.
  void Put(const std::string& aKey,
           const std::string& aValue,
           const std::function<void()>& aDone)
  {
    if (m_putting) {
      After(kTurn, [=, this] { Put(aKey, aValue, aDone); });
      return;
    }
    m_putting = true;
    m_store->Call(
      platform::EncodePutRequest(platform::kOperatorTopic, aKey, aValue),
      kStoreTimeout,
      [=, this](const router::StoreResponse& aAnswer) {
        m_putting = false;
        if (aAnswer.m_status == 200) {
          aDone();
        } else {
          After(kTurn, [=, this] { Put(aKey, aValue, aDone); });
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
      options.m_versions = [this] {
        return std::pair(m_version, std::max<std::uint64_t>(1, m_version - 1));
      };
      options.m_onAnswer =
        [this](const Asked& aAsked, Ending aEnding, Time aNow) {
          OnAnswer(aAsked, aEnding, aNow);
        };
      m_callers.push_back(
        std::make_unique<SoakCaller>(m_loop, std::move(options)));
      m_callers.back()->Start();
    }
  }

  void OnAnswer(const Asked& aAsked, Ending aEnding, Time aNow)
  {
    if (!m_ready) {
      // A stand-in that answers wrongly does answer.
      const bool answered =
        aEnding == Ending::Whole || aEnding == Ending::Wrong;
      m_row = answered ? m_row + 1 : 0;
      return;
    }
    ++m_result.m_endings[aEnding];
    m_promises.OnAnswer(aAsked, aEnding, aNow);
    const bool probe = aAsked.m_kind == AskKind::OnlyVersion;
    if (m_looking && !probe) {
      ++m_looked;
      m_lookedWhole += aEnding == Ending::Whole ? 1 : 0;
    }
    const bool good = aEnding == Ending::Whole || probe;
    m_row = good ? m_row + 1 : 0;
    if (m_row >= kRecovered && m_faultEnded) {
      m_result.m_recoveries.push_back(aNow - *m_faultEnded);
      m_faultEnded.reset();
    }
  }

  void WaitUntilServed()
  {
    const Time end = Now() + kPatience;
    const std::size_t wanted = 5 * m_callers.size();
    while (m_row < wanted) {
      if (Now() > end) {
        throw std::runtime_error("the fleet does not get ready");
      }
      Turn();
    }
    // Registrations that are new to some routers have their time as well.
    TurnUntil(Now() + kSettle / 2);
    m_ready = true;
  }

  void StopCallers()
  {
    for (const auto& caller : m_callers) {
      caller->Stop();
    }
    const Time end = Now() + kPatience;
    const auto ended = [](const auto& aCaller) { return aCaller->Ended(); };
    while (!std::all_of(m_callers.begin(), m_callers.end(), ended) &&
           Now() < end) {
      Turn();
    }
  }

  // --- faults ---

  void Begin(const Fault& aFault)
  {
    const Time now = Now();
    const Time end = now + aFault.m_length;
    switch (aFault.m_kind) {
      case FaultKind::RouterKill:
        m_promises.OnFault(aFault.m_target, now, end);
        m_fleet.Router(aFault.m_target).Kill();
        break;
      case FaultKind::RouterStop:
        BeginStop(aFault);
        return;
      case FaultKind::RouterPause:
        m_promises.OnFault(aFault.m_target, now, end);
        m_fleet.Router(aFault.m_target).Signal(SIGSTOP);
        break;
      case FaultKind::RouterReload:
        m_fleet.WriteSettings(aFault.m_target);
        m_fleet.Router(aFault.m_target).Signal(SIGHUP);
        return;
      case FaultKind::UpstreamKill:
        m_promises.OnUpstreamFault(now, end);
        m_fleet.Upstream(aFault.m_target).Kill();
        break;
      case FaultKind::UpstreamPause:
        m_promises.OnUpstreamFault(now, end);
        m_fleet.Upstream(aFault.m_target).Signal(SIGSTOP);
        break;
      case FaultKind::UpstreamDrain:
        BeginDrain(aFault.m_target);
        return;
      case FaultKind::StorePause:
        m_promises.OnFault(Promises::kAllRouters, now, end);
        m_fleet.Store().Signal(SIGSTOP);
        break;
      case FaultKind::StoreForget:
        m_promises.OnFault(Promises::kAllRouters, now, now);
        m_fleet.Store().Signal(SIGUSR1);
        return;
      case FaultKind::LinkDelay:
      case FaultKind::LinkReset:
      case FaultKind::LinkSilence:
      case FaultKind::LinkOneWay:
        BeginLink(aFault, now, end);
        break;
      case FaultKind::ConfigChange:
        WriteConfig();
        return;
      case FaultKind::ZoneOut:
        SetZoneOut(aFault.m_target, true);
        break;
    }
    At(end, [this, aFault] { End(aFault); });
  }

  void End(const Fault& aFault)
  {
    m_faultEnded = Now();
    m_row = 0;
    switch (aFault.m_kind) {
      case FaultKind::RouterKill:
        StartRouter(aFault.m_target);
        return;
      case FaultKind::RouterPause:
        m_fleet.Router(aFault.m_target).Signal(SIGCONT);
        return;
      case FaultKind::UpstreamKill:
        m_fleet.StartUpstream(aFault.m_target, kColdTime);
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

  void PauseAllUpstreams()
  {
    for (std::uint32_t i = 0; i < m_options.m_plan.m_upstreams; ++i) {
      m_fleet.Upstream(i).Signal(SIGSTOP);
    }
  }

  void BeginStop(const Fault& aFault)
  {
    const std::uint32_t index = aFault.m_target;
    m_promises.OnStop(index, Now());
    const bool broken = m_options.m_breakage == Breakage::Stop;
    m_fleet.Router(index).Signal(broken ? SIGKILL : SIGTERM);
    StartWhenEnded(index);
  }

  void StartWhenEnded(std::uint32_t aIndex)
  {
    if (!m_fleet.Router(aIndex).ExitStatus()) {
      After(kTurn, [this, aIndex] { StartWhenEnded(aIndex); });
      return;
    }
    m_promises.OnFault(aIndex, Now(), Now());
    StartRouter(aIndex);
  }

  void BeginDrain(std::uint32_t aIndex)
  {
    const std::uint32_t start = m_fleet.Starts(aIndex);
    m_fleet.Upstream(aIndex).Signal(SIGUSR1);
    After(kDrainTime + kDrainTime / 2, [this, aIndex, start] {
      if (m_fleet.Starts(aIndex) == start) { // it was not killed
        m_promises.OnUpstreamFault(Now(), Now());
        m_fleet.StartUpstream(aIndex, kColdTime);
      }
    });
  }

  void BeginLink(const Fault& aFault, Time aNow, Time aEnd)
  {
    if (aFault.m_link == Link::Upstream) {
      m_promises.OnUpstreamFault(aNow, aEnd);
    } else {
      m_promises.OnFault(aFault.m_target, aNow, aEnd);
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
    if (!aOut) {
      m_promises.OnZone(zone, false, Now()); // work may come at once
    }
    Put(std::string(platform::kZoneOutPrefix) + zone,
        aOut ? "{}" : "",
        [this, zone, aOut] { m_promises.OnZone(zone, aOut, Now()); });
  }

  // --- records ---

  void ReadRecordsLater()
  {
    ReadRecords();
    After(kRecordInterval, [this] { ReadRecordsLater(); });
  }

  void ReadRecords()
  {
    for (RecordFile& record : m_fleet.Records()) {
      std::ifstream file(record.m_path);
      file.seekg(record.m_read);
      for (std::string line; std::getline(file, line) && !file.eof();) {
        m_promises.OnRecord(line, record.m_zone);
        record.m_read = file.tellg();
      }
    }
  }

  // --- time ---

  void At(Time aAt, std::function<void()> aDo)
  {
    After(std::max(milliseconds(0), aAt - Now()), std::move(aDo));
  }

  void After(milliseconds aTime, std::function<void()> aDo)
  {
    const auto timer =
      std::make_shared<boost::asio::steady_timer>(m_loop, aTime);
    timer->async_wait(
      [timer, doIt = std::move(aDo)](const boost::system::error_code& aError) {
        if (!aError) {
          doIt();
        }
      });
  }

  void Turn()
  {
    m_loop.run_for(kTurn);
    m_loop.restart();
  }

  void TurnUntil(Time aEnd)
  {
    while (Now() < aEnd) {
      Turn();
    }
  }

  const SoakOptions& m_options;
  const FaultPlan& m_plan;
  boost::asio::io_context m_loop;
  Promises m_promises;
  SoakResult m_result;
  SoakFleet m_fleet;
  std::shared_ptr<router::StoreChannel> m_store;
  bool m_putting = false;
  std::uint64_t m_version = 0;
  std::vector<std::unique_ptr<SoakCaller>> m_callers;
  bool m_ready = false;   // answers count
  bool m_looking = false; // all faults are over
  std::uint64_t m_looked = 0;
  std::uint64_t m_lookedWhole = 0;
  std::size_t m_row = 0; // whole answers in a row
  std::optional<Time> m_faultEnded;
};

} // namespace

SoakResult
RunSoak(const SoakOptions& aOptions, const FaultPlan& aPlan)
{
  return Run(aOptions, aPlan).Play();
}

} // namespace walnutwing::soak
