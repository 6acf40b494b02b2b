// Engines write to the store every kBeatInterval, as the pages say, and an
// entry lapses after three intervals of silence. All stand-ins run in one
// thread on one event loop.

#include "review/standin-3/fleet.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iterator>
#include <stdexcept>
#include <utility>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <unistd.h>

namespace walnutwing::review {
namespace {

namespace http = boost::beast::http;

constexpr Duration kBeatInterval{ 1200 };
constexpr Duration kLapseTime = 3 * kBeatInterval;
constexpr Duration kBeatCheckInterval{ 20 };
constexpr Duration kLoopStep{ 2 };
constexpr Duration kStartLimit{ 15'000 };
constexpr unsigned kFrontendPort = 8227;
constexpr unsigned kReadyPort = 8220;
constexpr unsigned kPeerPort = 7340;
constexpr unsigned kReadyStatus = 200;

const char* const kRouterProgram = "target/router/walnutwing-router";
const char* const kSettingsVariable = "WALNUTWING_CONFIG";

std::string
NextIp()
{
  static unsigned addresses = 0;
  const auto pid = static_cast<unsigned>(getpid());
  const unsigned number = pid * 16 + addresses++;
  return "127." + std::to_string(96 + (number >> 16U & 31U)) + "." +
         std::to_string(number >> 8U & 255U) + "." +
         std::to_string(number & 255U);
}

Time
Now()
{
  return SteadyClock().Now();
}

} // namespace

bool
HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

Fleet::Fleet(const std::string& aRecordFile, std::vector<std::string> aZones)
  : m_startedAt(Now())
  , m_record(aRecordFile)
  , m_ip(NextIp())
  , m_store(m_loop, m_ip)
  , m_beatTimer(m_loop)
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "walnutwing-review-XXXXXX")
      .string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  m_directory = pattern;
  for (std::string& zone : aZones) {
    m_routers.push_back({ "edge-" + std::to_string(m_routers.size() + 1),
                          std::move(zone),
                          NextIp(),
                          nullptr });
  }
  ScheduleBeats();
}

Fleet::~Fleet()
{
  m_routers.clear();
  std::error_code ignored; // a temporary folder
  std::filesystem::remove_all(m_directory, ignored);
}

Duration
Fleet::Elapsed() const
{
  return Now() - m_startedAt;
}

void
Fleet::Note(const std::string& aLine)
{
  m_record << Elapsed().count() << " ms  " << aLine << std::endl;
}

void
Fleet::PutConfig(const std::string& aJson)
{
  m_store.Put("keyed.op", "config", aJson);
}

std::size_t
Fleet::AddEngine(const std::string& aService,
                 const std::string& aZone,
                 const std::string& aVersion)
{
  auto server = std::make_unique<standin::UpstreamStandin>(m_loop, m_ip);
  server->SetRecordsExchanges(false);
  const std::size_t index =
    AddEngineAt(aService, aZone, aVersion, server->Address());
  m_engines[index].m_server = std::move(server);
  return index;
}

std::size_t
Fleet::AddEngineAt(const std::string& aService,
                   const std::string& aZone,
                   const std::string& aVersion,
                   const std::string& aAddress)
{
  Engine engine;
  engine.m_service = aService;
  engine.m_zone = aZone;
  engine.m_version = aVersion;
  engine.m_id = "i-" + aService + "-" + std::to_string(m_engines.size());
  engine.m_born = SteadyClock().WallNow().time_since_epoch().count();
  engine.m_address = aAddress;
  m_engines.push_back(std::move(engine));
  Register(m_engines.back());
  return m_engines.size() - 1;
}

