#include "review/standin-2/fleet.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <iterator>
#include <stdexcept>

#include <unistd.h>

namespace walnutwing::review {
namespace {

constexpr unsigned kListenPort = 8080;
constexpr unsigned kReadyPort = 8081;
constexpr unsigned kPeerPort = 8082;
constexpr Duration kStep{ 10 };
constexpr Duration kStartLimit{ 15'000 };
constexpr int kEventsOfStream = 60;

// The run command of deploy/system.toml; it finds its settings by the variable.
constexpr const char* kRouterProgram = "target/router/walnutwing-router";
constexpr const char* kRouterRole = "router";
constexpr const char* kSettingsVariable = "WALNUTWING_CONFIG";

Time
Now()
{
  return std::chrono::time_point_cast<Duration>(
    std::chrono::steady_clock::now());
}

// An address within 127.0.0.0/8 that no other case of this machine uses.
std::string
NextIp()
{
  static unsigned addresses = 0;
  const unsigned number = static_cast<unsigned>(getpid()) * 16 + addresses++;
  return "127." + std::to_string(64 + (number >> 16U & 63U)) + "." +
         std::to_string(number >> 8U & 255U) + "." +
         std::to_string(number & 255U);
}

std::string
MakeEvent(const std::string& aVersion, int aNumber)
{
  const std::string number = std::to_string(aNumber);
  return standin::MakeChunk("id: " + number + "\ndata: " + aVersion + "-" +
                            number + "\n\n");
}

} // namespace

bool
WithTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

Record::Record(const std::string& aFile)
  : m_file(aFile)
  , m_begunAt(Now())
{
}

void
Record::Add(const std::string& aText)
{
  m_file << (Now() - m_begunAt).count() << " ms  " << aText << std::endl;
}

Fleet::Fleet(const FleetOptions& aOptions, const std::string& aRecordFile)
  : m_record(aRecordFile)
  , m_ip(NextIp())
  , m_store(std::make_unique<standin::StoreStandin>(m_loop, m_ip))
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "walnutwing-review-XXXXXX")
      .string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary directory");
  }
  m_directory = pattern;
  PutConfig(aOptions.m_maxHeaderBytes);
  for (std::size_t i = 0; i < aOptions.m_engines; ++i) {
    AddEngine(aOptions.m_version);
  }
  constexpr std::size_t kAppEngines = 3;
  for (std::size_t i = 0; i < kAppEngines; ++i) {
    AddEngine("v1", "app");
  }
  for (std::size_t i = 0; i < aOptions.m_routers; ++i) {
    m_routers.push_back({ "edge-z" + std::to_string(i + 1) + "-1",
                          NextIp(),
                          m_store->AddAddress(m_ip),
                          nullptr });
  }
  for (std::size_t i = 0; i < m_routers.size(); ++i) {
    StartRouter(m_routers[i], i + 1);
  }
  const std::string allKnown =
    R"("daemons":)" + std::to_string(m_routers.size());
  for (std::size_t i = 0; i < m_routers.size(); ++i) {
    const bool started = RunUntil(
      [&] {
        return IsReady(m_routers[i]) &&
               LogText(i).find(allKnown) != std::string::npos;
      },
      kStartLimit);
    if (!started) {
      throw std::runtime_error("a router did not become ready");
    }
  }
  m_record.Add(std::to_string(m_routers.size()) + " routers and " +
               std::to_string(m_engines.size()) + " engines run");
}

Fleet::~Fleet()
{
  m_routers.clear();
  std::error_code ignored; // a temporary directory
  std::filesystem::remove_all(m_directory, ignored);
}

