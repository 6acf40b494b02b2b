// Port offsets within a fleet's range of 100: the platform at 0, daemons from
// 10 on (ten apart, with three ports each: callers, admin, peers), engines from
// 60 on, the plain service at 90.

#include "standin/fleet_fixture.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include <unistd.h>

#include "platform.pb.h"
#include "standin/caller_request.h"
#include "walnutwing/config/config_log.h"
#include "walnutwing/config/fleet_config.h"

namespace walnutwing::standin {

namespace {

constexpr std::size_t kPortsPerFleet = 100;
constexpr std::uint16_t kFirstPort = 20'000;
constexpr std::size_t kFirstDaemonPort = 10;
constexpr std::size_t kFirstEnginePort = 60;
constexpr std::size_t kMaxResponseBytes = 64U << 20U;
constexpr const char* kOperator = "petra";
constexpr const char* kOperatorKeyHex =
  "9f1c0b6a7d2e4835a1c4f0e6b8d7253f4c6e81a09b3d5f72e4160c8a9d7b5f31";

std::string
OperatorKey()
{
  const std::string hex = kOperatorKeyHex;
  std::string key;
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    key += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
  }
  return key;
}

// An address within 127.64.0.0/10, derived from the id of this process.
std::string
LoopbackAddress()
{
  const auto pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(64 + ((pid >> 16U) & 63U)) + "." +
         std::to_string((pid >> 8U) & 255U) + "." + std::to_string(pid & 255U);
}

std::uint16_t
NextFirstPort()
{
  static std::size_t fleets = 0;
  return static_cast<std::uint16_t>(kFirstPort + kPortsPerFleet * fleets++);
}

std::string
ZoneOf(std::size_t aIndex)
{
  return aIndex < kFleetDaemons / 2 ? "z1" : "z2";
}

void
AddCustomer(proto::FleetConfig& aConfig,
            const std::string& aName,
            const std::string& aKey)
{
  proto::Customer& customer = *aConfig.add_customers();
  customer.set_name(aName);
  customer.set_key_sha256(Sha256(aKey));
  customer.set_share(100);
}

void
AddService(proto::FleetConfig& aConfig,
           const std::string& aName,
           proto::Service::Kind aKind,
           const std::string& aModel,
           const Fleet::Options& aOptions,
           proto::Preset& aPreset)
{
  proto::Service& service = *aConfig.add_services();
  service.set_name(aName);
  service.set_kind(aKind);
  service.set_idempotent(aKind == proto::Service::ENGINE);
  service.set_default_deadline_ms(30'000);
  proto::PresetService& inPreset = *aPreset.add_services();
  inPreset.set_service(aName);
  inPreset.set_model(aModel);
  inPreset.set_load_bound_percent(200);
  inPreset.set_engine_slots(aOptions.m_engineSlots);
  inPreset.set_cold_slots(aOptions.m_coldSlots);
  inPreset.set_queue_limit(16);
}

proto::FleetConfig
MakeInitialConfig(const Fleet::Options& aOptions)
{
  proto::FleetConfig config;
  AddCustomer(config, "crews", kCustomerKey);
  AddCustomer(config, "archive", kOtherCustomerKey);
  proto::Preset ordinary;
  ordinary.set_name("ordinary");
  AddService(
    config, kChatService, proto::Service::ENGINE, "m1", aOptions, ordinary);
  AddService(
    config, kOrderService, proto::Service::PLAIN, "valves", aOptions, ordinary);
  *config.add_presets() = ordinary;
  config.set_active_preset("ordinary");
  Normalize(&config);
  return config;
}

std::string
ErrorField(const std::string& aJson, const char* aName)
{
  const nlohmann::json json = nlohmann::json::parse(aJson, nullptr, false);
  const nlohmann::json::json_pointer field(std::string("/error/") + aName);
  const bool found =
    json.is_object() && json.contains(field) && json[field].is_string();
  return found ? json[field].get<std::string>() : std::string();
}

} // namespace

int
OpenCall::Code() const
{
  return m_status == 200 ? m_check->ErrorCode() : ErrorCodeIn(m_body);
}

std::string
OpenCall::RunState() const
{
  return ErrorField(m_body, "ran");
}

Fleet::Fleet(Options aOptions)
  : m_options(std::move(aOptions))
  , m_ip(LoopbackAddress())
  , m_firstPort(NextFirstPort())
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "walnutwing-fleet-XXXXXX")
      .string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary directory");
  }
  m_directory = pattern;
  m_platform = StartStandin(
    "platform",
    { "platform", "--listen=" + Platform().ToString(), "--list_lag_ms=200" });
  RequireEventually("an answer of the platform", [this] {
    return Fetch(Platform(), "GET", "/healthz").m_status == 200;
  });
  for (std::size_t i = 0; i < kFleetEngines; ++i) {
    StartEngine(i);
  }
  StartService();
  for (std::size_t i = 0; i < kFleetDaemons; ++i) {
    StartDaemon(i);
  }
  proto::ConfigRecord first;
  *first.mutable_replace_all() = MakeInitialConfig(m_options);
  PublishChange(first);
  for (std::size_t i = 0; i < kFleetDaemons; ++i) {
    RequireEventually("a daemon to be ready",
                      [this, i] { return IsDaemonReady(i); });
  }
}