void
Fleet::Register(Engine& aEngine)
{
  aEngine.m_lastBeat = Now();
  aEngine.m_nextBeat = aEngine.m_lastBeat + kBeatInterval;
  aEngine.m_listed = true;
  m_store.Put("keyed.servers",
              aEngine.m_id,
              R"({"service":")" + aEngine.m_service + R"(","address":")" +
                aEngine.m_address + R"(","zone":")" + aEngine.m_zone +
                R"(","version":")" + aEngine.m_version +
                R"(","slots":8,"state":"ready","coldRemainingMs":0,"born":)" +
                std::to_string(aEngine.m_born) + R"(,"sequence":)" +
                std::to_string(++aEngine.m_sequence) + "}");
}

void
Fleet::Beat()
{
  const Time now = Now();
  for (Engine& engine : m_engines) {
    if (engine.m_runs && now >= engine.m_nextBeat) {
      Register(engine);
    }
    if (!engine.m_runs && engine.m_listed &&
        now - engine.m_lastBeat >= kLapseTime) {
      engine.m_listed = false;
      m_store.Put("keyed.servers", engine.m_id, std::nullopt);
      Note("the entry of " + engine.m_id + " has lapsed");
    }
  }
}

void
Fleet::ScheduleBeats()
{
  m_beatTimer.expires_after(kBeatCheckInterval);
  m_beatTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Beat();
      ScheduleBeats();
    }
  });
}

void
Fleet::CrashEngine(std::size_t aIndex)
{
  Engine& engine = m_engines.at(aIndex);
  engine.m_runs = false;
  engine.m_server->Crash();
  Note(engine.m_id + " (" + engine.m_version + ") has crashed");
}

void
Fleet::RestartEngine(std::size_t aIndex,
                     const std::string& aId,
                     const std::string& aVersion)
{
  Engine& engine = m_engines.at(aIndex);
  if (engine.m_listed && aId != engine.m_id) {
    m_store.Put("keyed.servers", engine.m_id, std::nullopt);
  }
  engine.m_id = aId;
  engine.m_version = aVersion;
  engine.m_born = SteadyClock().WallNow().time_since_epoch().count();
  engine.m_sequence = 0;
  engine.m_runs = true;
  Register(engine);
  engine.m_server->Restart();
  Note(engine.m_id + " (" + aVersion + ") has started again, registered");
}

std::string
Fleet::WriteSettings(const Router& aRouter) const
{
  const auto address = [&](unsigned aPort) {
    return aRouter.m_ip + ":" + std::to_string(aPort);
  };
  std::string path = m_directory + "/" + aRouter.m_name + ".ini";
  std::ofstream file(path);
  // As deploy/router.ini, filled in with the bounds of the small deployments.
  file << "[router]\nname = " << aRouter.m_name << "\nzone = " << aRouter.m_zone
       << "\nlisten = " << address(kFrontendPort)
       << "\nready_listen = " << address(kReadyPort)
       << "\npeer_listen = " << address(kPeerPort)
       << "\nweight = 0.25\n\n[platform]\naddress = " << m_store.Address()
       << "\n\n[bounds]\nstop_limit_s = 8\ndrain_ms = 2000\nconfig_ms = 2000"
          "\ncold_factor = 1.5\nrepeat_ratio = 0.2\nrepeat_window_s = 10"
          "\nrepeat_allowance = "
       << m_repeatAllowance
       << "\nload_factor = 2\n\n[limits]"
          "\nmemory_mb = 260\nmax_descriptors = 4100\n";
  return path;
}

// Returns 0 without an answer.
int
Fleet::ReadyStatus(const Router& aRouter)
{
  boost::system::error_code error;
  Tcp::socket socket(m_loop);
  socket.connect({ asio::ip::make_address_v4(aRouter.m_ip),
                   static_cast<std::uint16_t>(kReadyPort) },
                 error);
  if (error) {
    return 0;
  }
  const std::string request =
    "GET /api/readyz HTTP/1.1\r\nHost: " + aRouter.m_ip +
    "\r\nConnection: close\r\n\r\n";
  asio::write(socket, asio::buffer(request), error);
  boost::beast::flat_buffer input;
  http::response<http::string_body> answer;
  http::read(socket, input, answer, error);
  return error ? 0 : static_cast<int>(answer.result_int());
}