void
Fleet::StartRouter(RouterProcess& aRouter, std::size_t aZone)
{
  const std::string file = m_directory + "/" + aRouter.m_name + ".ini";
  const auto address = [&](unsigned aPort) {
    return aRouter.m_ip + ":" + std::to_string(aPort);
  };
  std::ofstream(file) << "[router]\nname = " << aRouter.m_name << "\nzone = z"
                      << aZone << "\nlisten = " << address(kListenPort)
                      << "\nready_listen = " << address(kReadyPort)
                      << "\npeer_listen = " << address(kPeerPort)
                      << "\nweight = 0.25\n[platform]\naddress = "
                      << m_store->AddressAt(aRouter.m_storeDoor)
                      << "\n[bounds]\nstop_limit_s = 8\ndrain_ms = 2000\n"
                         "config_ms = 2000\ncold_factor = 1.5\n"
                         "repeat_ratio = 0.2\nrepeat_window_s = 10\n"
                         "repeat_allowance = 54\nload_factor = 2\n"
                         "[limits]\nmemory_mb = 260\n"
                         "max_descriptors = 4100\n";
  setenv(kSettingsVariable, file.c_str(), 1);
  aRouter.m_process = std::make_unique<standin::ChildProcess>(
    std::vector<std::string>{ kRouterProgram, kRouterRole },
    m_directory + "/" + aRouter.m_name + ".log");
}

// Whether its page for the platform says 200.
bool
Fleet::IsReady(const RouterProcess& aRouter)
{
  try {
    CallerStandin caller(m_loop,
                         aRouter.m_ip + ":" + std::to_string(kReadyPort));
    caller.Send("GET /api/readyz HTTP/1.1\r\nHost: r\r\n\r\n");
    constexpr Duration kAnswerTime{ 50 };
    m_loop.run_for(kAnswerTime);
    m_loop.restart();
    return caller.Received().starts_with("HTTP/1.1 200");
  } catch (const boost::system::system_error&) {
    return false; // it does not listen yet
  }
}

void
Fleet::RunFor(Duration aTime)
{
  const Time end = Now() + aTime;
  while (Now() < end) {
    m_loop.run_for(std::min(kStep, end - Now()));
    m_loop.restart();
    for (Engine& engine : m_engines) {
      if (engine.m_runs && Now() >= engine.m_nextBeat) {
        Beat(engine);
      }
    }
    SendEvents();
  }
}

bool
Fleet::RunUntil(const std::function<bool()>& aCondition, Duration aLimit)
{
  const Time end = Now() + aLimit;
  while (!aCondition()) {
    if (Now() >= end) {
      return false;
    }
    RunFor(kStep);
  }
  return true;
}

std::unique_ptr<CallerStandin>
Fleet::Connect(std::size_t aRouter)
{
  return std::make_unique<CallerStandin>(
    m_loop, m_routers.at(aRouter).m_ip + ":" + std::to_string(kListenPort));
}

standin::ChildProcess&
Fleet::Router(std::size_t aRouter)
{
  return *m_routers.at(aRouter).m_process;
}

std::string
Fleet::LogText(std::size_t aRouter) const
{
  std::ifstream file(m_directory + "/" + m_routers.at(aRouter).m_name + ".log");
  return { std::istreambuf_iterator<char>(file), {} };
}

void
Fleet::CutFromStore(std::size_t aRouter, bool aCut)
{
  m_store->SetCut(m_routers.at(aRouter).m_storeDoor, aCut);
  m_record.Add(std::string("the store ") +
               (aCut ? "turns away " : "serves again ") +
               m_routers.at(aRouter).m_name);
}

