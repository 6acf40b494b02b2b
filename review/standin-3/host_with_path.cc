// Callers without a key, or with one that nobody has, send requests whose Host
// field holds a slash and a public route's prefix. Their paths belong to a
// route that needs a key, or to no route. ROUTE is broken if an engine runs
// one.

#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "review/standin-3/fleet.h"

namespace walnutwing::review {
namespace {

constexpr Duration kSettleTime{ 1500 };
constexpr Duration kAnswerTime{ 700 };
constexpr std::size_t kRounds = 3;

const char* const kKeyField = "Authorization: Bearer key-of-desk\r\n";
const char* const kUnknownKeyField = "Authorization: Bearer of-nobody\r\n";
const char* const kSoundHost = "desk.example";
const char* const kOddHost = "desk.example/status";

struct Request
{
  const char* m_path;
  const char* m_keyField;
  bool m_mayRun; // by the configuration
};

struct Case
{
  Fleet m_fleet;
  std::map<std::string, Request> m_sent; // by attempt id
  std::size_t m_ran = 0;
  std::size_t m_ranWithoutKey = 0;

  explicit Case(const std::string& aRecordFile)
    : m_fleet(aRecordFile, { "z1", "z2", "z3" })
  {
  }

  void OnRun(const std::string& aEngine,
             const std::shared_ptr<standin::UpstreamExchange>& aExchange)
  {
    const auto& request = aExchange->Request();
    const std::string id(request["X-Attempt-Id"]);
    const std::string tenant(request["X-Tenant"]);
    const auto sent = m_sent.find(id);
    const bool mayRun = sent != m_sent.end() && sent->second.m_mayRun;
    ++m_ran;
    m_ranWithoutKey += mayRun ? 0 : 1;
    m_fleet.Note(aEngine + " runs " + id + " " +
                 std::string(request.method_string()) + " " +
                 std::string(request.target()) + " of tenant \"" + tenant +
                 "\"" + (mayRun ? "" : "; BROKEN"));
    aExchange->Write(standin::MakeUpstreamResponse(request, 200, "done"));
  }

  void Send(const std::string& aId,
            const std::string& aHost,
            const Request& aRequest)
  {
    m_sent[aId] = aRequest;
    const auto caller = m_fleet.Connect(m_sent.size() % m_fleet.Routers());
    caller->Send(std::string("POST ") + aRequest.m_path +
                 " HTTP/1.1\r\nHost: " + aHost + "\r\nX-Attempt-Id: " + aId +
                 "\r\n" + aRequest.m_keyField +
                 "X-Deadline-Ms: 4000\r\nContent-Length: 5\r\n\r\nvalve");
    m_fleet.RunFor(kAnswerTime);
    const std::string& received = caller->Received();
    m_fleet.Note(aId + ": POST " + aRequest.m_path + ", Host: " + aHost +
                 ", key: " +
                 (aRequest.m_keyField == kKeyField ? "the desk's"
                  : *aRequest.m_keyField == '\0'   ? "none"
                                                   : "nobody's") +
                 "; answer: " + received.substr(0, received.find('\r')));
  }

  int Run()
  {
    const std::string times = R"("timeoutMs":4000,"targetLatencyMs":300,)";
    std::string publicRoute = MakeRoute(
      "/status/", "idempotent", "orders", times + R"("maxAttempts":2)");
    const std::string isPublic = R"("public":false)";
    publicRoute.replace(
      publicRoute.find(isPublic), isPublic.size(), R"("public":true)");
    m_fleet.PutConfig(MakeConfig(
      MakeRoute(
        "/order/", "non_idempotent", "orders", times + R"("maxAttempts":1)") +
        "," + publicRoute,
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
    const std::string host = HasTrouble() ? kOddHost : kSoundHost;
    std::size_t sound = 0;
    for (std::size_t i = 0; i < kRounds; ++i) {
      const std::string round = std::to_string(i + 1);
      Send("sound-" + round, kSoundHost, { "/order/new", kKeyField, true });
      sound += m_ran - m_ranWithoutKey == i + 1 ? 1 : 0;
      Send("no-key-" + round, host, { "/order/new", "", false });
      Send("odd-key-" + round, host, { "/order/new", kUnknownKeyField, false });
      Send("engine-call-" + round, host, { "/api/hold-take", "", false });
    }
    m_fleet.Note(
      "requests that no route allows: " + std::to_string(3 * kRounds) +
      ", run by an engine: " + std::to_string(m_ranWithoutKey));
    const bool broken = m_ranWithoutKey != 0;
    m_fleet.Note(broken ? "ROUTE is broken" : "ROUTE held");
    return broken ? kBroken : sound == kRounds ? kHeld : kCouldNotRun;
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