Fleet::~Fleet()
{
  // Ends the children before their directory is removed, since they write to
  // it.
  for (auto& daemon : m_daemons) {
    daemon.reset();
  }
  for (auto& engine : m_engines) {
    engine.reset();
  }
  m_service.reset();
  m_platform.reset();
  std::error_code ignored;
  std::filesystem::remove_all(m_directory, ignored);
}

net::Endpoint
Fleet::EndpointAt(std::size_t aPortIndex) const
{
  return { m_ip, static_cast<std::uint16_t>(m_firstPort + aPortIndex) };
}

net::Endpoint
Fleet::DaemonAddress(std::size_t aIndex) const
{
  return EndpointAt(kFirstDaemonPort + 10 * aIndex);
}

net::Endpoint
Fleet::AdminAddress(std::size_t aIndex) const
{
  return EndpointAt(kFirstDaemonPort + 10 * aIndex + 1);
}

net::Endpoint
Fleet::EngineAddress(std::size_t aIndex) const
{
  return EndpointAt(kFirstEnginePort + aIndex);
}

std::string
Fleet::WriteSettings(std::size_t aIndex) const
{
  const std::size_t port = kFirstDaemonPort + 10 * aIndex;
  std::string file = m_directory + "/daemon" + std::to_string(aIndex) + ".ini";
  std::ofstream out(file);
  out << "[daemon]\nid = d" << aIndex << "\nzone = " << ZoneOf(aIndex)
      << "\nregion = r1\nlisten = " << EndpointAt(port).ToString()
      << "\nadmin_listen = " << EndpointAt(port + 1).ToString()
      << "\npeer_listen = " << EndpointAt(port + 2).ToString()
      << "\nstop_limit_s = " << m_options.m_stopLimitSeconds
      << "\n[platform]\naddress = " << Platform().ToString()
      << "\npoll_interval_ms = 100\ntimeout_ms = 1000\n[peers]\nseeds = "
      << EndpointAt(kFirstDaemonPort + 2).ToString() << ", "
      << EndpointAt(kFirstDaemonPort + 22).ToString() << "\n[operators]\n"
      << kOperator << " = " << kOperatorKeyHex << "\n";
  return file;
}

std::unique_ptr<ChildProcess>
Fleet::StartStandin(const std::string& aName,
                    const std::vector<std::string>& aArguments) const
{
  std::vector<std::string> arguments = { m_options.m_binDirectory +
                                         "/standin/walnutwing-standin" };
  arguments.insert(arguments.end(), aArguments.begin(), aArguments.end());
  return std::make_unique<ChildProcess>(arguments,
                                        m_directory + "/" + aName + ".log");
}

void
Fleet::StartDaemon(std::size_t aIndex)
{
  m_daemons.at(aIndex).reset();
  m_daemons.at(aIndex) = std::make_unique<ChildProcess>(
    std::vector<std::string>{ m_options.m_binDirectory + "/daemon/walnutwing",
                              "daemon",
                              "--config",
                              WriteSettings(aIndex) },
    m_directory + "/daemon" + std::to_string(aIndex) + ".log");
}

void
Fleet::StartEngine(std::size_t aIndex)
{
  m_engines.at(aIndex).reset();
  const std::string name = "e" + std::to_string(aIndex);
  m_engines.at(aIndex) =
    StartStandin(name,
                 { "engine",
                   "--id=" + name,
                   "--listen=" + EngineAddress(aIndex).ToString(),
                   "--zone=" + ZoneOf(aIndex),
                   "--model=m1",
                   "--step_ms=" + std::to_string(m_options.m_engineStepMs),
                   "--slots=" + std::to_string(m_options.m_engineSlots),
                   "--platform=" + Platform().ToString() });
}

