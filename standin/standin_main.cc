// walnutwing-standin: test programs that replace the systems around walnutwing.
//
//   walnutwing-standin platform|engine|service|caller|load --FLAGS
//
// Each subcommand reads the flags it needs and runs one event loop until
// SIGTERM or SIGINT, or until its work is done.

#include <array>
#include <csignal>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include <gflags/gflags.h>
#include <sys/signalfd.h>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "standin/caller.h"
#include "standin/engine_server.h"
#include "standin/load_player.h"
#include "standin/platform_server.h"
#include "standin/service_server.h"

DEFINE_string(listen, "127.0.0.1:9000", "IP:port to listen on");
DEFINE_string(platform, "", "IP:port of the platform to register at");
DEFINE_string(id, "vm-1", "VM id");
DEFINE_string(zone, "z1", "availability zone");
DEFINE_string(region, "r1", "region");
DEFINE_string(model, "m1", "model of an engine, name of a plain service");

DEFINE_uint64(retention_records, 0, "platform: records kept, 0 keeps all");
DEFINE_uint64(retention_s,
              0,
              "platform: seconds that records are kept, 0 is for ever");
DEFINE_uint64(list_lag_ms, 0, "platform: lag of the VM list");
DEFINE_uint32(appends_per_s,
              0,
              "platform: append calls per second, 0 is no limit");
DEFINE_uint32(weights_per_s,
              0,
              "platform: weight reads per second, 0 is no limit");

DEFINE_uint64(slots, 8, "engine: jobs that generate at once");
DEFINE_uint64(cold_slots, 1, "engine: most jobs while cold");
DEFINE_uint64(queue_limit, 64, "engine: jobs that wait for a slot");
DEFINE_uint64(cold_ms, 0, "engine: length of a cold start");
DEFINE_uint64(step_ms, 5, "engine: base time of a step");
DEFINE_uint32(step_us_per_job, 100, "engine: step time added per job");
DEFINE_uint64(prefill_ms, 20, "engine: time before the first token");
DEFINE_uint64(cached_prefill_ms, 2, "engine: the same if the prefix is cached");
DEFINE_uint64(load_lag_ms, 500, "engine: lag of /load");
DEFINE_uint64(cache_chats, 64, "engine: chats whose prefixes are cached");
DEFINE_uint64(cache_event_lag_ms, 1000, "engine: lag of /cache_events");
DEFINE_uint32(cache_event_loss_percent,
              5,
              "engine: cache events that are lost");
DEFINE_bool(checks_fencing,
            true,
            "engine: refuses an order with an old fencing number");
DEFINE_uint64(
  seed,
  1,
  "engine: decides which cache events are lost; load: decides the plan");

DEFINE_uint64(run_ms, 0, "service: time from a call to its response");
DEFINE_bool(checks_keys, false, "service: refuses a key that has already run");

DEFINE_string(target, "127.0.0.1:8080", "caller: IP:port, comma separated");
DEFINE_string(scenario, "chats", "caller: chats, lookups or orders");
DEFINE_string(key, "key", "caller: customer's key");
DEFINE_string(service, "assistant", "caller: service");
DEFINE_uint64(requests, 100, "caller: requests in all");
DEFINE_uint64(concurrency, 10, "caller: requests at once");
DEFINE_uint64(time_limit_s, 60, "caller: no request starts after this");
DEFINE_uint64(chats, 100, "caller: different chats");
DEFINE_uint64(max_tokens, 32, "caller: tokens of an answer");
DEFINE_uint64(deadline_ms, 30000, "caller: deadline of a request");
DEFINE_string(run_id,
              "run",
              "caller, load: makes the order keys of this run unique");

DEFINE_double(rate, 50, "load: requests per second outside bursts");
DEFINE_uint64(seconds, 30, "load: length of the plan");
DEFINE_string(mix,
              "chat=7,lookup=2,order=1",
              "load: weights of the kinds of request");
DEFINE_string(pattern, "steady", "load: steady, burst, hot_key, hot_customer");
DEFINE_string(keys, "key", "load: keys of customers, comma separated");
DEFINE_string(order_service, "valves", "load: service of orders");
DEFINE_string(json, "", "load: file for the report as JSON");
DEFINE_string(svg, "", "load: file for the report as a plot");

