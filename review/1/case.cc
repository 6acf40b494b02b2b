// Three routers before three engines of a plain service take orders while the
// platform restarts any router that ends. Another writer then adds one record
// that cannot be read to the list of engines.

#include <atomic>
#include <csignal>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <set>

#include "../standin/fleet.h"

namespace review {
namespace {

constexpr int kRouters = 3;
constexpr int kClientsPerRouter = 10;
constexpr Millis kWork{ 60 };
constexpr int kBudgetMs = 1000;
constexpr Millis kTroubleAfter{ 4000 };
constexpr Millis kPlayedFor{ 16'000 };
constexpr Millis kRestartDelay{ 500 };
// As long as the platform's largest record allows, less the key.
constexpr std::size_t kUnreadableBytes = 262'000;
// LOST allows this many; Fault counts machines with so many ends.
constexpr int kAllowedLosses = 3;
constexpr int kEndsOfFault = 3;
constexpr int kMachinesOfFault = 2;

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
    if (!WaitUntil([this] { return AllReady(); }, Millis(8000))) {
      m_record.Add("the routers are not ready");
      return kCouldNotRun;
    }
    std::vector<std::thread> threads;
    threads.reserve(kRouters * kClientsPerRouter + 1);
    for (int i = 0; i < kRouters * kClientsPerRouter; ++i) {
      threads.emplace_back([this, i] { Send(i); });
    }
    threads.emplace_back([this] { Supervise(); });
    std::this_thread::sleep_for(kTroubleAfter);
    if (m_options.m_trouble) {
      m_record.Add("another writer adds servers/x-17: " +
                   std::to_string(kUnreadableBytes) + " bytes of [");
      m_store.Put("keyed.servers", "x-17", std::string(kUnreadableBytes, '['));
    }
    std::this_thread::sleep_for(kPlayedFor - kTroubleAfter);
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
      ConfigText("{\"name\":\"r-order\",\"host\":\"desk.example\","
                 "\"pathPrefix\":\"/order/\",\"kind\":\"non_idempotent\","
                 "\"timeoutMs\":1000,\"targetLatencyMs\":150,\"priority\":2,"
                 "\"service\":\"booking\",\"maxAttempts\":1,\"public\":false,"
                 "\"sticky\":false,\"resumable\":false}",
                 "{\"name\":\"booking\",\"healthPath\":\"/healthz\","
                 "\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false,"
                 "\"coldStartS\":0.0,\"coldPerS\":0.0}"));
    for (int i = 0; i < kRouters; ++i) {
      const std::string address = m_network + std::to_string(200 + i) + ":8080";
      const std::string id = "i-" + std::to_string(i + 1);
      m_engines.push_back(
        std::make_unique<Server>(address, [this, id](Connection& aConnection) {
          ServeEngine(aConnection, id);
        }));
      m_registrar.Add(
        { id, "booking", address, "zone-" + std::to_string(i + 1), 6 });
    }
  }

