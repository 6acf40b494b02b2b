// Consumers send orders whose Transfer-Encoding does not end with "chunked".
// The length of such a body cannot be known. Its bytes are a text that looks
// like a request. UNASKED is broken if an engine runs what no consumer sent, or
// an order without its body.

#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "review/standin-3/fleet.h"

namespace walnutwing::review {
namespace {

constexpr Duration kSettleTime{ 1500 };
constexpr Duration kAnswerTime{ 1000 };
constexpr std::size_t kRounds = 3;

struct Sent
{
  std::string m_path;
  std::string m_body;
};

struct Case
{
  Fleet m_fleet;
  std::map<std::string, Sent> m_sent; // by attempt id
  std::size_t m_smuggled = 0;
  std::size_t m_changed = 0;
  std::size_t m_runs = 0;

  explicit Case(const std::string& aRecordFile)
    : m_fleet(aRecordFile, { "z1", "z2", "z3" })
  {
  }

  void OnRun(const std::string& aEngine,
             const std::shared_ptr<standin::UpstreamExchange>& aExchange)
  {
    const auto& request = aExchange->Request();
    const std::string id(request["X-Attempt-Id"]);
    const std::string path(request.target());
    ++m_runs;
    std::string verdict = "as sent";
    const auto sent = m_sent.find(id);
    if (sent == m_sent.end()) {
      ++m_smuggled;
      verdict = "BROKEN: no consumer sent this id";
    } else if (sent->second.m_path != path ||
               sent->second.m_body != request.body()) {
      ++m_changed;
      verdict = "BROKEN: " + std::to_string(sent->second.m_body.size()) +
                " bytes of body were sent";
    }
    m_fleet.Note(aEngine + " runs " + id + " " + path + " with a body of " +
                 std::to_string(request.body().size()) + " bytes; " + verdict);
    aExchange->Write(standin::MakeUpstreamResponse(request, 200, "done"));
  }

  // Sends an order with a body that quotes a request of another attempt id.
  void SendOrder(std::size_t aNumber, const std::string& aCoding)
  {
    const std::string id = "sent-" + std::to_string(aNumber);
    const std::string body = MakeRequest("POST",
                                         "/order/quoted",
                                         "quoted-" + std::to_string(aNumber),
                                         "Content-Length: 0\r\n",
                                         "");
    m_sent[id] = { "/order/new", body };
    const std::string framing =
      HasTrouble() ? "Transfer-Encoding: " + aCoding + "\r\n"
                   : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const auto consumer = m_fleet.Connect(aNumber % m_fleet.Routers());
    m_fleet.Note("a consumer sends " + id + " with " +
                 framing.substr(0, framing.size() - 2) + " and " +
                 std::to_string(body.size()) + " bytes of body");
    consumer->Send(MakeRequest(
      "POST", "/order/new", id, "X-Deadline-Ms: 4000\r\n" + framing, body));
    m_fleet.RunFor(kAnswerTime);
    NoteAnswers(id, *consumer);
  }

  void NoteAnswers(const std::string& aId,
                   const standin::CallerStandin& aConsumer)
  {
    const std::string start = "HTTP/1.1 ";
    const std::string& received = aConsumer.Received();
    std::string statuses;
    for (std::size_t at = received.find(start); at != std::string::npos;
         at = received.find(start, at + 1)) {
      statuses += " " + received.substr(at + start.size(), 3);
    }
    m_fleet.Note("answers on the channel of " + aId + ":" + statuses +
                 (aConsumer.Ended() ? ", closed" : ""));
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
      const std::size_t index = m_fleet.AddEngine("orders", zone, "v1");
      m_fleet.Server(index).SetHandler(
        [this, name = m_fleet.EngineAt(index).m_id](
          const std::shared_ptr<standin::UpstreamExchange>& aExchange) {
          OnRun(name, aExchange);
        });
    }
    if (!m_fleet.Start()) {
      m_fleet.Note("the routers did not become ready");
      return kCouldNotRun;
    }
    m_fleet.RunFor(kSettleTime);
    std::size_t number = 0;
    for (std::size_t round = 0; round < kRounds; ++round) {
      for (const char* coding : { "gzip", "identity", "chunked, gzip" }) {
        SendOrder(number++, coding);
      }
    }
    const bool broken = m_smuggled + m_changed != 0;
    m_fleet.Note("orders sent: " + std::to_string(m_sent.size()) +
                 ", runs: " + std::to_string(m_runs) +
                 ", of ids that nobody sent: " + std::to_string(m_smuggled) +
                 ", without their body: " + std::to_string(m_changed));
    m_fleet.Note(broken ? "UNASKED is broken" : "UNASKED held");
    const bool works = HasTrouble() || m_runs == m_sent.size();
    return broken ? kBroken : works ? kHeld : kCouldNotRun;
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
