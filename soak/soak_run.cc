// Addresses: every run has three numbers of its own within 127.0.0.0/8, made of
// this process's id. Routers are at .1 and on, upstreams behind them, and the
// store and all proxies at .250.

#include "soak/soak_run.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <functional>
#include <memory>
#include <stdexcept>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <unistd.h>

#include "platform/store_codec.h"
#include "router/store_channel.h"
#include "soak/proxy.h"
#include "soak/soak_caller.h"
#include "standin/child_process.h"

namespace walnutwing::soak {
namespace {

using standin::ChildProcess;
using std::chrono::milliseconds;

constexpr std::uint16_t kListenPort = 8080;
constexpr std::uint16_t kReadyPort = 8081;
constexpr std::uint16_t kPeerPort = 8082;
constexpr std::uint16_t kUpstreamPort = 9000;
constexpr std::uint16_t kStorePort = 7000;
constexpr std::uint16_t kCallerProxies = 10'000; // and the router's index
constexpr std::uint16_t kStoreProxies = 11'000;
constexpr std::uint16_t kUpstreamProxies = 12'000; // and the upstream's

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
ZoneOf(std::uint32_t aIndex)
{
  return aIndex % 2 == 0 ? "z0" : "z1";
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

struct Machine
{
  std::unique_ptr<ChildProcess> m_process;
  std::uint32_t m_starts = 0;
};

// A record file and how far it has been read.
struct Record
{
  std::string m_path;
  std::string m_zone;
  std::streamoff m_read = 0;
};

class Run
{
public:
  Run(const SoakOptions& aOptions, const FaultPlan& aPlan)
    : m_options(aOptions)
    , m_plan(aPlan)
    , m_promises({})
    , m_net(NetOf())
    , m_store(
        std::make_shared<router::StoreChannel>(m_loop,
                                               EndpointOf(At(250, kStorePort))))
  {
    m_storeProcess.m_process = Start({ "--role=store" }, "store.log");
    MakeProxies();
    WriteConfig();
    m_routers.resize(aOptions.m_plan.m_routers);
    m_upstreams.resize(aOptions.m_plan.m_upstreams);
    for (std::uint32_t i = 0; i < m_upstreams.size(); ++i) {
      StartUpstream(i, milliseconds(0));
    }
    for (std::uint32_t i = 0; i < m_routers.size(); ++i) {
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
    m_result.m_processes =
      static_cast<std::uint32_t>(m_routers.size() + m_upstreams.size() + 2);
    return m_result;
  }

private:
  // --- addresses ---

  static std::string NetOf()
  {
    const auto pid = static_cast<unsigned>(getpid());
    return "127." + std::to_string(64 + (pid >> 8U & 63U)) + "." +
           std::to_string(pid & 255U) + ".";
  }

  std::string Ip(std::uint32_t aHost) const
  {
    return m_net + std::to_string(aHost);
  }

  std::string At(std::uint32_t aHost, std::uint32_t aPort) const
  {
    return Ip(aHost) + ":" + std::to_string(aPort);
  }

  std::uint32_t UpstreamHost(std::uint32_t aIndex) const
  {
    return 1 + m_options.m_plan.m_routers + aIndex;
  }

  std::string Path(const std::string& aName) const
  {
    return m_options.m_directory + "/" + aName;
  }

  // --- processes ---

  std::unique_ptr<ChildProcess> Start(std::vector<std::string> aArguments,
                                      const std::string& aLog)
  {
    aArguments.insert(aArguments.begin(), m_options.m_self);
    aArguments.push_back("--ip=" + Ip(250));
    aArguments.push_back("--port=" + std::to_string(kStorePort));
    return std::make_unique<ChildProcess>(aArguments, Path(aLog));
  }

  void MakeProxies()
  {
    for (std::uint32_t i = 0; i < m_options.m_plan.m_routers; ++i) {
      m_callerProxies.push_back(std::make_unique<Proxy>(
        m_loop, At(250, kCallerProxies + i), At(1 + i, kListenPort)));
      m_storeProxies.push_back(std::make_unique<Proxy>(
        m_loop, At(250, kStoreProxies + i), At(250, kStorePort)));
    }
    for (std::uint32_t i = 0; i < m_options.m_plan.m_upstreams; ++i) {
      m_upstreamProxies.push_back(
        std::make_unique<Proxy>(m_loop,
                                At(250, kUpstreamProxies + i),
                                At(UpstreamHost(i), kUpstreamPort)));
    }
  }

  void WriteSettings(std::uint32_t aIndex)
  {
    const std::uint32_t bytes = 65536 + ++m_settingsWritten;
    std::ofstream(Path("router-" + std::to_string(aIndex) + ".ini"))
      << "[router]\nname = d" << aIndex << "\nzone = " << ZoneOf(aIndex)
      << "\nlisten = " << At(1 + aIndex, kListenPort)
      << "\nready_listen = " << At(1 + aIndex, kReadyPort)
      << "\npeer_listen = " << At(1 + aIndex, kPeerPort)
      << "\nmetrics_port = 0\nlog_bytes_per_s = " << bytes
      << "\n[platform]\naddress = " << At(250, kStoreProxies + aIndex)
      << "\n[bounds]\nstop_limit_s = 8\nrepeat_allowance = 30\n";
  }

  void StartRouter(std::uint32_t aIndex)
  {
    WriteSettings(aIndex);
    const std::string name = "router-" + std::to_string(aIndex);
    Machine& machine = m_routers[aIndex];
    machine.m_process = std::make_unique<ChildProcess>(
      std::vector<std::string>{
        m_options.m_router, "router", "--config", Path(name + ".ini") },
      Path(name + ".log"));
    ++machine.m_starts;
    m_promises.OnStart(aIndex);
  }

  void StartUpstream(std::uint32_t aIndex, milliseconds aCold)
  {
    Machine& machine = m_upstreams[aIndex];
    const std::string name =
      "u" + std::to_string(aIndex) + "-" + std::to_string(machine.m_starts++);
    std::vector<std::string> arguments{
      m_options.m_self,
      "--role=upstream",
      "--name=" + name,
      "--zone=" + ZoneOf(aIndex),
      "--ip=" + Ip(UpstreamHost(aIndex)),
      "--port=" + std::to_string(kUpstreamPort),
      "--address=" + At(250, kUpstreamProxies + aIndex),
      "--store=" + At(250, kStorePort),
      "--record=" + Path(name + ".record"),
      "--cold_ms=" + std::to_string(aCold.count()),
      "--seed=" + std::to_string(m_options.m_plan.m_seed),
      "--break=" + std::string(NameOf(m_options.m_breakage)),
    };
    m_records.push_back({ Path(name + ".record"), ZoneOf(aIndex), 0 });
    machine.m_process.reset(); // the port must be free
    machine.m_process =
      std::make_unique<ChildProcess>(arguments, Path(name + ".log"));
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
    m_store->Call(platform::PutCall(platform::kOperatorTopic, aKey, aValue),
                  kStoreTimeout,
                  [=, this](const router::StoreAnswer& aAnswer) {
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
    std::vector<std::string> routers;
    for (std::uint32_t i = 0; i < m_routers.size(); ++i) {
      routers.push_back(At(250, kCallerProxies + i));
    }
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
        m_routers[aFault.m_target].m_process->Kill();
        break;
      case FaultKind::RouterStop:
        BeginStop(aFault);
        return;
      case FaultKind::RouterPause:
        m_promises.OnFault(aFault.m_target, now, end);
        m_routers[aFault.m_target].m_process->Signal(SIGSTOP);
        break;
      case FaultKind::RouterReload:
        WriteSettings(aFault.m_target);
        m_routers[aFault.m_target].m_process->Signal(SIGHUP);
        return;
      case FaultKind::UpstreamKill:
        m_promises.OnUpstreamFault(now, end);
        m_upstreams[aFault.m_target].m_process->Kill();
        break;
      case FaultKind::UpstreamPause:
        m_promises.OnUpstreamFault(now, end);
        m_upstreams[aFault.m_target].m_process->Signal(SIGSTOP);
        break;
      case FaultKind::UpstreamDrain:
        BeginDrain(aFault.m_target);
        return;
      case FaultKind::StorePause:
        m_promises.OnFault(Promises::kAllRouters, now, end);
        m_storeProcess.m_process->Signal(SIGSTOP);
        break;
      case FaultKind::StoreForget:
        m_promises.OnFault(Promises::kAllRouters, now, now);
        m_storeProcess.m_process->Signal(SIGUSR1);
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
        m_routers[aFault.m_target].m_process->Signal(SIGCONT);
        return;
      case FaultKind::UpstreamKill:
        StartUpstream(aFault.m_target, kColdTime);
        return;
      case FaultKind::UpstreamPause:
        m_upstreams[aFault.m_target].m_process->Signal(SIGCONT);
        return;
      case FaultKind::StorePause:
        m_storeProcess.m_process->Signal(SIGCONT);
        return;
      case FaultKind::ZoneOut:
        SetZoneOut(aFault.m_target, false);
        return;
      default:
        ProxyOf(aFault).SetMode(ProxyMode::Pass);
    }
  }

  void PauseAllUpstreams()
  {
    for (Machine& machine : m_upstreams) {
      machine.m_process->Signal(SIGSTOP);
    }
  }

  void BeginStop(const Fault& aFault)
  {
    const std::uint32_t index = aFault.m_target;
    m_promises.OnStop(index, Now());
    const bool broken = m_options.m_breakage == Breakage::Stop;
    m_routers[index].m_process->Signal(broken ? SIGKILL : SIGTERM);
    StartWhenEnded(index);
  }

  void StartWhenEnded(std::uint32_t aIndex)
  {
    Machine& machine = m_routers[aIndex];
    if (!machine.m_process->ExitStatus()) {
      After(kTurn, [this, aIndex] { StartWhenEnded(aIndex); });
      return;
    }
    m_promises.OnFault(aIndex, Now(), Now());
    StartRouter(aIndex);
  }

  void BeginDrain(std::uint32_t aIndex)
  {
    const std::uint32_t start = m_upstreams[aIndex].m_starts;
    m_upstreams[aIndex].m_process->Signal(SIGUSR1);
    After(kDrainTime + kDrainTime / 2, [this, aIndex, start] {
      if (m_upstreams[aIndex].m_starts == start) { // it was not killed
        m_promises.OnUpstreamFault(Now(), Now());
        StartUpstream(aIndex, kColdTime);
      }
    });
  }

  Proxy& ProxyOf(const Fault& aFault)
  {
    switch (aFault.m_link) {
      case Link::Callers:
        return *m_callerProxies[aFault.m_target];
      case Link::Store:
        return *m_storeProxies[aFault.m_target];
      case Link::Upstream:
        break;
    }
    return *m_upstreamProxies[aFault.m_target];
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
    ProxyOf(aFault).SetMode(mode);
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
    for (Record& record : m_records) {
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
  std::string m_net;
  std::shared_ptr<router::StoreChannel> m_store;
  bool m_putting = false;
  std::uint64_t m_version = 0;
  std::uint32_t m_settingsWritten = 0;
  Machine m_storeProcess;
  std::vector<Machine> m_routers;
  std::vector<Machine> m_upstreams;
  std::vector<Record> m_records;
  std::vector<std::unique_ptr<Proxy>> m_callerProxies;
  std::vector<std::unique_ptr<Proxy>> m_storeProxies;
  std::vector<std::unique_ptr<Proxy>> m_upstreamProxies;
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