std::string
Fleet::LogText(const Router& aRouter) const
{
  std::ifstream file(m_directory + "/" + aRouter.m_name + ".log");
  return { std::istreambuf_iterator<char>(file), {} };
}

bool
Fleet::Start()
{
  for (Router& router : m_routers) {
    setenv(kSettingsVariable, WriteSettings(router).c_str(), 1);
    router.m_process = std::make_unique<standin::ChildProcess>(
      std::vector<std::string>{ kRouterProgram, "router" },
      m_directory + "/" + router.m_name + ".log");
  }
  const std::string allKnown =
    R"("daemons":)" + std::to_string(m_routers.size());
  return WaitUntil(
    [&] {
      return std::all_of(
        m_routers.begin(), m_routers.end(), [&](const Router& aRouter) {
          return ReadyStatus(aRouter) == kReadyStatus &&
                 LogText(aRouter).find(allKnown) != std::string::npos;
        });
    },
    kStartLimit);
}

Tcp::endpoint
Fleet::Frontend(std::size_t aRouter) const
{
  return { asio::ip::make_address_v4(m_routers.at(aRouter).m_ip),
           static_cast<std::uint16_t>(kFrontendPort) };
}

std::unique_ptr<standin::CallerStandin>
Fleet::Connect(std::size_t aRouter)
{
  const Tcp::endpoint endpoint = Frontend(aRouter);
  return std::make_unique<standin::CallerStandin>(
    m_loop,
    endpoint.address().to_string() + ":" + std::to_string(endpoint.port()));
}

void
Fleet::ChangeSettings()
{
  ++m_repeatAllowance;
  for (Router& router : m_routers) {
    WriteSettings(router);
    router.m_process->Signal(SIGHUP);
    Note("the settings file of " + router.m_name + " changes: SIGHUP");
  }
}

bool
Fleet::RoutersRun()
{
  return std::none_of(m_routers.begin(), m_routers.end(), [](Router& aRouter) {
    return aRouter.m_process->ExitStatus().has_value();
  });
}

void
Fleet::RunFor(Duration aTime)
{
  m_loop.run_for(aTime);
  m_loop.restart();
}

bool
Fleet::WaitUntil(const std::function<bool()>& aCondition, Duration aLimit)
{
  const Time end = Now() + aLimit;
  while (!aCondition()) {
    if (Now() >= end) {
      return false;
    }
    RunFor(kLoopStep);
  }
  return true;
}

std::string
MakeRequest(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aAttemptId,
            const std::string& aExtraFields,
            const std::string& aBody)
{
  return aMethod + " " + aPath +
         " HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + aAttemptId +
         "\r\nAuthorization: Bearer key-of-desk\r\n" + aExtraFields + "\r\n" +
         aBody;
}

std::string
MakeRoute(const std::string& aPrefix,
          const std::string& aKind,
          const std::string& aService,
          const std::string& aExtra)
{
  return R"({"name":"r)" + aPrefix.substr(0, aPrefix.size() - 1) +
         R"(","host":"desk.example","pathPrefix":")" + aPrefix +
         R"(","kind":")" + aKind + R"(","service":")" + aService +
         R"(","priority":1,"public":false,)" + aExtra + "}";
}

std::string
MakeConfig(const std::string& aRoutes,
           const std::vector<std::string>& aServices)
{
  std::string services;
  for (const std::string& service : aServices) {
    services += services.empty() ? "" : ",";
    services +=
      R"({"name":")" + service +
      R"(","healthPath":"/healthz","maxConnections":100,)"
      R"("protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0})";
  }
  return R"({"version":7,"routes":[)" + aRoutes + R"(],"services":[)" +
         services +
         R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
         R"("tenants":[{"name":"desk","apiKeys":["key-of-desk"],"priority":1}]})";
}

} // namespace walnutwing::review
