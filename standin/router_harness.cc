// The stand-ins and each router have an IP address of their own within
// 127.128.0.0/9, derived from the process id and a counter, so that tests that
// run at the same time don't conflict.

#include "standin/router_harness.h"

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <unistd.h>

namespace walnutwing::standin {
namespace {

constexpr unsigned kReadyPort = 8081;
constexpr unsigned kListenPort = 8080;
constexpr unsigned kPeerPort = 8082;
constexpr unsigned kMetricsPort = 8083;

// Another build of the router, which is tested instead of this one's.
constexpr const char* kRouterVariable = "WALNUTWING_ROUTER";

std::string
RouterProgram()
{
  const char* program = std::getenv(kRouterVariable);
  return program == nullptr ? WALNUTWING_BUILD_DIR "/router/walnutwing-router"
                            : program;
}

std::string
NextIp()
{
  static unsigned addresses = 0;
  const auto pid = static_cast<unsigned>(getpid());
  const unsigned number = pid * 64 + addresses++;
  return "127." + std::to_string(128 + (number >> 16U & 127U)) + "." +
         std::to_string(number >> 8U & 255U) + "." +
         std::to_string(number & 255U);
}

} // namespace

RouterHarness::RouterHarness(const HarnessOptions& aOptions)
  : m_ip(NextIp())
  , m_options(aOptions)
  , m_store(std::make_unique<StoreStandin>(m_loop, m_ip))
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "walnutwing-router-XXXXXX")
      .string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary directory");
  }
  m_directory = pattern;
  if (aOptions.m_storeResponsePause > Duration::zero()) {
    m_store->SetPieces(2, aOptions.m_storeResponsePause);
  }
  if (aOptions.m_startWithConfig) {
    PutConfig(1);
  }
  for (std::size_t i = 0; i < aOptions.m_upstreams; ++i) {
    m_upstreams.push_back(std::make_unique<UpstreamStandin>(m_loop, m_ip));
    if (!aOptions.m_version.empty()) {
      SetUpstreamVersion(i, aOptions.m_version);
    }
    RegisterUpstream(i);
  }
  for (std::size_t i = 0; i < aOptions.m_routers; ++i) {
    m_routers.push_back({ "d" + std::to_string(i + 1),
                          "z" + std::to_string(i % 2 + 1),
                          i == 0 ? m_ip : NextIp(),
                          aOptions.m_ownStoreAddresses
                            ? m_store->AddressAt(m_store->AddAddress(m_ip))
                            : m_store->Address(),
                          nullptr });
  }
  WriteSettings();
  for (std::size_t i = 0; i < m_routers.size(); ++i) {
    StartRouter(i);
  }
  const int status = aOptions.m_startWithConfig ? 200 : 503;
  for (std::size_t i = 0; aOptions.m_waitUntilReady && i < m_routers.size();
       ++i) {
    if (!WaitUntil([&] { return ReadyStatus(i) == status; })) {
      throw std::runtime_error("a router did not become ready: " + LogText(i));
    }
  }
}

void
RouterHarness::StartRouter(std::size_t aRouter)
{
  RouterProcess& router = m_routers.at(aRouter);
  router.m_process.reset();
  router.m_process = std::make_unique<ChildProcess>(
    std::vector<std::string>{
      RouterProgram(), "router", "--config", SettingsFileOf(router) },
    LogFileOf(router));
}

std::string
RouterHarness::SettingsFileOf(const RouterProcess& aRouter) const
{
  return m_directory + "/" + aRouter.m_name + ".ini";
}

std::string
RouterHarness::LogFileOf(const RouterProcess& aRouter) const
{
  return m_directory + "/" + aRouter.m_name + ".log";
}

RouterHarness::~RouterHarness()
{
  m_routers.clear();
  std::error_code ignored; // a temporary directory
  std::filesystem::remove_all(m_directory, ignored);
}

void
RouterHarness::WriteSettings(const std::string& aExtra)
{
  for (const RouterProcess& router : m_routers) {
    std::ofstream file(SettingsFileOf(router));
    file << "[router]\nname = " << router.m_name << "\nzone = " << router.m_zone
         << "\nlisten = " << router.m_ip << ":" << kListenPort
         << "\nready_listen = " << router.m_ip << ":" << kReadyPort
         << "\npeer_listen = " << router.m_ip << ":" << kPeerPort
         << "\nmetrics_port = " << kMetricsPort
         << "\n[platform]\naddress = " << router.m_store
         << "\n[bounds]\nstop_limit_s = " << m_options.m_stopLimitSeconds
         << "\n"
         << m_options.m_extraBounds << aExtra;
    if (!m_options.m_limits.empty()) {
      file << "\n[limits]\n" << m_options.m_limits;
    }
  }
}