void
Fleet::PutConfig(std::size_t aMaxHeaderBytes)
{
  const auto route = [](const std::string& aPrefix,
                        const std::string& aKind,
                        const std::string& aMore) {
    return R"({"name":"r-)" + aPrefix.substr(1, aPrefix.size() - 2) +
           R"(","host":"h.example","pathPrefix":")" + aPrefix +
           R"(","kind":")" + aKind +
           R"(","timeoutMs":10000,"targetLatencyMs":300,"priority":0,)"
           R"("public":false,)" +
           aMore + "}";
  };
  m_store->Put(
    "keyed.op",
    "config",
    R"({"version":1,"routes":[)" +
      route("/order/", "non_idempotent", R"("service":"app","maxAttempts":1)") +
      "," +
      route("/lookup/", "idempotent", R"("service":"app","maxAttempts":2)") +
      "," +
      route("/chat/",
            "streaming",
            R"("service":"pool","maxAttempts":2,"sticky":true,)"
            R"("resumable":true,)"
            R"("targetGapMs":300)") +
      R"(],"services":[{"name":"pool","healthPath":"/healthz",)"
      R"("maxConnections":360,"coldStartS":0,"coldPerS":0},)"
      R"({"name":"app","healthPath":"/healthz",)"
      R"("maxConnections":100,"coldStartS":0,"coldPerS":0}],)"
      R"("limits":{"maxHeaderBytes":)" +
      std::to_string(aMaxHeaderBytes) +
      R"(,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
      R"("idleTimeoutMs":15000},)"
      R"("tenants":[{"name":"c1","apiKeys":["k1"],"priority":1}]})");
  m_record.Add("the operator writes the configuration, maxHeaderBytes " +
               std::to_string(aMaxHeaderBytes));
}

void
Fleet::AddEngine(const std::string& aVersion, const std::string& aService)
{
  const std::size_t number = m_engines.size();
  Engine engine;
  engine.m_id = "i-" + std::to_string(number);
  engine.m_service = aService;
  engine.m_version = aVersion;
  engine.m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count();
  engine.m_server = std::make_unique<standin::UpstreamStandin>(m_loop, m_ip);
  engine.m_server->SetRecordsExchanges(false);
  engine.m_server->SetHandler(
    [this, number](const std::shared_ptr<UpstreamExchange>& aExchange) {
      OnRequest(number, aExchange);
    });
  m_engines.push_back(std::move(engine));
  Beat(m_engines.back());
  m_record.Add("engine i-" + std::to_string(number) + " of service " +
               aService + ", version " + aVersion + ", starts and registers");
}

void
Fleet::CrashEngine(std::size_t aEngine)
{
  Engine& engine = m_engines.at(aEngine);
  engine.m_runs = false;
  engine.m_server->Crash();
  for (Stream& stream : m_streams) {
    stream.m_ended = stream.m_ended || stream.m_engine == aEngine;
  }
  m_record.Add("engine " + engine.m_id + " of version " + engine.m_version +
               " crashes");
}

void
Fleet::RestartEngine(std::size_t aEngine, const std::string& aVersion)
{
  Engine& engine = m_engines.at(aEngine);
  engine.m_version = aVersion;
  engine.m_runs = true;
  engine.m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count();
  engine.m_beats = 0;
  engine.m_server->Restart();
  Beat(engine);
  m_record.Add("engine " + engine.m_id + " starts again as version " +
               aVersion + " and registers");
}

void
Fleet::Beat(Engine& aEngine)
{
  aEngine.m_nextBeat = Now() + kHeartbeat;
  m_store->Put("keyed.servers",
               aEngine.m_id,
               R"({"service":")" + aEngine.m_service + R"(","address":")" +
                 aEngine.m_server->Address() + R"(","zone":"z1","version":")" +
                 aEngine.m_version +
                 R"(","slots":64,"state":"ready","coldRemainingMs":0,)"
                 R"("born":)" +
                 std::to_string(aEngine.m_born) + R"(,"sequence":)" +
                 std::to_string(++aEngine.m_beats) + "}");
}

void
Fleet::PutForeignEntry(std::size_t aEngine, const std::string& aService)
{
  const Engine& engine = m_engines.at(aEngine);
  const std::string entry = R"({"service":")" + aService + R"(","address":")" +
                            engine.m_server->Address() +
                            R"(","zone":"z1","state":"ready"})";
  m_store->Put("keyed.servers", engine.m_id, entry);
  m_record.Add("another writer puts servers/" + engine.m_id + ": " + entry);
}