void
Fleet::StartService()
{
  m_service =
    StartStandin("s1",
                 { "service",
                   "--id=s1",
                   "--listen=" + ServiceAddress().ToString(),
                   "--zone=z1",
                   "--model=valves",
                   "--run_ms=" + std::to_string(m_options.m_serviceRunMs),
                   "--platform=" + Platform().ToString() });
}

void
Fleet::RestartDaemon(std::size_t aIndex)
{
  StartDaemon(aIndex);
  RequireEventually("the restarted daemon to be ready",
                    [this, aIndex] { return IsDaemonReady(aIndex); });
}

void
Fleet::RestartEngine(std::size_t aIndex)
{
  StartEngine(aIndex);
  RequireEventually("an answer of the restarted engine", [this, aIndex] {
    return Fetch(EngineAddress(aIndex), "GET", "/healthz").m_status == 200;
  });
}

bool
Fleet::IsDaemonReady(std::size_t aIndex)
{
  const nlohmann::json status = FetchJson(AdminAddress(aIndex), "/status");
  return status.is_object() && status.value("ready", false) &&
         status.value("config_version", std::uint64_t{ 0 }) ==
           m_config.version() &&
         status["upstreams"].size() == kFleetEngines + 1;
}

void
Fleet::PublishChange(proto::ConfigRecord aChange)
{
  aChange.set_change_id("change-" + std::to_string(++m_changes));
  aChange.set_operator_name(kOperator);
  aChange.set_at_ms(m_loop.WallNow().time_since_epoch().count());
  const auto findings = SignChange(m_config, OperatorKey(), &aChange);
  if (!findings.empty()) {
    throw std::runtime_error("invalid configuration change: " +
                             findings[0].ToString());
  }
  std::vector<ConfigFinding> ignored;
  proto::FleetConfig next = ApplyChange(m_config, aChange, &ignored).value();
  proto::AppendRequest append;
  append.add_bodies(aChange.SerializeAsString());
  const net::HttpResponse httpResponse =
    Fetch(Platform(), "POST", "/log/config", append.SerializeAsString());
  proto::AppendResponse response;
  if (httpResponse.m_status != 200 ||
      !response.ParseFromString(httpResponse.m_body)) {
    throw std::runtime_error(
      "the platform did not accept the configuration change");
  }
  next.set_version(response.first_offset());
  m_config = next;
  for (std::size_t i = 0; i < kFleetDaemons; ++i) {
    if (Daemon(i).ExitStatus()) {
      continue;
    }
    RequireEventually("the change to be in force", [this, i] {
      const nlohmann::json status = FetchJson(AdminAddress(i), "/status");
      return status.is_object() &&
             status.value("config_version", std::uint64_t{ 0 }) >=
               m_config.version();
    });
  }
}

void
Fleet::TakeZoneOut(const std::string& aZone)
{
  proto::ConfigRecord change;
  change.set_zone_out(aZone);
  PublishChange(change);
}

void
Fleet::TakeZoneBack(const std::string& aZone)
{
  proto::ConfigRecord change;
  change.set_zone_back(aZone);
  PublishChange(change);
}

std::unique_ptr<OpenCall>
Fleet::StartChat(std::size_t aDaemon,
                 const std::string& aText,
                 std::uint64_t aTokens)
{
  net::CallRequest request;
  request.m_endpoint = DaemonAddress(aDaemon);
  request.m_method = "POST";
  request.m_target = "/v1/chat/completions";
  request.m_headers.Add("authorization", std::string("Bearer ") + kCustomerKey);
  request.m_headers.Add("walnutwing-service", kChatService);
  request.m_headers.Add("walnutwing-chat", aText);
  request.m_body = nlohmann::json{
    { "stream", true },
    { "max_tokens", aTokens },
    { "messages", { { { "role", "user" }, { "content", aText } } } }
  }.dump();
  return StartCall(std::move(request));
}