void
RouterHarness::RemoveSettings()
{
  for (const RouterProcess& router : m_routers) {
    std::filesystem::remove(SettingsFileOf(router));
  }
}

bool
RouterHarness::WaitUntil(const std::function<bool()>& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kHarnessWaitTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    m_loop.run_for(std::chrono::milliseconds(5));
    m_loop.restart();
  }
  return true;
}

void
RouterHarness::RunLoopFor(Duration aTime)
{
  m_loop.run_for(aTime);
  m_loop.restart();
}

void
RouterHarness::PutConfig(int aVersion, const std::string& aOrderPrefix)
{
  const auto route = [](const std::string& aPrefix,
                        const std::string& aKind,
                        const std::string& aExtra) {
    return R"({"host":"h.example","pathPrefix":")" + aPrefix + R"(","kind":")" +
           aKind +
           R"(","service":"s","timeoutMs":8000,"targetLatencyMs":250,)" +
           aExtra + "}";
  };
  m_store->Put(
    "keyed.op",
    "config",
    R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[)" +
      route(aOrderPrefix, "non_idempotent", R"("maxAttempts":1)") + "," +
      route("/lookup/", "idempotent", R"("maxAttempts":2)") + "," +
      route("/public/", "idempotent", R"("public":true)") + "," +
      route("/stream/", "streaming", R"("maxAttempts":1)") + "," +
      route("/resume/",
            "streaming",
            R"("maxAttempts":2,"resumable":true,"targetGapMs":100)") +
      R"(],"services":[{"name":"s"}],)"
      R"("limits":{"maxHeaderBytes":4096,"maxBodyBytes":)" +
      std::to_string(m_options.m_maxBodyBytes) +
      R"(,"headerTimeoutMs":300,"idleTimeoutMs":5000},)"
      R"("tenants":[{"name":"c1","apiKeys":["k1"],"priority":3},)"
      R"({"name":"c2","apiKeys":["k2"],"priority":3}]})");
}

void
RouterHarness::RegisterUpstream(std::size_t aIndex,
                                const std::string& aState,
                                std::int64_t aStartWallMs)
{
  PutRegistration("i-" + std::to_string(aIndex), aIndex, aState, aStartWallMs);
}

void
RouterHarness::RegisterUpstreamAs(const std::string& aId, std::size_t aIndex)
{
  PutRegistration(aId, aIndex, "ready", 0);
}

void
RouterHarness::PutRegistration(const std::string& aId,
                               std::size_t aIndex,
                               const std::string& aState,
                               std::int64_t aStartWallMs)
{
  const std::string born =
    aStartWallMs == 0 ? "" : R"(,"born":)" + std::to_string(aStartWallMs);
  const auto version = m_versions.find(aIndex);
  const std::string versionField =
    version == m_versions.end() ? ""
                                : R"(,"version":")" + version->second + "\"";
  m_store->Put("keyed.servers",
               aId,
               R"({"service":"s","address":")" +
                 m_upstreams.at(aIndex)->Address() +
                 R"(","zone":"z1","slots":8,"state":")" + aState + "\"" + born +
                 versionField + "}");
}

void
RouterHarness::SetUpstreamVersion(std::size_t aIndex,
                                  const std::string& aVersion)
{
  m_versions[aIndex] = aVersion;
}

void
RouterHarness::AddUpstream(const std::string& aVersion)
{
  m_upstreams.push_back(std::make_unique<UpstreamStandin>(m_loop, m_ip));
  SetUpstreamVersion(m_upstreams.size() - 1, aVersion);
}

std::unique_ptr<CallerStandin>
RouterHarness::ConnectOnceItListens()
{
  std::unique_ptr<CallerStandin> caller;
  WaitUntil([&] {
    try {
      caller = Connect();
    } catch (const boost::system::system_error&) {
      return false; // it does not listen yet
    }
    return true;
  });
  return caller;
}

std::unique_ptr<CallerStandin>
RouterHarness::ConnectTo(std::size_t aRouter, std::uint16_t aPort)
{
  return std::make_unique<CallerStandin>(
    m_loop, m_routers.at(aRouter).m_ip + ":" + std::to_string(aPort));
}

