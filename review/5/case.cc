// Clients take streams that may be resumed from nine routers, while engines of
// two software versions serve side by side. Eight routers are killed at once,
// and the clients take their streams up again at the ninth.

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <memory>
#include <mutex>
#include <set>

#include "../standin/fleet.h"

namespace review {
namespace {

constexpr int kRouters = 9;
constexpr int kZones = 3;
constexpr int kEnginesPerVersion = 3;
constexpr int kVersions = 2;
// The router that is not killed.
constexpr std::array<int, 1> kSurvivors = { 4 };
constexpr int kClientsPerRouter = 6;
constexpr int kNewStreams = 20;
constexpr Millis kEventInterval{ 50 };
constexpr int kEvents = 100;
constexpr int kBudgetMs = 12'000;
constexpr int kPatienceMs = 3200;
constexpr Millis kKillAfter{ 2500 };
constexpr Millis kRestartDelay{ 500 };
// LOST judges this many streams that are taken up, or more.
constexpr int kMinTakenUp = 12;

class Case
{
public:
  explicit Case(Options aOptions)
    : m_options(std::move(aOptions))
    , m_network(PickNetwork())
    , m_record(m_options.m_record)
    , m_store(m_network + "250:8223")
    , m_registrar(m_store)
  {
  }

  int Run()
  {
    if (!m_store.Listening()) {
      return kCouldNotRun;
    }
    StartEngines();
    StartRouters();
    const auto ready = [this] {
      return std::all_of(
        m_routers.begin(), m_routers.end(), [](const auto& aRouter) {
          return aRouter->IsReady();
        });
    };
    if (!WaitUntil(ready, Millis(8000))) {
      m_record.Add("the routers are not ready");
      return kCouldNotRun;
    }
    // Until the routers know each other.
    std::this_thread::sleep_for(Millis(12'000));
    std::vector<std::thread> threads;
    for (int i = 0; i < kRouters * kClientsPerRouter; ++i) {
      const int router = i % kRouters;
      if (!IsSurvivor(router)) {
        threads.emplace_back([this, i, router] { Take(i, router); });
        std::this_thread::sleep_for(Millis(10));
      }
    }
    std::this_thread::sleep_for(kKillAfter);
    m_broken = true;
    if (m_options.m_trouble) {
      KillAndRestart(threads);
    }
    for (int i = 0; i < kNewStreams; ++i) {
      threads.emplace_back([this, i] { BeginNew(i); });
      std::this_thread::sleep_for(Millis(50));
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    return Judge();
  }

private:
  void StartEngines()
  {
    m_store.Put(
      "keyed.op",
      "config",
      ConfigText("{\"name\":\"r-plan\",\"host\":\"desk.example\","
                 "\"pathPrefix\":\"/plan/\",\"kind\":\"streaming\","
                 "\"timeoutMs\":12000,\"targetLatencyMs\":600,\"priority\":0,"
                 "\"service\":\"pool\",\"maxAttempts\":2,\"public\":false,"
                 "\"sticky\":true,\"resumable\":true,\"targetGapMs\":400}",
                 "{\"name\":\"pool\",\"healthPath\":\"/healthz\","
                 "\"maxConnections\":630,\"protocol\":\"h1\",\"tls\":false,"
                 "\"coldStartS\":0.0,\"coldPerS\":0.0}"));
    for (int i = 0; i < kVersions * kEnginesPerVersion; ++i) {
      const std::string address = m_network + std::to_string(200 + i) + ":8080";
      const std::string id = "i-" + std::to_string(i + 1);
      m_engines.push_back(
        std::make_unique<Server>(address, [this, id](Connection& aConnection) {
          ServeEngine(aConnection, id);
        }));
      m_registrar.Add({ id,
                        "pool",
                        address,
                        "zone-" + std::to_string(i % kZones + 1),
                        128,
                        i < kEnginesPerVersion ? "v1" : "v2" });
    }
  }

  void ServeEngine(Connection& aConnection, const std::string& aId)
  {
    while (const auto request = ReadRequest(aConnection)) {
      const std::string attempt = request->Field("x-attempt-id");
      const int from = std::atoi(request->Field("last-event-id").c_str());
      m_record.Add(Join({ "run       ",
                          attempt,
                          " at ",
                          aId,
                          " after event ",
                          std::to_string(from) }));
      if (!aConnection.Send(Join({ "HTTP/1.1 200 OK\r\nX-Attempt-Id: ",
                                   attempt,
                                   "\r\nX-Response-Seal: s.",
                                   attempt,
                                   kEventStreamFields }))) {
        return;
      }
      for (int number = from + 1; number <= kEvents; ++number) {
        std::this_thread::sleep_for(kEventInterval);
        const std::string event =
          "id: " + std::to_string(number) + "\ndata: words\n\n";
        std::array<char, 16> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
        if (!aConnection.Send(size.data() + event + "\r\n")) {
          return;
        }
      }
      if (!aConnection.Send("0\r\n\r\n")) {
        return;
      }
    }
  }

  void StartRouters()
  {
    for (int i = 0; i < kRouters; ++i) {
      m_routers.push_back(std::make_unique<RouterProcess>(
        m_options.m_router,
        m_options.m_folder,
        RouterPlace{ "edge-" + std::to_string(i + 1),
                     "zone-" + std::to_string(i % kZones + 1),
                     m_network + std::to_string(i + 1) },
        m_network + "250:8223"));
      m_routers.back()->Start();
    }
  }

  static bool IsSurvivor(int aRouter)
  {
    return std::find(kSurvivors.begin(), kSurvivors.end(), aRouter) !=
           kSurvivors.end();
  }

  void KillAndRestart(std::vector<std::thread>& aThreads)
  {
    m_record.Add("SIGKILL to all routers but edge-5");
    for (int i = 0; i < kRouters; ++i) {
      if (!IsSurvivor(i)) {
        m_routers[static_cast<std::size_t>(i)]->Signal(SIGKILL);
      }
    }
    // The platform starts them again.
    aThreads.emplace_back([this] {
      std::this_thread::sleep_for(kRestartDelay);
      for (int i = 0; i < kRouters; ++i) {
        RouterProcess& router = *m_routers[static_cast<std::size_t>(i)];
        if (!IsSurvivor(i) && router.Ended()) {
          router.Start();
        }
      }
    });
  }

  // The request for a stream, with the fields of one that is taken up if
  // aLastEvent is not 0.
  static std::string RequestFor(const std::string& aId,
                                const std::string& aFirstId,
                                int aLastEvent,
                                int aTimeLeftMs)
  {
    std::string request =
      "POST /plan/2f HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + aId +
      "\r\nX-Model: m\r\nX-Token-Usage: 1812,700\r\nX-Prompt-Prefix: " +
      "5c1e07a2:512,91bd3f06:1000,e4" + aFirstId +
      ":300\r\nX-Deadline-Ms: " + std::to_string(aTimeLeftMs) +
      "\r\nAuthorization: Bearer key-1\r\nContent-Length: 4\r\n";
    if (aLastEvent != 0) {
      request += "Last-Event-Id: " + std::to_string(aLastEvent) +
                 "\r\nResumes: " + aFirstId + "\r\n";
    }
    return request + "\r\nplan";
  }

  static int LastEvent(const std::string& aBody)
  {
    const std::size_t at = aBody.rfind("id: ");
    return at == std::string::npos ? 0 : std::atoi(aBody.c_str() + at + 4);
  }

  // One client: a stream at a router, and after its channel is broken the same
  // stream again at the router that is left.
  void Take(int aClient, int aRouter)
  {
    const std::string id = "c" + std::to_string(aClient);
    const auto connection = Connection::Open(
      m_routers[static_cast<std::size_t>(aRouter)]->Frontend());
    if (connection == nullptr) {
      return;
    }
    const auto sentAt = std::chrono::steady_clock::now();
    m_record.Add("sent      " + id + " to edge-" + std::to_string(aRouter + 1));
    connection->Send(RequestFor(id, id, 0, kBudgetMs));
    const Response response = ReadResponse(*connection, kPatienceMs, [this] {
      return m_broken && !m_options.m_trouble; // its own channel breaks
    });
    const int last = LastEvent(response.m_message.m_body);
    if (response.m_end == ResponseEnd::Complete || last == 0) {
      m_record.Add("ended     " + id + " at event " + std::to_string(last));
      return;
    }
    TakeUp(aClient, id, last, sentAt);
  }

  void TakeUp(int aClient,
              const std::string& aFirstId,
              int aLastEvent,
              SteadyTime aSentAt)
  {
    ++m_takenUp;
    const RouterProcess& router = *m_routers[static_cast<std::size_t>(
      kSurvivors.at(static_cast<std::size_t>(aClient) % kSurvivors.size()))];
    constexpr int kTries = 2; // a client repeats once
    for (int number = 1; number <= kTries; ++number) {
      const std::string id = aFirstId + "-" + std::to_string(number);
      const auto left =
        Millis(kBudgetMs) - std::chrono::duration_cast<Millis>(
                              std::chrono::steady_clock::now() - aSentAt);
      const auto connection = Connection::Open(router.Frontend());
      if (connection == nullptr) {
        return;
      }
      m_record.Add("taken up  " + id + " after event " +
                   std::to_string(aLastEvent) + " at " + router.Place().m_name);
      connection->Send(
        RequestFor(id, aFirstId, aLastEvent, static_cast<int>(left.count())));
      const Response response = ReadResponse(*connection, kPatienceMs);
      m_record.Add("answered  " + id + " " + std::to_string(response.m_status) +
                   " Retry-After " + response.m_message.Field("retry-after"));
      if (response.m_status == 200) {
        m_goesOn += LastEvent(response.m_message.m_body) == kEvents ? 1 : 0;
        return;
      }
      const double wait =
        std::atof(response.m_message.Field("retry-after").c_str());
      std::this_thread::sleep_for(std::chrono::duration<double>(wait));
    }
  }

  // New streams at the router that is left, meanwhile.
  void BeginNew(int aNumber)
  {
    const std::string id = "n" + std::to_string(aNumber);
    const RouterProcess& router = *m_routers[static_cast<std::size_t>(
      kSurvivors.at(static_cast<std::size_t>(aNumber) % kSurvivors.size()))];
    const auto connection = Connection::Open(router.Frontend());
    if (connection == nullptr) {
      return;
    }
    connection->Send(RequestFor(id, id, 0, kBudgetMs));
    const Response response = ReadResponse(*connection, kPatienceMs);
    m_record.Add("new       " + id + " " + std::to_string(response.m_status));
    m_begun += response.m_status == 200 ? 1 : 0;
  }

  int Judge()
  {
    const double begun = static_cast<double>(m_begun.load()) / kNewStreams;
    const double goesOn =
      m_takenUp == 0 ? 1
                     : static_cast<double>(m_goesOn.load()) / m_takenUp.load();
    m_record.Add("streams taken up: " + std::to_string(m_takenUp.load()) +
                 ", of these went on: " + std::to_string(m_goesOn.load()) +
                 "; new streams: " + std::to_string(kNewStreams) +
                 ", of these begun: " + std::to_string(m_begun.load()));
    const bool broken = m_takenUp >= kMinTakenUp && goesOn < begun / 2;
    m_record.Add(broken ? "rule broken" : "rule held");
    for (const auto& router : m_routers) {
      router->Kill();
    }
    return broken ? kRuleBroken : kRuleHeld;
  }

  Options m_options;
  std::string m_network;
  Record m_record;
  Store m_store;
  Registrar m_registrar;
  std::vector<std::unique_ptr<Server>> m_engines;
  std::vector<std::unique_ptr<RouterProcess>> m_routers;
  std::atomic<bool> m_broken{ false };
  std::atomic<int> m_takenUp{ 0 };
  std::atomic<int> m_goesOn{ 0 };
  std::atomic<int> m_begun{ 0 };
};

} // namespace
} // namespace review

int
main(int aCount, char** aArguments)
{
  review::Case playedCase(review::ReadOptions(aCount, aArguments));
  review::ExitNow(playedCase.Run());
}
