// Clients take streams from one of two routers, on kept channels and one after
// the other. The router gets SIGTERM while a stream is in progress on each
// channel.

#include <atomic>
#include <csignal>
#include <cstdio>
#include <memory>
#include <mutex>
#include <set>

#include "../standin/fleet.h"

namespace review {
namespace {

constexpr int kRouters = 2;
constexpr int kEngines = 3;
constexpr int kClients = 6;
// As engines at full load: 7 tokens an event, 9.4 ms a token.
constexpr Millis kEventInterval{ 66 };
// The first stream of a client and the next ones.
constexpr int kFirstEvents = 68;
constexpr int kNextEvents = 80;
constexpr int kBudgetMs = 10'000;
// A client gives a stream up after a longer silence.
constexpr int kPatienceMs = 3200;
constexpr Millis kTermAfter{ 500 };
// The bounds of the rule, from SIGTERM on.
constexpr Millis kExcusedUntil{ 3000 };
constexpr Millis kJudgedUntil{ 9000 };
constexpr Millis kPlayedFor{ 15'000 };

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
      return m_routers[0]->IsReady() && m_routers[1]->IsReady();
    };
    if (!WaitUntil(ready, Millis(8000))) {
      m_record.Add("the routers are not ready");
      return kCouldNotRun;
    }
    // Until the routers have read how many they are.
    std::this_thread::sleep_for(Millis(3000));
    std::vector<std::thread> threads;
    for (int i = 0; i < kClients; ++i) {
      threads.emplace_back([this, i] { Send(i); });
      std::this_thread::sleep_for(Millis(30));
    }
    std::this_thread::sleep_for(kTermAfter);
    m_termAt = std::chrono::steady_clock::now();
    if (m_options.m_trouble) {
      m_record.Add("SIGTERM to edge-1");
      m_routers[0]->Signal(SIGTERM);
    }
    std::this_thread::sleep_for(kPlayedFor);
    m_over = true;
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
      ConfigText("{\"name\":\"r-ask\",\"host\":\"desk.example\","
                 "\"pathPrefix\":\"/ask/\",\"kind\":\"streaming\","
                 "\"timeoutMs\":10000,\"targetLatencyMs\":800,\"priority\":1,"
                 "\"service\":\"pool\",\"maxAttempts\":1,\"public\":false,"
                 "\"sticky\":true,\"resumable\":false,\"targetGapMs\":400}",
                 "{\"name\":\"pool\",\"healthPath\":\"/healthz\","
                 "\"maxConnections\":630,\"protocol\":\"h1\",\"tls\":false,"
                 "\"coldStartS\":0.0,\"coldPerS\":0.0}"));
    for (int i = 0; i < kEngines; ++i) {
      const std::string address = m_network + std::to_string(200 + i) + ":8080";
      const std::string id = "i-" + std::to_string(i + 1);
      m_engines.push_back(
        std::make_unique<Server>(address, [this, id](Connection& aConnection) {
          ServeEngine(aConnection, id);
        }));
      m_registrar.Add({ id, "pool", address, "zone-1", 128 });
    }
  }

  // The number of events stands in the request's body.
  void ServeEngine(Connection& aConnection, const std::string& aId)
  {
    while (const auto request = ReadRequest(aConnection)) {
      const std::string attempt = request->Field("x-attempt-id");
      m_record.Add(Join({ "run       ", attempt, " at ", aId }));
      if (!aConnection.Send(Join({ "HTTP/1.1 200 OK\r\nX-Attempt-Id: ",
                                   attempt,
                                   "\r\nX-Response-Seal: s.",
                                   attempt,
                                   kEventStreamFields }))) {
        return;
      }
      const int events = std::atoi(request->m_body.c_str());
      for (int number = 1; number <= events; ++number) {
        std::this_thread::sleep_for(kEventInterval);
        const std::string event =
          "id: " + std::to_string(number) + "\ndata: words\n\n";
        std::array<char, 16> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
        if (!aConnection.Send(size.data() + event + "\r\n")) {
          m_record.Add("engine    " + attempt + " is closed at event " +
                       std::to_string(number));
          return;
        }
      }
      m_record.Add("engine    " + attempt + " has ended");
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
                     "zone-1",
                     m_network + std::to_string(i + 1) },
        m_network + "250:8223"));
      m_routers.back()->Start();
    }
  }

  // One client: streams on a kept channel, for as long as the router has not
  // stated that it closes it.
  void Send(int aClient)
  {
    const auto connection = Connection::Open(m_routers[0]->Frontend());
    for (int number = 0; connection != nullptr && !m_over; ++number) {
      const std::string id =
        "c" + std::to_string(aClient) + "-" + std::to_string(number);
      const std::string body =
        std::to_string(number == 0 ? kFirstEvents : kNextEvents);
      const auto sentAt = std::chrono::steady_clock::now();
      m_record.Add("sent      " + id);
      connection->Send(
        "POST /ask/2f HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + id +
        "\r\nX-Model: m\r\nX-Token-Usage: 830,952\r\nX-Prompt-Prefix: " +
        "5c1e07a2:119,91bd3f06:580,e4" + std::to_string(aClient) +
        std::to_string(number) +
        ":130\r\nX-Deadline-Ms: " + std::to_string(kBudgetMs) +
        "\r\nAuthorization: Bearer key-1\r\nContent-Length: " +
        Join({ std::to_string(body.size()), "\r\n\r\n", body }));
      const Response response = ReadResponse(*connection, kPatienceMs);
      if (response.m_end == ResponseEnd::Complete) {
        m_record.Add("answered  " + id + " " +
                     std::to_string(response.m_status) +
                     (response.CloseStated() ? ", with Connection: close"
                                             : ", the channel is kept"));
        if (response.CloseStated()) {
          return;
        }
        continue;
      }
      OnNoAnswer(id, response, sentAt);
      return;
    }
  }

  void OnNoAnswer(const std::string& aId,
                  const Response& aResponse,
                  SteadyTime aSentAt)
  {
    const auto now = std::chrono::steady_clock::now();
    const auto sent = std::chrono::duration_cast<Millis>(aSentAt - m_termAt);
    const auto ended = std::chrono::duration_cast<Millis>(now - m_termAt);
    // A request that the router has not read crosses its close.
    const bool begun = aResponse.m_status != 0;
    const bool cut = aResponse.m_end == ResponseEnd::Broken;
    const bool lost = m_options.m_trouble && begun && cut &&
                      sent > kExcusedUntil && ended < kJudgedUntil &&
                      now - aSentAt < Millis(kBudgetMs);
    m_record.Add("no answer " + aId + ", sent " + std::to_string(sent.count()) +
                 " ms and cut " + std::to_string(ended.count()) +
                 " ms after the SIGTERM" + (begun ? "" : ", not read") +
                 (lost ? ": lost" : ""));
    m_lost += lost ? 1 : 0;
  }

  int Judge()
  {
    m_record.Add("requests that were read later than 3 s after the SIGTERM, "
                 "passed on and cut: " +
                 std::to_string(m_lost.load()) + " (LOST allows none)");
    m_record.Add(m_lost > 0 ? "rule broken" : "rule held");
    for (const auto& router : m_routers) {
      router->Kill();
    }
    return m_lost > 0 ? kRuleBroken : kRuleHeld;
  }

  Options m_options;
  std::string m_network;
  Record m_record;
  Store m_store;
  Registrar m_registrar;
  std::vector<std::unique_ptr<Server>> m_engines;
  std::vector<std::unique_ptr<RouterProcess>> m_routers;
  SteadyTime m_termAt;
  std::atomic<bool> m_over{ false };
  std::atomic<int> m_lost{ 0 };
};

} // namespace
} // namespace review

int
main(int aCount, char** aArguments)
{
  review::Case playedCase(review::ReadOptions(aCount, aArguments));
  review::ExitNow(playedCase.Run());
}
