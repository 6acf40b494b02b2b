// Measures the cost of relaying with processes on loopback: latency added to a
// call of a plain service, tokens relayed per CPU second, and memory with many
// open streams. Prints CSV lines "measure,variant,value,unit".
//
// Added latency is the difference between the same percentile with and without
// the daemon, one call at a time on persistent connections. CPU time and memory
// are those of the daemon process, from /proc.

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "standin/fleet_fixture.h"

DEFINE_string(bin, "build", "the build directory");
DEFINE_int32(calls, 2000, "calls for each latency variant");
DEFINE_int32(streams, 32, "streams at once for the CPU time measurement");
DEFINE_int32(tokens, 3000, "tokens of each of them");
DEFINE_int32(open_streams, 9000, "open streams for the memory measurement");

namespace walnutwing {
namespace {

using standin::Fleet;

constexpr const char* kLookup = "lookup";
constexpr Duration kTimeout = std::chrono::seconds(120);
constexpr int kMaxStreamsOpening = 100;
constexpr Duration kOpeningTimeout = std::chrono::seconds(90);
constexpr Duration kRefusalBackoff = std::chrono::milliseconds(100);

void
Print(const std::string& aMeasure,
      const std::string& aVariant,
      double aValue,
      const char* aUnit)
{
  std::cout << aMeasure << ',' << aVariant << ',' << aValue << ',' << aUnit
            << std::endl;
}

double
Percentile(std::vector<double> aValues, double aFraction)
{
  std::sort(aValues.begin(), aValues.end());
  const auto index = static_cast<std::size_t>(
    aFraction * static_cast<double>(aValues.size() - 1));
  return aValues.at(index);
}

// User and system time of a process, in seconds (proc(5), stat fields 14, 15).
double
CpuSeconds(pid_t aProcess)
{
  // Fields between the parenthesized command name and the user time.
  constexpr int kFieldsBeforeUserTime = 11;
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/stat");
  std::string text;
  std::getline(file, text);
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

// Resident memory of a process in MiB (proc(5), statm field 2).
double
ResidentMiB(pid_t aProcess)
{
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/statm");
  double pages = 0;
  file >> pages >> pages;
  return pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024.0 * 1024.0);
}

// HTTP client that times calls and opens streams, on its own event loop.
class BenchCaller
{
public:
  BenchCaller()
    : m_client(m_loop)
  {
  }

  net::CallRequest Request(const net::Endpoint& aEndpoint,
                           std::string aTarget,
                           std::string aBody)
  {
    net::CallRequest request;
    request.m_endpoint = aEndpoint;
    request.m_method = "POST";
    request.m_target = std::move(aTarget);
    request.m_headers.Add("authorization",
                          std::string("Bearer ") + standin::kCustomerKey);
    request.m_headers.Add("x-request-id", "bench");
    request.m_body = std::move(aBody);
    return request;
  }

  // Returns the duration of one call in ms. Exits the process unless it
  // succeeds.
  double TimeCall(net::CallRequest aRequest)
  {
    bool done = false;
    int status = 0;
    const auto start = std::chrono::steady_clock::now();
    const auto call = net::FetchResponse(m_client,
                                         m_loop,
                                         std::move(aRequest),
                                         kTimeout,
                                         1U << 20U,
                                         [&](const net::HttpResponse& aAnswer) {
                                           status = aAnswer.m_status;
                                           done = true;
                                         });
    while (!done) {
      m_loop.RunOnce(std::chrono::seconds(1));
    }
    const std::chrono::duration<double, std::milli> took =
      std::chrono::steady_clock::now() - start;
    if (status != 200) {
      std::cerr << "a call ended with status " << status << "\n";
      std::exit(1);
    }
    return took.count();
  }

  std::vector<double> TimeCalls(const net::Endpoint& aEndpoint,
                                const std::string& aTarget)
  {
    constexpr int kWarmUpCalls = 100;
    std::vector<double> times;
    for (int i = 0; i < FLAGS_calls + kWarmUpCalls; ++i) {
      const double took = TimeCall(Request(aEndpoint, aTarget, "{}"));
      if (i >= kWarmUpCalls) {
        times.push_back(took);
      }
    }
    return times;
  }