void
Fleet::OnRequest(std::size_t aEngine,
                 const std::shared_ptr<UpstreamExchange>& aExchange)
{
  const Engine& engine = m_engines.at(aEngine);
  const auto& request = aExchange->Request();
  const std::string path(request.target());
  const std::string after(request["Last-Event-Id"]);
  if (request["X-Expect-Instance"] != engine.m_id) {
    aExchange->Write(
      standin::MakeUpstreamResponse(request, 421, "", "X-Not-Executed: 1\r\n"));
    return;
  }
  if (m_poolIsFull && engine.m_service == "pool") {
    aExchange->Write(
      standin::MakeUpstreamResponse(request, 503, "", "X-Not-Executed: 1\r\n"));
    m_record.Add("engine " + engine.m_id + " is full, id " +
                 std::string(request["X-Attempt-Id"]));
    return;
  }
  m_record.Add("engine " + engine.m_id + " (" + engine.m_service + " " +
               engine.m_version + ") runs " +
               std::string(request.method_string()) + " " + path + " id " +
               std::string(request["X-Attempt-Id"]) + " body " +
               std::to_string(request.body().size()) + " bytes" +
               (after.empty() ? "" : " after event " + after));
  if (!path.starts_with("/chat/")) {
    if (m_handler) {
      m_handler(aEngine, aExchange);
    } else {
      aExchange->Write(standin::MakeUpstreamResponse(request, 200, "done"));
    }
    return;
  }
  aExchange->Write(standin::MakeStreamHead(request));
  m_streams.push_back({ aExchange,
                        aEngine,
                        engine.m_version,
                        after.empty() ? 1 : std::stoi(after) + 1,
                        Now(),
                        false });
}

void
Fleet::PauseStreams(std::size_t aEngine, Duration aTime)
{
  int paused = 0;
  for (Stream& stream : m_streams) {
    const bool runs = !stream.m_ended && !stream.m_exchange->PeerClosed();
    if (stream.m_engine == aEngine && runs) {
      stream.m_nextAt = Now() + aTime;
      ++paused;
    }
  }
  m_record.Add("engine " + m_engines.at(aEngine).m_id + " preempts " +
               std::to_string(paused) + " streams for " +
               std::to_string(aTime.count()) + " ms");
}

void
Fleet::SetPoolFull(bool aFull)
{
  m_poolIsFull = aFull;
  m_record.Add(std::string("the engines of pool are ") +
               (aFull ? "full" : "no longer full"));
}

void
Fleet::SendEvents()
{
  for (Stream& stream : m_streams) {
    if (stream.m_ended || Now() < stream.m_nextAt) {
      continue;
    }
    if (stream.m_exchange->PeerClosed()) {
      stream.m_ended = true;
      continue;
    }
    stream.m_nextAt = Now() + kEventPause;
    stream.m_exchange->Write(MakeEvent(stream.m_version, stream.m_nextEvent));
    if (++stream.m_nextEvent > kEventsOfStream) {
      stream.m_exchange->Write("0\r\n\r\n");
      stream.m_ended = true;
    }
  }
}

std::string
MakeHead(const std::string& aMethod,
         const std::string& aPath,
         const std::string& aAttemptId,
         const std::string& aFields)
{
  return aMethod + " " + aPath +
         " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + aAttemptId +
         "\r\nX-Deadline-Ms: 10000\r\nAuthorization: Bearer k1\r\n" + aFields +
         "\r\n";
}

std::string
MakeStreamRequest(const std::string& aAttemptId,
                  int aPrompt,
                  const std::string& aFields)
{
  constexpr int kSharedParts = 60;
  const std::string prompt = "5c1e" + std::to_string(aPrompt % kSharedParts) +
                             ":800,91bd" + std::to_string(aPrompt) + ":410";
  return MakeHead("POST",
                  "/chat/x",
                  aAttemptId,
                  "X-Model: m\r\nX-Token-Usage: 1210,80\r\nX-Prompt-Prefix: " +
                    prompt + "\r\nContent-Length: 0\r\n" + aFields);
}

int
LastEventOf(const std::string& aReceived)
{
  const std::string mark = "id: ";
  const std::size_t at = aReceived.rfind(mark);
  return at == std::string::npos
           ? 0
           : std::stoi(aReceived.substr(at + mark.size()));
}

} // namespace walnutwing::review