namespace walnutwing::standin {
namespace {

class UsageError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

net::Endpoint
ParseEndpoint(const std::string& aText)
{
  const auto endpoint = net::Endpoint::Parse(aText);
  if (!endpoint) {
    throw UsageError("not IP:port: " + aText);
  }
  return *endpoint;
}

std::optional<net::Endpoint>
PlatformEndpoint()
{
  if (FLAGS_platform.empty()) {
    return std::nullopt;
  }
  return ParseEndpoint(FLAGS_platform);
}

Duration
Ms(std::uint64_t aMilliseconds)
{
  return Duration(static_cast<std::int64_t>(aMilliseconds));
}

proto::VmEntry
MakeEntry(proto::VmEntry::Kind aKind)
{
  proto::VmEntry entry;
  entry.set_id(FLAGS_id);
  entry.set_kind(aKind);
  entry.set_zone(FLAGS_zone);
  entry.set_region(FLAGS_region);
  entry.set_address(FLAGS_listen);
  entry.set_model(FLAGS_model);
  entry.set_checks_fencing(FLAGS_checks_fencing);
  return entry;
}

// While an object exists, SIGTERM and SIGINT stop the loop.
class StopSignals
{
public:
  explicit StopSignals(net::EventLoop& aLoop)
  {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    const int descriptor = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    m_watch = aLoop.WatchReadable(descriptor, [&aLoop] { aLoop.Stop(); });
  }

private:
  std::unique_ptr<net::ReadableWatch> m_watch;
};

int
RunPlatform()
{
  net::EventLoop loop;
  const StopSignals signals(loop);
  PlatformServer::Options options;
  options.m_listen = ParseEndpoint(FLAGS_listen);
  options.m_log.m_retentionRecords = FLAGS_retention_records;
  options.m_log.m_retention = Ms(FLAGS_retention_s * 1000);
  options.m_listLag = Ms(FLAGS_list_lag_ms);
  options.m_appendsPerSecond = FLAGS_appends_per_s;
  options.m_weightsPerSecond = FLAGS_weights_per_s;
  const PlatformServer server(loop, options);
  loop.Run();
  return 0;
}

int
RunEngine()
{
  net::EventLoop loop;
  net::HttpClient client(loop);
  const StopSignals signals(loop);
  EngineServer::Options options;
  options.m_listen = ParseEndpoint(FLAGS_listen);
  options.m_platform = PlatformEndpoint();
  options.m_entry = MakeEntry(proto::VmEntry::ENGINE);
  options.m_seed = FLAGS_seed;
  EngineOptions& engine = options.m_engine;
  engine.m_slots = FLAGS_slots;
  engine.m_coldSlots = FLAGS_cold_slots;
  engine.m_queueLimit = FLAGS_queue_limit;
  engine.m_coldTime = Ms(FLAGS_cold_ms);
  engine.m_stepTime = Ms(FLAGS_step_ms);
  engine.m_stepMicrosPerJob = FLAGS_step_us_per_job;
  engine.m_prefillTime = Ms(FLAGS_prefill_ms);
  engine.m_cachedPrefillTime = Ms(FLAGS_cached_prefill_ms);
  engine.m_loadLag = Ms(FLAGS_load_lag_ms);
  engine.m_cache.m_capacity = FLAGS_cache_chats;
  engine.m_cache.m_eventLag = Ms(FLAGS_cache_event_lag_ms);
  engine.m_cache.m_eventLossPercent = FLAGS_cache_event_loss_percent;
  const EngineServer server(loop, client, options);
  loop.Run();
  return 0;
}

int
RunService()
{
  net::EventLoop loop;
  net::HttpClient client(loop);
  const StopSignals signals(loop);
  ServiceServer::Options options;
  options.m_listen = ParseEndpoint(FLAGS_listen);
  options.m_platform = PlatformEndpoint();
  options.m_entry = MakeEntry(proto::VmEntry::PLAIN);
  options.m_runTime = Ms(FLAGS_run_ms);
  options.m_checksKeys = FLAGS_checks_keys;
  const ServiceServer server(loop, client, options);
  loop.Run();
  return 0;
}

std::vector<std::string>
SplitAtCommas(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream stream(aText);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

Caller::Options
CallerOptions()
{
  const auto scenario = ParseScenario(FLAGS_scenario);
  if (!scenario) {
    throw UsageError("no such scenario: " + FLAGS_scenario);
  }
  Caller::Options options;
  options.m_request.m_scenario = *scenario;
  options.m_request.m_customerKey = FLAGS_key;
  options.m_request.m_service = FLAGS_service;
  options.m_request.m_model = FLAGS_model;
  options.m_request.m_chats = FLAGS_chats;
  options.m_request.m_maxTokens = FLAGS_max_tokens;
  options.m_request.m_deadline = Ms(FLAGS_deadline_ms);
  options.m_request.m_runId = FLAGS_run_id;
  options.m_requests = FLAGS_requests;
  options.m_concurrency = std::max<std::size_t>(FLAGS_concurrency, 1);
  options.m_timeLimit = Ms(FLAGS_time_limit_s * 1000);
  for (const std::string& target : SplitAtCommas(FLAGS_target)) {
    options.m_targets.push_back(ParseEndpoint(target));
  }
  return options;
}

int
RunCaller()
{
  net::EventLoop loop;
  net::HttpClient client(loop);
  const StopSignals signals(loop);
  Caller caller(loop, client, CallerOptions(), [&loop] { loop.Stop(); });
  // Started from within the loop: Run clears an earlier Stop, so a caller that
  // finishes at once would not stop it.
  loop.After(Duration(0), [&caller] { caller.Start(); });
  loop.Run();
  caller.Print(std::cout);
  return caller.Count(Outcome::Wrong) == 0 ? 0 : 1;
}

// Parses KIND=WEIGHT pairs, comma separated.
std::vector<LoadClass>
ParseMix(const std::string& aText)
{
  std::vector<LoadClass> classes;
  for (const std::string& part : SplitAtCommas(aText)) {
    const std::size_t equals = part.find('=');
    const auto kind = ParseLoadKind(part.substr(0, equals));
    char* end = nullptr;
    const std::string weight =
      equals == std::string::npos ? "" : part.substr(equals + 1);
    LoadClass loadClass;
    loadClass.m_weight = std::strtod(weight.c_str(), &end);
    if (!kind || weight.empty() || *end != '\0' || !(loadClass.m_weight > 0)) {
      throw UsageError("not KIND=WEIGHT with chat, lookup or order: " + part);
    }
    loadClass.m_name = part.substr(0, equals);
    loadClass.m_kind = *kind;
    loadClass.m_answerTokens = static_cast<std::uint32_t>(FLAGS_max_tokens);
    loadClass.m_deadline = Ms(FLAGS_deadline_ms);
    if (loadClass.m_kind == LoadKind::Chat) {
      loadClass.m_parts = { { 0, static_cast<std::uint32_t>(FLAGS_chats) } };
    }
    classes.push_back(loadClass);
  }
  return classes;
}

LoadPlayerOptions
LoadOptions()
{
  const auto pattern = ParseLoadPattern(FLAGS_pattern);
  if (!pattern) {
    throw UsageError("no such pattern: " + FLAGS_pattern);
  }
  LoadPlayerOptions options;
  options.m_plan.m_pattern = *pattern;
  options.m_plan.m_requestsPerSecond = FLAGS_rate;
  options.m_plan.m_length = Ms(FLAGS_seconds * 1000);
  options.m_plan.m_seed = FLAGS_seed;
  options.m_plan.m_classes = ParseMix(FLAGS_mix);
  options.m_customerKeys = SplitAtCommas(FLAGS_keys);
  if (options.m_customerKeys.empty()) {
    throw UsageError("no customer key given");
  }
  options.m_plan.m_customers =
    static_cast<std::uint32_t>(options.m_customerKeys.size());
  options.m_service = FLAGS_service;
  options.m_orderService = FLAGS_order_service;
  options.m_model = FLAGS_model;
  options.m_runId = FLAGS_run_id;
  for (const std::string& target : SplitAtCommas(FLAGS_target)) {
    options.m_targets.push_back(ParseEndpoint(target));
  }
  return options;
}

void
WriteFile(const std::string& aPath, const std::string& aText)
{
  std::ofstream file(aPath);
  file << aText;
  if (!file.flush()) {
    throw std::runtime_error("cannot write " + aPath);
  }
}

int
RunLoad()
{
  net::EventLoop loop;
  net::HttpClient client(loop);
  const StopSignals signals(loop);
  std::optional<LoadPlayer> player;
  try {
    player.emplace(loop, client, LoadOptions(), [&loop] { loop.Stop(); });
  } catch (const std::invalid_argument& error) {
    throw UsageError(error.what());
  }
  loop.After(Duration(0), [&player] { player->Start(); });
  loop.Run();
  const LoadReport& report = player->Report();
  std::cout << report.Text();
  if (!FLAGS_json.empty()) {
    WriteFile(FLAGS_json, report.Json());
  }
  if (!FLAGS_svg.empty()) {
    WriteFile(
      FLAGS_svg,
      report.Svg(FLAGS_pattern + ", seed " + std::to_string(FLAGS_seed)));
  }
  return report.Count(Outcome::Wrong) == 0 ? 0 : 1;
}

struct Subcommand
{
  std::string_view m_name;
  int (*m_run)();
};

constexpr std::array<Subcommand, 5> kSubcommands{ {
  { "platform", RunPlatform },
  { "engine", RunEngine },
  { "service", RunService },
  { "caller", RunCaller },
  { "load", RunLoad },
} };

constexpr int kUsageExitCode = 2;

int
RunSubcommand(const std::vector<std::string>& aArguments)
{
  if (aArguments.size() != 1) {
    throw UsageError("name one of platform, engine, service, caller, load");
  }
  for (const Subcommand& subcommand : kSubcommands) {
    if (subcommand.m_name == aArguments.front()) {
      return subcommand.m_run();
    }
  }
  throw UsageError("no such subcommand: " + aArguments.front());
}

} // namespace
} // namespace walnutwing::standin

int
main(int aCount, char** aValues)
{
  gflags::SetUsageMessage("platform|engine|service|caller|load [flags]");
  gflags::ParseCommandLineFlags(&aCount, &aValues, true);
  try {
    return walnutwing::standin::RunSubcommand(
      { aValues + 1, aValues + aCount });
  } catch (const walnutwing::standin::UsageError& error) {
    std::cerr << "walnutwing-standin: " << error.what() << '\n';
    return walnutwing::standin::kUsageExitCode;
  } catch (const std::exception& error) {
    std::cerr << "walnutwing-standin: " << error.what() << '\n';
    return 1;
  }
}