  // Opens streams until aCount have begun, at most kMaxStreamsOpening at a
  // time. Retries a refused stream after kRefusalBackoff. Gives up after
  // kOpeningTimeout.
  void OpenStreams(const net::Endpoint& aEndpoint, int aCount, int aTokens)
  {
    const Time limit = m_loop.Now() + kOpeningTimeout;
    while (m_begun < aCount && m_loop.Now() < limit) {
      const int opening = static_cast<int>(m_calls.size()) - m_begun - m_failed;
      if (opening < std::min(kMaxStreamsOpening, aCount - m_begun) &&
          m_loop.Now() >= m_pausedUntil) {
        OpenStream(aEndpoint, aTokens);
        continue;
      }
      m_loop.RunOnce(Duration(10));
    }
  }

  void WaitForEnds()
  {
    while (m_ended < static_cast<int>(m_calls.size())) {
      m_loop.RunOnce(std::chrono::seconds(1));
    }
  }

  int Begun() const { return m_begun; }
  int Failed() const { return m_failed; }
  std::int64_t Tokens() const { return m_tokens; }

private:
  // Opening braces of a chunk, which carries one token.
  static constexpr std::int64_t kBracesPerChunk = 3;

  void OpenStream(const net::Endpoint& aEndpoint, int aTokens)
  {
    net::CallRequest request = Request(
      aEndpoint,
      "/v1/chat/completions",
      nlohmann::json{ { "stream", true }, { "max_tokens", aTokens } }.dump());
    request.m_headers.Add("walnutwing-service", standin::kChatService);
    request.m_headers.Add("walnutwing-chat",
                          "stream-" + std::to_string(m_calls.size()));
    request.m_freshConnection = true;
    m_calls.push_back(m_client.Start(
      std::move(request),
      { [this](int aStatus, const net::Headers&) {
         if (aStatus == 200) {
           ++m_begun;
           return;
         }
         ++m_failed;
         m_pausedUntil = m_loop.Now() + kRefusalBackoff;
       },
        [this](std::string_view aPiece) {
          m_tokens +=
            std::count(aPiece.begin(), aPiece.end(), '{') / kBracesPerChunk;
        },
        [this](const net::CallEnd& aEnd) {
          m_failed += aEnd.m_stage == net::CallStage::NotSent ? 1 : 0;
          ++m_ended;
        } }));
  }

