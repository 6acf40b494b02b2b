// Checks run in order of cost, cheapest first. A failed check answers with a
// result code that tells the caller that the request was not run.

#include "daemon/front.h"

#include <charconv>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "daemon/config_feed.h"
#include "daemon/fleet_view.h"
#include "walnutwing/config/fleet_config.h"
#include "walnutwing/orders/order_key.h"

namespace walnutwing {
namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kOrderPath = "/v1/orders/";
constexpr std::string_view kCallPath = "/v1/calls/";
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::string_view kPlainServiceTarget = "/call";
constexpr Duration kRefreshInterval = std::chrono::milliseconds(500);
constexpr Duration kMaxDeadline = std::chrono::minutes(30);
// h2o rejects bodies above its limit itself, without a result code. Its limit
// is this much higher than ours, so that bodies slightly above ours are
// answered with RequestTooLarge.
constexpr std::size_t kBodyHeadroomBytes = std::size_t{ 64 } * 1024;
// Callers are not spread evenly over the daemons. Each daemon may therefore use
// this multiple of its equal part of the upstreams' slots before customer
// shares limit it.
constexpr std::uint32_t kImbalanceFactor = 2;
constexpr std::size_t kMaxChatIdBytes = 256;

template<typename Number>
std::optional<Number>
ParseNumber(std::string_view aText)
{
  Number value = 0;
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (error != std::errc() || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return value;
}

// The service that a request names: in its path, in the walnutwing-service
// header or, as clients of model APIs do, in the "model" field of its body.
std::string
ServiceNameOf(const net::HttpRequest& aRequest)
{
  for (const std::string_view prefix : { kOrderPath, kCallPath }) {
    if (aRequest.m_path.starts_with(prefix)) {
      return aRequest.m_path.substr(prefix.size());
    }
  }
  if (const auto header = aRequest.m_headers.Find("walnutwing-service")) {
    return std::string(*header);
  }
  const nlohmann::json body =
    nlohmann::json::parse(aRequest.m_body, nullptr, false);
  if (!body.is_object() || !body.contains("model") ||
      !body["model"].is_string()) {
    return "";
  }
  return body["model"].get<std::string>();
}

// The customer whose API key the request carries; null if the key is unknown.
const proto::Customer*
CustomerOf(const net::HttpRequest& aRequest, const proto::FleetConfig& aConfig)
{
  const std::string_view authorization =
    aRequest.m_headers.Get("authorization");
  if (!authorization.starts_with(kBearerPrefix)) {
    return nullptr;
  }
  return FindCustomerByKey(aConfig, authorization.substr(kBearerPrefix.size()));
}

// Time limit for the complete answer; std::nullopt if the header is not a
// positive integer.
std::optional<Duration>
DeadlineOf(const net::HttpRequest& aRequest, Duration aDefault)
{
  const auto header = aRequest.m_headers.Find("walnutwing-deadline-ms");
  if (!header) {
    return std::min(aDefault, kMaxDeadline);
  }
  const std::optional<std::uint32_t> value =
    ParseNumber<std::uint32_t>(*header);
  if (!value || *value == 0) {
    return std::nullopt;
  }
  return std::min(Duration(*value), kMaxDeadline);
}

bool
IsKnownPath(const net::HttpRequest& aRequest)
{
  return aRequest.m_path == kChatPath ||
         aRequest.m_path.starts_with(kOrderPath) ||
         aRequest.m_path.starts_with(kCallPath);
}

} // namespace

Front::Front(Context& aContext)
  : m_context(aContext)
  , m_refreshTimer(aContext.m_loop)
{
  net::HttpServerOptions options;
  options.m_maxBodyBytes =
    aContext.m_settings.m_maxBodyBytes + kBodyHeadroomBytes;
  options.m_requestTimeout = aContext.m_settings.m_requestTimeout;
  m_server = std::make_unique<net::HttpServer>(
    aContext.m_loop,
    net::Endpoint::Parse(aContext.m_settings.m_listen).value(),
    options,
    [this](const std::shared_ptr<net::Exchange>& aExchange) {
      m_context.m_front->Call(
        [&](Front& aSelf) { aSelf.OnRequest(aExchange); });
    });
  m_refreshTimer.Every(kRefreshInterval, [this] {
    m_context.m_front->Call([](Front& aSelf) {
      aSelf.RefreshShares();
      // A copy, since a flow that ends removes itself from m_flows.
      const auto flows = aSelf.m_flows;
      for (const std::shared_ptr<RequestFlow>& flow : flows) {
        flow->CheckCaller();
      }
    });
  });
}

Front::~Front() = default;

void
Front::StopAccepting()
{
  m_server->StopAccepting();
}

std::size_t
Front::TerminateAll()
{
  const auto flows = m_flows;
  for (const std::shared_ptr<RequestFlow>& flow : flows) {
    flow->Terminate();
  }
  return flows.size();
}

void
Front::OnRequest(const std::shared_ptr<net::Exchange>& aExchange)
{
  CheckResult checked = Check(aExchange->Request());
  if (const auto* refusal = std::get_if<Refusal>(&checked)) {
    Refuse(*aExchange, *refusal);
    return;
  }
  FlowRequest& request = std::get<FlowRequest>(checked);
  RefreshShares();
  const AdmissionResult admission =
    m_shares.Admit(request.m_chat.m_customer, m_context.m_loop.Now());
  if (admission.m_code != ResultCode::Ok) {
    Refuse(*aExchange, { admission.m_code, admission.m_retryAfter });
    return;
  }
  StartFlow(std::move(request), aExchange);
}

Front::CheckResult
Front::Check(const net::HttpRequest& aRequest) const
{
  if (const std::optional<Refusal> refusal = CheckWithoutConfig(aRequest)) {
    return *refusal;
  }
  const proto::FleetConfig& config = *m_context.m_config->Peek()->Current();
  const proto::Customer* customer = CustomerOf(aRequest, config);
  if (customer == nullptr) {
    return Refusal{ ResultCode::Unauthorized };
  }
  const std::string serviceName = ServiceNameOf(aRequest);
  const proto::Service* service = FindService(config, serviceName);
  if (service == nullptr ||
      ActivePresetService(config, serviceName) == nullptr) {
    return Refusal{ ResultCode::UnknownService };
  }
  if (m_flows.size() >= m_context.m_settings.m_maxRequests) {
    return Refusal{ ResultCode::QueueFull, std::chrono::seconds(1) };
  }
  FlowRequest flow;
  flow.m_chat.m_customer = CustomerId(customer->name());
  flow.m_chat.m_service = ServiceId(serviceName);
  flow.m_priority = customer->priority();
  flow.m_idempotent = service->idempotent();
  flow.m_upstreamTarget =
    service->kind() == proto::Service::ENGINE ? kChatPath : kPlainServiceTarget;
  flow.m_trace = TraceContext::Parse(aRequest.m_headers.Get("traceparent"));
  const std::optional<Duration> deadline =
    DeadlineOf(aRequest, Duration(service->default_deadline_ms()));
  if (!deadline || !ReadChat(aRequest, flow)) {
    return Refusal{ ResultCode::BadRequest };
  }
  flow.m_deadline = m_context.m_loop.Now() + *deadline;
  if (const std::optional<ResultCode> code = CheckOrder(aRequest, flow)) {
    return Refusal{ *code };
  }
  return flow;
}

// Checks that need no configuration.
std::optional<Front::Refusal>
Front::CheckWithoutConfig(const net::HttpRequest& aRequest) const
{
  if (!IsKnownPath(aRequest)) {
    return Refusal{ ResultCode::NotFound };
  }
  if (aRequest.m_method != "POST") {
    return Refusal{ ResultCode::BadRequest };
  }
  if (m_context.m_stopping) {
    return Refusal{ ResultCode::Stopping, std::chrono::seconds(1) };
  }
  if (aRequest.m_body.size() > m_context.m_settings.m_maxBodyBytes) {
    return Refusal{ ResultCode::RequestTooLarge };
  }
  const ConfigFeed* feed = m_context.m_config->Peek();
  if (feed == nullptr || feed->Current() == nullptr) {
    return Refusal{ ResultCode::NoConfiguration, std::chrono::seconds(2) };
  }
  return std::nullopt;
}

// Reads the chat id and its placement hint. Returns false if the chat id is too
// long.
bool
Front::ReadChat(const net::HttpRequest& aRequest, FlowRequest& aFlow) const
{
  const std::string_view chat = aRequest.m_headers.Get("walnutwing-chat");
  if (chat.size() > kMaxChatIdBytes) {
    return false;
  }
  if (chat.empty()) {
    // Requests without a chat get a random chat id, so that they are spread
    // over all upstreams.
    aFlow.m_chat.m_chat =
      ChatId("request " + std::to_string(m_context.m_random()));
    return true;
  }
  aFlow.m_chat.m_chat = ChatId(std::string(chat));
  if (m_context.m_hintSigner) {
    const auto hint = aRequest.m_headers.Find(kHintHeader);
    aFlow.m_newChat = hint && hint->empty();
    aFlow.m_hint = m_context.m_hintSigner->Verify(
      hint.value_or(""), aFlow.m_chat, m_context.m_loop.WallNow());
  }
  return true;
}

// Non-idempotent services accept only orders, and orders are accepted only for
// them.
std::optional<ResultCode>
Front::CheckOrder(const net::HttpRequest& aRequest, FlowRequest& aFlow) const
{
  const bool isOrder = aRequest.m_path.starts_with(kOrderPath);
  if (!isOrder) {
    return aFlow.m_idempotent ? std::nullopt
                              : std::make_optional(ResultCode::OrderKeyMissing);
  }
  if (aFlow.m_idempotent) {
    return ResultCode::UnknownService;
  }
  const auto key = aRequest.m_headers.Find("idempotency-key");
  if (!key) {
    return ResultCode::OrderKeyMissing;
  }
  aFlow.m_orderKey = OrderKey(std::string(*key));
  const ResultCode code =
    CheckOrderKey(aFlow.m_orderKey, m_context.m_loop.WallNow(), {});
  return code == ResultCode::Ok ? std::nullopt : std::make_optional(code);
}

void
Front::StartFlow(FlowRequest aRequest,
                 const std::shared_ptr<net::Exchange>& aExchange)
{
  const CustomerId customer = aRequest.m_chat.m_customer;
  // The end callback runs in a later iteration of the event loop, when weakFlow
  // is set and the flow is in m_flows.
  const auto weakFlow = std::make_shared<std::weak_ptr<RequestFlow>>();
  const auto flow =
    std::make_shared<RequestFlow>(m_context,
                                  std::move(aRequest),
                                  aExchange,
                                  [this, weakFlow, customer](ResultCode) {
                                    m_context.m_front->Call([&](Front& aSelf) {
                                      aSelf.m_shares.OnFinished(customer);
                                      aSelf.m_flows.erase(weakFlow->lock());
                                    });
                                  });
  *weakFlow = flow;
  m_flows.insert(flow);
  m_context.m_metrics.Gauge("requests_in_progress") =
    static_cast<double>(m_flows.size());
  flow->Start();
}

void
Front::Refuse(net::Exchange& aExchange, const Refusal& aRefusal)
{
  ++m_context.m_metrics.Counter(
    "requests_total",
    "code=\"" + std::to_string(static_cast<int>(aRefusal.m_code)) + "\"");
  RespondWithError(aExchange, aRefusal.m_code, aRefusal.m_retryAfter);
}

// Sets the capacity to kImbalanceFactor times this daemon's equal part of the
// slots and queue places of the upstreams that accept work, and applies the
// customers' limits when the configuration has changed.
void
Front::RefreshShares()
{
  const ConfigFeed* feed = m_context.m_config->Peek();
  const FleetView* fleet = m_context.m_fleet->Peek();
  if (feed == nullptr || fleet == nullptr || feed->Current() == nullptr) {
    return;
  }
  const proto::FleetConfig& config = *feed->Current();
  std::uint32_t slots = 0;
  for (const auto& [id, vm] : fleet->Upstreams()) {
    if (vm.leaving() || IsZoneOut(config, vm.zone())) {
      continue;
    }
    for (const proto::PresetService& service :
         ActivePreset(config)->services()) {
      if (service.model() == vm.model()) {
        slots += service.engine_slots() + service.queue_limit();
        break;
      }
    }
  }
  const auto daemons = static_cast<std::uint32_t>(fleet->PeersUp().size()) + 1;
  m_shares.SetCapacity(
    std::max<std::uint32_t>(1, kImbalanceFactor * slots / daemons));
  m_context.m_metrics.Gauge("requests_in_progress") =
    static_cast<double>(m_flows.size());
  if (m_sharesConfig == feed->Current()) {
    return;
  }
  m_sharesConfig = feed->Current();
  std::vector<CustomerLimit> limits;
  for (const proto::Customer& customer : config.customers()) {
    limits.push_back({ CustomerId(customer.name()),
                       customer.share(),
                       customer.priority(),
                       customer.max_in_progress() });
  }
  m_shares.SetCustomers(limits);
}

} // namespace walnutwing
