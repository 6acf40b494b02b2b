// Clients with a valid key send requests whose heads stay inside
// maxHeaderBytes: half of a head is one Connection field with many names, the
// other half are many short fields. CONFIG is broken if more than half of the
// ordinary requests at that router which are unanswered at their route's
// timeoutMs have no answer half a second later.

#include <array>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/write.hpp>

#include "review/standin-3/fleet.h"

namespace walnutwing::review {
namespace {

constexpr std::size_t kClients = 300;
constexpr std::size_t kHalfHeadBytes = 7900;
constexpr Duration kTimeout{ 1500 }; // of the ordinary route
constexpr Duration kGrace{ 500 };
constexpr Duration kSettleTime{ 2000 };
constexpr Duration kTroubleTime{ 15'000 };
constexpr Duration kOrdinaryPause{ 100 };
constexpr std::size_t kMinUnanswered = 20;
constexpr std::size_t kAttackedRouter = 0;

Time
Now()
{
  return SteadyClock().Now();
}

// An engine that takes heads of any size and answers each request at once.
class PlainEngine
{
public:
  PlainEngine(asio::io_context& aLoop, const std::string& aIp)
    : m_acceptor(standin::Listen(aLoop, aIp, 0))
  {
    Accept();
  }

  std::string Address() const { return standin::AddressOf(m_acceptor); }
  std::size_t Runs() const { return m_runs; }

private:
  struct Channel
  {
    explicit Channel(Tcp::socket aSocket)
      : m_socket(std::move(aSocket))
    {
    }
    Tcp::socket m_socket;
    std::array<char, 16384> m_input{};
    std::string m_received;
    std::string m_answer;
  };

  void Accept()
  {
    m_acceptor.async_accept(
      [this](const boost::system::error_code& aError, Tcp::socket aSocket) {
        if (!aError) {
          Read(std::make_shared<Channel>(std::move(aSocket)));
          Accept();
        }
      });
  }

  void Read(const std::shared_ptr<Channel>& aChannel)
  {
    aChannel->m_socket.async_read_some(
      asio::buffer(aChannel->m_input),
      [this, aChannel](const boost::system::error_code& aError,
                       std::size_t aBytes) {
        if (aError) {
          return;
        }
        aChannel->m_received.append(aChannel->m_input.data(), aBytes);
        OnRead(aChannel);
      });
  }

  // All requests here have no body.
  void OnRead(const std::shared_ptr<Channel>& aChannel)
  {
    const std::size_t end = aChannel->m_received.find("\r\n\r\n");
    if (end == std::string::npos) {
      Read(aChannel);
      return;
    }
    const std::string field = "\r\nX-Attempt-Id: ";
    const std::size_t id = aChannel->m_received.find(field) + field.size();
    aChannel->m_answer =
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: " +
      aChannel->m_received.substr(id,
                                  aChannel->m_received.find('\r', id) - id) +
      "\r\nX-Response-Seal: seal\r\nContent-Length: 4\r\n\r\ndone";
    aChannel->m_received.erase(0, end + 4);
    ++m_runs;
    asio::async_write(
      aChannel->m_socket,
      asio::buffer(aChannel->m_answer),
      [this, aChannel](const boost::system::error_code& aError, std::size_t) {
        if (!aError) {
          Read(aChannel);
        }
      });
  }

  Tcp::acceptor m_acceptor;
  std::size_t m_runs = 0;
};

struct Ordinary
{
  std::unique_ptr<standin::CallerStandin> m_consumer;
  Time m_sentAt;
  bool m_answered = false;
  bool m_lateForRoute = false; // unanswered at timeoutMs
  bool m_lateByRule = false;   // and half a second later
};

struct Case
{
  Fleet m_fleet;
  std::vector<std::unique_ptr<PlainEngine>> m_engines;
  std::vector<std::unique_ptr<standin::CallerStandin>> m_clients;
  std::vector<Ordinary> m_ordinary;
  Time m_nextOrdinaryAt;
  std::string m_fields; // of the clients' requests
  std::size_t m_sent = 0;
  std::size_t m_answers = 0;

  explicit Case(const std::string& aRecordFile)
    : m_fleet(aRecordFile, { "z1", "z2", "z3" })
  {
    m_fields = HasTrouble() ? "Connection: " : "X-Note: ";
    while (m_fields.size() < kHalfHeadBytes) {
      m_fields += HasTrouble() ? "a," : "aa";
    }
    m_fields += "a\r\n";
    for (std::size_t half = m_fields.size();
         m_fields.size() < half + kHalfHeadBytes;) {
      m_fields += "b:\r\n";
    }
  }

  void SendOfClient(std::unique_ptr<standin::CallerStandin>& aClient)
  {
    aClient = m_fleet.Connect(kAttackedRouter);
    aClient->Send(MakeRequest(
      "GET", "/lookup/odd", "c" + std::to_string(++m_sent), m_fields, ""));
  }

  // Each client sends its next request once the one before is answered.
  void RunClients()
  {
    for (auto& client : m_clients) {
      const std::string& received = client->Received();
      if (client->Ended() || received.find("\r\n\r\n") != std::string::npos) {
        ++m_answers;
        SendOfClient(client);
      }
    }
  }

  void SendOrdinary()
  {
    Ordinary request;
    request.m_consumer = m_fleet.Connect(kAttackedRouter);
    request.m_sentAt = Now();
    request.m_consumer->Send(
      MakeRequest("GET",
                  "/lookup/plain",
                  "o" + std::to_string(m_ordinary.size() + 1),
                  "X-Deadline-Ms: 1500\r\n",
                  ""));
    m_ordinary.push_back(std::move(request));
  }

  void RunOrdinary()
  {
    for (std::size_t i = 0; i < m_ordinary.size(); ++i) {
      Ordinary& request = m_ordinary[i];
      if (request.m_consumer == nullptr) {
        continue;
      }
      const Duration age = Now() - request.m_sentAt;
      const std::string& received = request.m_consumer->Received();
      request.m_answered = received.find("\r\n\r\n") != std::string::npos;
      request.m_lateForRoute =
        request.m_lateForRoute || (!request.m_answered && age >= kTimeout);
      request.m_lateByRule = request.m_lateByRule ||
                             (!request.m_answered && age >= kTimeout + kGrace);
      if (request.m_answered || request.m_lateByRule) {
        m_fleet.Note("o" + std::to_string(i + 1) + ": " +
                     (request.m_answered
                        ? received.substr(0, received.find('\r')) + " after "
                        : std::string("no answer after ")) +
                     std::to_string(age.count()) + " ms");
        request.m_consumer.reset();
      }
    }
  }

  void RunFor(Duration aTime, bool aSendsOrdinary)
  {
    const Time end = Now() + aTime;
    while (Now() < end) {
      m_fleet.RunFor(Duration(2));
      RunClients();
      if (aSendsOrdinary && Now() >= m_nextOrdinaryAt) {
        m_nextOrdinaryAt = Now() + kOrdinaryPause;
        SendOrdinary();
      }
      RunOrdinary();
    }
  }

  int Run()
  {
    m_fleet.PutConfig(
      MakeConfig(MakeRoute("/lookup/",
                           "idempotent",
                           "lookups",
                           R"("timeoutMs":1500,"targetLatencyMs":300,)"
                           R"("maxAttempts":2)"),
                 { "lookups" }));
    for (const char* zone : { "z1", "z2", "z3" }) {
      m_engines.push_back(
        std::make_unique<PlainEngine>(m_fleet.Loop(), m_fleet.Ip()));
      m_fleet.AddEngineAt("lookups", zone, "v1", m_engines.back()->Address());
    }
    if (!m_fleet.Start()) {
      m_fleet.Note("the routers did not become ready");
      return kCouldNotRun;
    }
    m_fleet.RunFor(kSettleTime);
    m_nextOrdinaryAt = Now();
    RunFor(Duration(3000), true);
    m_fleet.Note(std::to_string(kClients) + " clients begin; each head has " +
                 std::to_string(m_fields.size()) + " bytes of fields, " +
                 (HasTrouble() ? "half of them one Connection field"
                               : "half of them one X-Note field"));
    m_clients.resize(kClients);
    for (auto& client : m_clients) {
      SendOfClient(client);
    }
    RunFor(kTroubleTime, true);
    RunFor(kTimeout + kGrace + Duration(100), false);
    std::size_t unanswered = 0;
    std::size_t byRule = 0;
    for (const Ordinary& request : m_ordinary) {
      unanswered += request.m_lateForRoute ? 1 : 0;
      byRule += request.m_lateByRule ? 1 : 0;
    }
    m_fleet.Note("requests of the clients: " + std::to_string(m_sent) +
                 ", answered: " + std::to_string(m_answers));
    m_fleet.Note("ordinary requests: " + std::to_string(m_ordinary.size()) +
                 ", unanswered at timeoutMs: " + std::to_string(unanswered) +
                 ", and half a second later: " + std::to_string(byRule));
    const bool broken = unanswered >= kMinUnanswered && 2 * byRule > unanswered;
    m_fleet.Note(broken ? "CONFIG is broken" : "CONFIG held");
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
