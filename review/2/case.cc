// One router a zone, and engines of version v1. The store turns edge-1 away and
// serves the others. An engine of version v2 joins. Half a second later edge-2
// is killed, and its clients take their streams up again at edge-1.

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

constexpr int kRouters = 3;
constexpr int kEngines = 3; // of version v1
constexpr int kClients = 90;
constexpr Millis kEventInterval{ 50 };
constexpr int kEvents = 60;
constexpr int kBudgetMs = 12'000;
constexpr int kPatienceMs = 3200;
// After the store has begun to turn edge-1 away.
constexpr Millis kReleaseAfter{ 50 };
constexpr Millis kStreamsAfter{ 700 };
constexpr Millis kKillAfter{ 1250 };
constexpr Millis kServedAgainAfter{ 4500 };
constexpr Millis kRestartDelay{ 500 };
// ORDER allows this many streams with events of two versions.
constexpr int kAllowedMixed = 2;

class Case
{
public:
  explicit Case(Options aOptions)
    : m_options(std::move(aOptions))
    , m_network(PickNetwork())
    , m_record(m_options.m_record)
    , m_store(m_network + "250:8223", m_network + "251:8223")
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
    const auto start = std::chrono::steady_clock::now();
    if (m_options.m_trouble) {
      m_record.Add("the store turns edge-1 away with 503");
      m_store.RefuseAtOther(true);
    }
    std::this_thread::sleep_until(start + kReleaseAfter);
    AddEngine(kEngines, "v2");
    std::this_thread::sleep_until(start + kStreamsAfter);
    threads.reserve(kClients);
    for (int i = 0; i < kClients; ++i) {
      threads.emplace_back([this, i] { Take(i); });
    }
    std::this_thread::sleep_until(start + kKillAfter);
    m_record.Add("SIGKILL to edge-2");
    m_routers[1]->Signal(SIGKILL);
    std::this_thread::sleep_for(kRestartDelay);
    if (m_routers[1]->Ended()) {
      m_routers[1]->Start();
    }
    std::this_thread::sleep_until(start + kServedAgainAfter);
    m_store.RefuseAtOther(false);
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
    for (int i = 0; i < kEngines; ++i) {
      AddEngine(i, "v1");
    }
  }

  void AddEngine(int aNumber, const std::string& aVersion)
  {
    const std::string address =
      m_network + std::to_string(200 + aNumber) + ":8080";
    const std::string id = "i-" + std::to_string(aNumber + 1);
    m_engines.push_back(std::make_unique<Server>(
      address, [this, id, aVersion](Connection& aConnection) {
        ServeEngine(aConnection, id, aVersion);
      }));
    m_record.Add(
      Join({ "engine    ", id, " of version ", aVersion, " joins" }));
    m_registrar.Add({ id,
                      "pool",
                      address,
                      "zone-" + std::to_string(aNumber % kRouters + 1),
                      128,
                      aVersion });
  }

  void ServeEngine(Connection& aConnection,
                   const std::string& aId,
                   const std::string& aVersion)
  {
    while (const auto request = ReadRequest(aConnection)) {
      const std::string attempt = request->Field("x-attempt-id");
      const int from = std::atoi(request->Field("last-event-id").c_str());
      m_record.Add(Join({ "run       ",
                          attempt,
                          " at ",
                          aId,
                          " (",
                          aVersion,
                          ") after event ",
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
        const std::string event = Join(
          { "id: ", std::to_string(number), "\ndata: ", aVersion, "\n\n" });
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
                     "zone-" + std::to_string(i + 1),
                     m_network + std::to_string(i + 1) },
        m_network + (i == 0 ? "251:8223" : "250:8223")));
      m_routers.back()->Start();
    }
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
      "5c1e07a2:512,91" + aFirstId + ":1000,e4" + aFirstId +
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

  static bool Holds(const std::string& aBody, const std::string& aVersion)
  {
    return aBody.find("data: " + aVersion + "\n") != std::string::npos;
  }

  // One client of zone 2: a stream at edge-2 and, after its channel is broken,
  // the same stream at edge-1 of the nearest zone.
  void Take(int aClient)
  {
    const std::string id = "c" + std::to_string(aClient);
    const auto connection = Connection::Open(m_routers[1]->Frontend());
    if (connection == nullptr) {
      return;
    }
    m_record.Add("sent      " + id + " to edge-2");
    connection->Send(RequestFor(id, id, 0, kBudgetMs));
    const Response first = ReadResponse(*connection, kPatienceMs);
    const int last = LastEvent(first.m_message.m_body);
    if (first.m_end == ResponseEnd::Complete || last == 0) {
      m_record.Add("ended     " + id + " at event " + std::to_string(last));
      return;
    }
    const std::string nextId = id + "-1";
    const auto next = Connection::Open(m_routers[0]->Frontend());
    if (next == nullptr) {
      return;
    }
    m_record.Add("taken up  " + nextId + " after event " +
                 std::to_string(last) + " at edge-1");
    next->Send(RequestFor(nextId, id, last, kBudgetMs - 1000));
    const Response second = ReadResponse(*next, kPatienceMs);
    const std::string all = first.m_message.m_body + second.m_message.m_body;
    const bool mixed = Holds(all, "v1") && Holds(all, "v2");
    m_record.Add("answered  " + nextId + " " + std::to_string(second.m_status) +
                 (mixed ? ", the stream holds events of v1 and v2" : ""));
    m_mixed += mixed ? 1 : 0;
  }

  int Judge()
  {
    m_record.Add(
      "streams with events of two versions: " + std::to_string(m_mixed.load()) +
      " (ORDER allows " + std::to_string(kAllowedMixed) + ")");
    const bool broken = m_mixed > kAllowedMixed;
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
  std::atomic<int> m_mixed{ 0 };
};

} // namespace
} // namespace review

int
main(int aCount, char** aArguments)
{
  review::Case playedCase(review::ReadOptions(aCount, aArguments));
  review::ExitNow(playedCase.Run());
}