  void ServeEngine(Connection& aConnection, const std::string& aId)
  {
    while (const auto request = ReadRequest(aConnection)) {
      const std::string attempt = request->Field("x-attempt-id");
      {
        const std::lock_guard lock(m_mutex);
        m_run.insert(attempt);
      }
      m_record.Add(Join({ "run       ", attempt, " at ", aId }));
      std::this_thread::sleep_for(kWork);
      if (!aConnection.Send(Join({ "HTTP/1.1 200 OK\r\nX-Attempt-Id: ",
                                   attempt,
                                   "\r\nX-Response-Seal: s.",
                                   attempt,
                                   "\r\nX-Instance-Id: ",
                                   aId,
                                   "\r\nContent-Length: 6\r\n\r\nbooked" }))) {
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
        m_network + "250:8223"));
      m_routers.back()->Start();
    }
  }

  bool AllReady() const
  {
    for (const auto& router : m_routers) {
      if (!router->IsReady()) {
        return false;
      }
    }
    return true;
  }

  // The platform: starts a router that has ended again.
  void Supervise()
  {
    while (!m_over) {
      std::this_thread::sleep_for(Millis(10));
      for (const auto& router : m_routers) {
        const auto ended = router->Ended();
        if (!ended) {
          continue;
        }
        ++m_ends[router->Place().m_name];
        m_record.Add("ended     " + router->Place().m_name +
                     " by itself: " + *ended);
        m_restartAt[router.get()] =
          std::chrono::steady_clock::now() + kRestartDelay;
      }
      std::erase_if(m_restartAt, [](const auto& aEntry) {
        if (std::chrono::steady_clock::now() < aEntry.second) {
          return false;
        }
        aEntry.first->Start();
        return true;
      });
    }
  }

  // One client, on a kept channel as long as that lasts.
  void Send(int aClient)
  {
    const RouterProcess& router =
      *m_routers[static_cast<std::size_t>(aClient % kRouters)];
    std::unique_ptr<Connection> connection;
    int onChannel = 0;
    for (int number = 0; !m_over; ++number) {
      if (connection == nullptr) {
        connection = Connection::Open(router.Frontend());
        onChannel = 0;
      }
      if (connection == nullptr) {
        ++m_unconnected;
        std::this_thread::sleep_for(Millis(200));
        continue;
      }
      const std::string id =
        "c" + std::to_string(aClient) + "-" + std::to_string(number);
      m_record.Add("sent      " + id + " to " + router.Place().m_name);
      connection->Send("POST /order/2f HTTP/1.1\r\nHost: desk.example\r\n"
                       "X-Attempt-Id: " +
                       id + "\r\nX-Deadline-Ms: " + std::to_string(kBudgetMs) +
                       "\r\nAuthorization: Bearer key-1\r\n"
                       "Content-Length: 4\r\n\r\nslot");
      const Response response = ReadResponse(*connection, 2 * kBudgetMs);
      if (response.m_end == ResponseEnd::Complete) {
        m_record.Add("answered  " + id + " " +
                     std::to_string(response.m_status));
        ++onChannel;
      } else {
        m_record.Add("no answer " + id +
                     (onChannel > 0 ? ", the kept channel was closed"
                                    : ", the new channel was closed"));
        const std::lock_guard lock(m_mutex);
        if (onChannel > 0 && m_run.contains(id)) {
          m_lost.push_back(id);
        }
      }
      if (response.m_end != ResponseEnd::Complete || response.CloseStated()) {
        connection.reset();
        std::this_thread::sleep_for(Millis(200));
      }
      // Uneven pauses, so that clients don't move in step.
      std::this_thread::sleep_for(Millis((aClient * 7 + number * 13) % 40));
    }
  }

  int Judge()
  {
    int machines = 0;
    for (const auto& [name, ends] : m_ends) {
      m_record.Add(name + " ended by itself " + std::to_string(ends) +
                   " times");
      machines += ends >= kEndsOfFault ? 1 : 0;
    }
    m_record.Add("orders that ran, and whose kept channel was closed without "
                 "an answer: " +
                 std::to_string(m_lost.size()) + " (LOST allows " +
                 std::to_string(kAllowedLosses) + ")");
    m_record.Add("machines whose process ended by itself three times: " +
                 std::to_string(machines) +
                 " (Fault: " + std::to_string(kMachinesOfFault) + " or more)");
    m_record.Add("channels that were refused: " +
                 std::to_string(m_unconnected.load()));
    const bool lost = m_lost.size() > kAllowedLosses;
    const bool fault = machines >= kMachinesOfFault;
    m_record.Add(lost || fault ? "rule broken" : "rule held");
    for (const auto& router : m_routers) {
      router->Kill();
    }
    return lost || fault ? kRuleBroken : kRuleHeld;
  }

  Options m_options;
  std::string m_network;
  Record m_record;
  Store m_store;
  Registrar m_registrar;
  std::vector<std::unique_ptr<Server>> m_engines;
  std::vector<std::unique_ptr<RouterProcess>> m_routers;
  std::atomic<bool> m_over{ false };
  std::atomic<int> m_unconnected{ 0 };
  // By the supervisor's thread only.
  std::map<std::string, int> m_ends;
  std::map<RouterProcess*, SteadyTime> m_restartAt;
  std::mutex m_mutex;
  std::set<std::string> m_run;
  std::vector<std::string> m_lost;
};

} // namespace
} // namespace review

int
main(int aCount, char** aArguments)
{
  review::Case playedCase(review::ReadOptions(aCount, aArguments));
  review::ExitNow(playedCase.Run());
}
