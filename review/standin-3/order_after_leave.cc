// All engines of one zone go dark for some seconds, several times, while the
// routers of that zone run on. Some consumers of orders leave soon. GONE is
// broken if more than a few of their orders reach an engine over half a second
// after the consumer has closed its channel.

#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <boost/asio/steady_timer.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "review/standin-3/fleet.h"

namespace walnutwing::review {
namespace {

constexpr std::size_t kEnginesOfZone = 4;
constexpr std::size_t kMaxLate = 3; // "more than a few" are more
constexpr Duration kLateAfter{ 500 };
constexpr Duration kLeaveAfter{ 150 };  // half of the objective
constexpr std::size_t kLeavingPart = 4; // one consumer in so many leaves
constexpr Duration kWorkTime{ 60 };
constexpr Duration kOrderPause{ 50 }; // between two orders of the fleet
constexpr Duration kDarkTime{ 4500 };
constexpr Duration kCalmTime{ 8000 };
constexpr std::size_t kRounds = 6;
constexpr Duration kSettleTime{ 2000 };
constexpr Duration kPatience{ 4000 };

Time
Now()
{
  return SteadyClock().Now();
}

// Holds the address of an engine whose machine is dark: the opening packets of
// channels to it get no answer, as the queue of new channels is full.
class DarkAddress
{
public:
  explicit DarkAddress(const std::string& aAddress)
  {
    const std::size_t colon = aAddress.find(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port =
      htons(static_cast<std::uint16_t>(std::stoul(aAddress.substr(colon + 1))));
    inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
    const int listener = Open();
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto* generic = reinterpret_cast<const sockaddr*>(&address);
    m_holds =
      bind(listener, generic, sizeof(address)) == 0 && listen(listener, 0) == 0;
    constexpr int kFillers = 3;
    for (int i = 0; i < kFillers; ++i) {
      static_cast<void>(connect(Open(), generic, sizeof(address)));
    }
  }
  ~DarkAddress()
  {
    for (const int descriptor : m_descriptors) {
      close(descriptor);
    }
  }
  DarkAddress(const DarkAddress&) = delete;
  DarkAddress& operator=(const DarkAddress&) = delete;

  bool Holds() const { return m_holds; }

private:
  int Open()
  {
    m_descriptors.push_back(
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    return m_descriptors.back();
  }

  std::vector<int> m_descriptors;
  bool m_holds = false;
};

struct Order
{
  std::unique_ptr<standin::CallerStandin> m_consumer;
  Time m_sentAt;
  Time m_leftAt;
  bool m_leaves = false;
  bool m_left = false; // without an answer
};

struct Case
{
  Fleet m_fleet;
  std::map<std::string, Order> m_orders; // by attempt id
  std::vector<std::unique_ptr<DarkAddress>> m_dark;
  Time m_nextOrderAt;
  std::size_t m_late = 0;
  std::size_t m_ran = 0;

  // Three routers in the zone whose engines go dark, one in each other zone.
  explicit Case(const std::string& aRecordFile)
    : m_fleet(aRecordFile, { "z1", "z1", "z1", "z2", "z3" })
  {
  }

  void OnRequest(const std::string& aEngine,
                 const std::shared_ptr<standin::UpstreamExchange>& aExchange)
  {
    const std::string id(aExchange->Request()["X-Attempt-Id"]);
    const Order& order = m_orders[id];
    ++m_ran;
    if (order.m_left) {
      const Duration since = Now() - order.m_leftAt;
      const bool late = since > kLateAfter;
      m_late += late ? 1 : 0;
      m_fleet.Note(id + " reaches " + aEngine + " " +
                   std::to_string(since.count()) +
                   " ms after its consumer has closed the channel" +
                   (late ? "; BROKEN" : ""));
    }
    const auto timer =
      std::make_shared<asio::steady_timer>(m_fleet.Loop(), kWorkTime);
    timer->async_wait(
      [timer, aExchange](const boost::system::error_code& aError) {
        if (!aError) {
          aExchange->Write(
            standin::MakeUpstreamResponse(aExchange->Request(), 200, "done"));
        }
      });
  }

  void SendOrder()
  {
    const std::size_t number = m_orders.size();
    const std::string id = "o" + std::to_string(number + 1);
    Order& order = m_orders[id];
    order.m_leaves = number % kLeavingPart == 0;
    order.m_sentAt = Now();
    order.m_consumer = m_fleet.Connect(number % m_fleet.Routers());
    order.m_consumer->Send(
      MakeRequest("POST",
                  "/order/new",
                  id,
                  "X-Deadline-Ms: 4000\r\nContent-Length: 5\r\n",
                  "valve"));
  }

  void RunConsumer(const std::string& aId, Order& aOrder)
  {
    if (aOrder.m_consumer == nullptr) {
      return;
    }
    const bool answered = !aOrder.m_consumer->Received().empty();
    const Duration patience = aOrder.m_leaves ? kLeaveAfter : kPatience;
    if (!answered && Now() - aOrder.m_sentAt < patience) {
      return;
    }
    aOrder.m_consumer->Close();
    aOrder.m_consumer.reset();
    aOrder.m_left = !answered;
    aOrder.m_leftAt = Now();
    if (!answered) {
      m_fleet.Note("the consumer of " + aId + " closes its channel");
    }
  }

  void RunFor(Duration aTime)
  {
    const Time end = Now() + aTime;
    while (Now() < end) {
      m_fleet.RunFor(Duration(2));
      if (Now() >= m_nextOrderAt) {
        m_nextOrderAt = Now() + kOrderPause;
        SendOrder();
      }
      for (auto& [id, order] : m_orders) {
        RunConsumer(id, order);
      }
    }
  }

  // The engines come back as new incarnations.
  void GoDark(std::size_t aRound)
  {
    for (std::size_t i = 0; i < kEnginesOfZone; ++i) {
      m_fleet.CrashEngine(i);
      m_dark.push_back(
        std::make_unique<DarkAddress>(m_fleet.Server(i).Address()));
    }
    RunFor(kDarkTime);
    m_dark.clear();
    for (std::size_t i = 0; i < kEnginesOfZone; ++i) {
      m_fleet.RestartEngine(i,
                            "i-orders-" + std::to_string(i) + "-" +
                              std::to_string(aRound + 1),
                            "v1");
    }
  }

  int Run()
  {
    m_fleet.PutConfig(
      MakeConfig(MakeRoute("/order/",
                           "non_idempotent",
                           "orders",
                           R"("timeoutMs":4000,"targetLatencyMs":300,)"
                           R"("maxAttempts":1)"),
                 { "orders" }));
    for (const char* zone : { "z1", "z2", "z3" }) {
      for (std::size_t i = 0; i < kEnginesOfZone; ++i) {
        const std::size_t index = m_fleet.AddEngine("orders", zone, "v1");
        m_fleet.Server(index).SetHandler(
          [this,
           index](const std::shared_ptr<standin::UpstreamExchange>& aExchange) {
            OnRequest(m_fleet.EngineAt(index).m_id, aExchange);
          });
      }
    }
    if (!m_fleet.Start()) {
      m_fleet.Note("the routers did not become ready");
      return kCouldNotRun;
    }
    m_fleet.RunFor(kSettleTime);
    m_nextOrderAt = Now();
    for (std::size_t round = 0; round < kRounds; ++round) {
      RunFor(kCalmTime);
      if (HasTrouble()) {
        GoDark(round);
      }
    }
    RunFor(Duration(3000));
    const bool broken = m_late > kMaxLate;
    m_fleet.Note(
      "orders: " + std::to_string(m_orders.size()) +
      ", that reached an engine: " + std::to_string(m_ran) +
      ", too late after their consumer had left: " + std::to_string(m_late));
    m_fleet.Note(broken ? "GONE is broken" : "GONE held");
    return broken ? kBroken : kHeld;
  }
};

} // namespace
} // namespace walnutwing::review

int
main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    return walnutwing::review::kCouldNotRun;
  }
  try {
    return walnutwing::review::Case(aArguments[1]).Run();
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return walnutwing::review::kCouldNotRun;
  }
}