std::unique_ptr<CallerStandin>
RouterHarness::Connect(std::size_t aRouter)
{
  return ConnectTo(aRouter, kListenPort);
}

std::unique_ptr<CallerStandin>
RouterHarness::ConnectToReadyPage()
{
  return ConnectTo(0, kReadyPort);
}

std::string
RouterHarness::Fetch(const std::string& aMethod,
                     const std::string& aPath,
                     const std::string& aExtraFields,
                     const std::string& aBody)
{
  const auto caller = Connect();
  const bool hasKey = aExtraFields.find("Authorization") != std::string::npos;
  caller->Send(
    aMethod + " " + aPath +
    " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n" +
    (hasKey ? "" : "Authorization: Bearer k1\r\n") +
    "Connection: close\r\nContent-Length: " + std::to_string(aBody.size()) +
    "\r\n" + aExtraFields + "\r\n" + aBody);
  WaitUntil([&] { return caller->Ended(); });
  return caller->Received();
}

// Returns status 0 if there was no response.
http::response<http::string_body>
RouterHarness::FetchPage(std::size_t aRouter,
                         std::uint16_t aPort,
                         const std::string& aPath)
{
  error_code error;
  Tcp::socket socket(m_loop);
  http::response<http::string_body> answer;
  answer.result(0U);
  socket.connect(
    { asio::ip::make_address_v4(m_routers.at(aRouter).m_ip), aPort }, error);
  if (error) {
    return answer;
  }
  asio::write(
    socket, asio::buffer("GET " + aPath + " HTTP/1.1\r\n\r\n"), error);
  boost::beast::flat_buffer input;
  http::response_parser<http::string_body> parser;
  http::read(socket, input, parser, error);
  return error ? answer : parser.release();
}

int
RouterHarness::ReadyStatus(std::size_t aRouter)
{
  return static_cast<int>(
    FetchPage(aRouter, kReadyPort, "/api/readyz").result_int());
}

std::size_t
RouterHarness::RouterStatusField(const std::string& aField) const
{
  constexpr std::size_t kBytesPerKb = 1024;
  std::ifstream file(
    "/proc/" + std::to_string(m_routers.front().m_process->Pid()) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with(aField)) {
      return std::stoul(line.substr(aField.size())) * kBytesPerKb;
    }
  }
  throw std::runtime_error("the router has no " + aField + " it has ended");
}

std::size_t
RouterHarness::RouterPeakMemory() const
{
  return RouterStatusField("VmHWM:");
}

std::size_t
RouterHarness::RouterMemory() const
{
  return RouterStatusField("VmRSS:");
}

std::size_t
RouterHarness::RouterDescriptors() const
{
  const std::filesystem::directory_iterator descriptors(
    "/proc/" + std::to_string(m_routers.front().m_process->Pid()) + "/fd");
  return static_cast<std::size_t>(
    std::distance(begin(descriptors), end(descriptors)));
}

Duration
RouterHarness::RouterProcessorTime() const
{
  constexpr std::size_t kFieldsBeforeUserTime = 11; // after the program's name
  constexpr long kMsPerSecond = 1000;
  std::ifstream file(
    "/proc/" + std::to_string(m_routers.front().m_process->Pid()) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  for (std::size_t i = 0; i < kFieldsBeforeUserTime; ++i) {
    fields >> skipped;
  }
  long user = 0;
  long system = 0;
  fields >> user >> system;
  return Duration((user + system) * kMsPerSecond / sysconf(_SC_CLK_TCK));
}

Tcp::endpoint
RouterHarness::CallersEndpoint() const
{
  return { asio::ip::make_address_v4(m_routers.front().m_ip), kListenPort };
}

std::string
RouterHarness::MetricsText(std::size_t aRouter)
{
  return FetchPage(aRouter, kMetricsPort, "/metrics").body();
}

std::size_t
RouterHarness::CountExchanges() const
{
  std::size_t count = 0;
  for (const auto& upstream : m_upstreams) {
    count += upstream->Exchanges().size();
  }
  return count;
}

std::string
RouterHarness::LogText(std::size_t aRouter) const
{
  std::ifstream file(LogFileOf(m_routers.at(aRouter)));
  return { std::istreambuf_iterator<char>(file), {} };
}

} // namespace walnutwing::standin