  net::EventLoop m_loop;
  net::HttpClient m_client;
  std::vector<std::unique_ptr<net::Call>> m_calls;
  int m_begun = 0;
  int m_failed = 0;
  int m_ended = 0;
  std::int64_t m_tokens = 0;
  Time m_pausedUntil;
};

// Adds an idempotent lookup service on the plain upstream that also serves
// orders.
void
AddLookupService(Fleet& aFleet)
{
  proto::ConfigRecord service;
  service.mutable_put_service()->set_name(kLookup);
  service.mutable_put_service()->set_kind(proto::Service::PLAIN);
  service.mutable_put_service()->set_idempotent(true);
  service.mutable_put_service()->set_default_deadline_ms(30'000);
  aFleet.PublishChange(service);
  proto::ConfigRecord change;
  proto::Preset& preset = *change.mutable_put_preset();
  preset.set_name("ordinary");
  const std::pair<const char*, const char*> kModels[] = {
    { standin::kChatService, "m1" },
    { kLookup, "valves" },
    { standin::kOrderService, "valves" }
  };
  for (const auto& [name, model] : kModels) {
    proto::PresetService& inPreset = *preset.add_services();
    inPreset.set_service(name);
    inPreset.set_model(model);
    inPreset.set_load_bound_percent(200);
    inPreset.set_engine_slots(8);
    inPreset.set_cold_slots(2);
    inPreset.set_queue_limit(16);
  }
  aFleet.PublishChange(change);
}

// Returns the index of the daemon that owns the plain upstream.
std::size_t
OwnerIndex(Fleet& aFleet)
{
  for (std::size_t i = 0; i < standin::kFleetDaemons; ++i) {
    const nlohmann::json status =
      aFleet.FetchJson(aFleet.AdminAddress(i), "/status");
    for (const nlohmann::json& upstream : status["upstreams"]) {
      if (upstream["upstream"] == "s1" &&
          upstream["owner"] == status["daemon"]) {
        return i;
      }
    }
  }
  std::cerr << "no daemon owns the plain service\n";
  std::exit(1);
}

void
MeasureLatency()
{
  Fleet fleet({ FLAGS_bin });
  AddLookupService(fleet);
  const std::size_t owner = OwnerIndex(fleet);
  const std::size_t other = (owner + 1) % standin::kFleetDaemons;
  BenchCaller caller;
  const std::string target = std::string("/v1/calls/") + kLookup;
  const auto direct = caller.TimeCalls(fleet.ServiceAddress(), "/call");
  const auto one = caller.TimeCalls(fleet.DaemonAddress(owner), target);
  const auto two = caller.TimeCalls(fleet.DaemonAddress(other), target);
  for (const double fraction : { 0.5, 0.99 }) {
    const std::string name = fraction < 0.9 ? "p50" : "p99";
    const double base = Percentile(direct, fraction);
    Print("relay_latency_" + name, "direct", base, "ms");
    Print("relay_added_latency_" + name,
          "one_daemon",
          Percentile(one, fraction) - base,
          "ms");
    Print("relay_added_latency_" + name,
          "daemon_and_owner",
          Percentile(two, fraction) - base,
          "ms");
  }
}

void
MeasureTokens()
{
  Fleet::Options options{ FLAGS_bin };
  options.m_engineStepMs = 1;
  options.m_engineSlots = 64;
  options.m_coldSlots = 64;
  Fleet fleet(options);
  BenchCaller caller;
  const double before = CpuSeconds(fleet.Daemon(0).Pid());
  caller.OpenStreams(fleet.DaemonAddress(0), FLAGS_streams, FLAGS_tokens);
  caller.WaitForEnds();
  const double spent = CpuSeconds(fleet.Daemon(0).Pid()) - before;
  Print("relay_streams", "refused_at_first", caller.Failed(), "streams");
  Print(
    "relay_tokens", "relayed", static_cast<double>(caller.Tokens()), "tokens");
  Print("relay_tokens_per_cpu_second",
        "one_daemon",
        static_cast<double>(caller.Tokens()) / spent,
        "tokens/s");
}

void
MeasureMemory()
{
  constexpr std::uint32_t kSlots = 6000;
  constexpr int kLongAnswerTokens = 100'000;
  constexpr int kWarmUpStreams = 400;
  Fleet::Options options{ FLAGS_bin };
  options.m_engineStepMs = 500;
  options.m_engineSlots = kSlots;
  options.m_coldSlots = kSlots;
  Fleet fleet(options);
  const double idle = ResidentMiB(fleet.Daemon(0).Pid());
  {
    // Engines stay cold until some answers have completed.
    BenchCaller warmUp;
    warmUp.OpenStreams(fleet.DaemonAddress(0), kWarmUpStreams, 1);
    warmUp.WaitForEnds();
  }
  BenchCaller caller;
  caller.OpenStreams(
    fleet.DaemonAddress(0), FLAGS_open_streams, kLongAnswerTokens);
  const double full = ResidentMiB(fleet.Daemon(0).Pid());
  Print("daemon_memory", "idle", idle, "MiB");
  Print(
    "daemon_memory", std::to_string(caller.Begun()) + "_streams", full, "MiB");
  Print("daemon_memory_per_stream",
        "open",
        (full - idle) * 1024.0 / caller.Begun(),
        "KiB");
  Print(
    "daemon_memory_streams", "refused_at_first", caller.Failed(), "streams");
}

} // namespace
} // namespace walnutwing

int
main(int aCount, char** aValues)
{
  gflags::ParseCommandLineFlags(&aCount, &aValues, true);
  walnutwing::MeasureLatency();
  walnutwing::MeasureTokens();
  walnutwing::MeasureMemory();
  return 0;
}