std::unique_ptr<OpenCall>
Fleet::StartOrder(std::size_t aDaemon,
                  const std::string& aKey,
                  std::optional<Duration> aDeadline)
{
  net::CallRequest request;
  request.m_endpoint = DaemonAddress(aDaemon);
  request.m_method = "POST";
  request.m_target = std::string("/v1/orders/") + kOrderService;
  request.m_headers.Add("authorization", std::string("Bearer ") + kCustomerKey);
  request.m_headers.Add("idempotency-key", aKey);
  if (aDeadline) {
    request.m_headers.Add("walnutwing-deadline-ms",
                          std::to_string(aDeadline->count()));
  }
  request.m_body = R"({"valve":17})";
  return StartCall(std::move(request));
}

std::unique_ptr<OpenCall>
Fleet::StartCall(net::CallRequest aRequest)
{
  auto call = std::make_unique<OpenCall>();
  OpenCall* open = call.get();
  open->m_check = std::make_unique<StreamCheck>(aRequest.m_body);
  aRequest.m_freshConnection = true;
  net::CallCallbacks callbacks;
  callbacks.m_onHead = [open](int aStatus, const net::Headers& aHeaders) {
    open->m_status = aStatus;
    open->m_headers = aHeaders;
  };
  callbacks.m_onBody = [open](std::string_view aPiece) {
    open->m_body += aPiece;
    if (open->m_status == 200) {
      open->m_check->Feed(aPiece);
    }
  };
  callbacks.m_onEnd = [open](const net::CallEnd& aEnd) {
    open->m_end = aEnd;
    open->m_ended = true;
  };
  open->m_call = m_client.Start(std::move(aRequest), std::move(callbacks));
  return call;
}

std::string
Fleet::NewOrderKey()
{
  return MakeOrderKey(m_loop.WallNow(), "order" + std::to_string(++m_orders));
}

net::HttpResponse
Fleet::Fetch(const net::Endpoint& aEndpoint,
             const std::string& aMethod,
             const std::string& aTarget,
             const std::string& aBody)
{
  net::CallRequest request;
  request.m_endpoint = aEndpoint;
  request.m_method = aMethod;
  request.m_target = aTarget;
  request.m_body = aBody;
  request.m_freshConnection = true;
  net::HttpResponse httpResponse;
  bool done = false;
  const auto call = FetchResponse(m_client,
                                  m_loop,
                                  std::move(request),
                                  Duration(2000),
                                  kMaxResponseBytes,
                                  [&](net::HttpResponse aResponse) {
                                    httpResponse = std::move(aResponse);
                                    done = true;
                                  });
  WaitUntil([&] { return done; });
  return httpResponse;
}

nlohmann::json
Fleet::FetchJson(const net::Endpoint& aEndpoint, const std::string& aTarget)
{
  const net::HttpResponse httpResponse = Fetch(aEndpoint, "GET", aTarget);
  if (httpResponse.m_status != 200) {
    return nullptr;
  }
  const nlohmann::json json =
    nlohmann::json::parse(httpResponse.m_body, nullptr, false);
  return json.is_discarded() ? nlohmann::json() : json;
}

void
Fleet::SetFault(const net::Endpoint& aEndpoint, const std::string& aQuery)
{
  if (Fetch(aEndpoint, "POST", "/fault?" + aQuery).m_status != 200) {
    throw std::runtime_error("the stand-in did not accept the fault: " +
                             aQuery);
  }
}

std::uint64_t
Fleet::CountRuns(const std::string& aKey)
{
  const nlohmann::json record = FetchJson(ServiceAddress(), "/record");
  if (!record.is_object()) {
    throw std::runtime_error("the plain service does not answer");
  }
  return record["runs"].value(aKey, std::uint64_t{ 0 });
}

bool
Fleet::WaitUntil(const std::function<bool()>& aCondition)
{
  const Time end = m_loop.Now() + kFleetWaitTimeout;
  while (!aCondition()) {
    if (m_loop.Now() >= end) {
      return false;
    }
    m_loop.RunOnce(Duration(5));
  }
  return true;
}

void
Fleet::RunLoopFor(Duration aTime)
{
  const Time end = m_loop.Now() + aTime;
  while (m_loop.Now() < end) {
    m_loop.RunOnce(Duration(5));
  }
}

void
Fleet::RequireEventually(const std::string& aWhat,
                         const std::function<bool()>& aCondition)
{
  if (!WaitUntil(aCondition)) {
    throw std::runtime_error("timed out after " +
                             std::to_string(kFleetWaitTimeout.count()) +
                             " ms waiting for: " + aWhat);
  }
}

} // namespace walnutwing::standin
