// Read-only: handlers report the state of the components and do not change it.

#include "daemon/admin.h"

#include <nlohmann/json.hpp>

#include "daemon/config_feed.h"
#include "daemon/fleet_view.h"
#include "daemon/front.h"
#include "daemon/order_coordinator.h"
#include "daemon/owner_host.h"
#include "daemon/permit_coordinator.h"
#include "daemon/request_flow.h"

namespace walnutwing {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpUnavailable = 503;

// Configuration versions are gossiped only within a zone, so they are unknown
// for daemons of other zones and left out.
nlohmann::json
MemberJson(const MemberView& aMember, const ZoneId& aOwnZone)
{
  nlohmann::json member = { { "daemon", aMember.m_daemon.Value() },
                            { "zone", aMember.m_zone.Value() },
                            { "status", NameOf(aMember.m_status) },
                            { "reachable", aMember.m_reachable },
                            { "up", aMember.m_up } };
  if (aMember.m_zone == aOwnZone) {
    member["config_version"] = aMember.m_configVersion;
  }
  return member;
}

void
RespondWithJson(net::Exchange& aExchange,
                int aStatus,
                const nlohmann::json& aBody)
{
  aExchange.Respond(
    aStatus,
    { { "content-type", "application/json" } },
    aBody.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
      "\n");
}

} // namespace

Admin::Admin(Context& aContext, const Supervisor& aRoot)
  : m_context(aContext)
  , m_root(aRoot)
  , m_server(aContext.m_loop,
             net::Endpoint::Parse(aContext.m_settings.m_adminListen).value(),
             {},
             [this](const std::shared_ptr<net::Exchange>& aExchange) {
               OnRequest(*aExchange);
             })
{
}

void
Admin::OnRequest(net::Exchange& aExchange)
{
  const std::string& path = aExchange.Request().m_path;
  if (path == "/healthz") {
    aExchange.Respond(kHttpOk, { { "content-type", "text/plain" } }, "ok\n");
  } else if (path == "/readyz") {
    const std::string reason = NotReadyReason();
    aExchange.Respond(reason.empty() ? kHttpOk : kHttpUnavailable,
                      { { "content-type", "text/plain" } },
                      reason.empty() ? "ready\n" : reason + "\n");
  } else if (path == "/metrics") {
    aExchange.Respond(kHttpOk,
                      { { "content-type", "text/plain; version=0.0.4" } },
                      m_context.m_metrics.PrometheusText());
  } else if (path == "/status") {
    aExchange.Respond(
      kHttpOk, { { "content-type", "application/json" } }, StatusJson());
  } else if (path == "/order") {
    RespondWithOrderStatus(aExchange);
  } else {
    RespondWithError(aExchange, ResultCode::NotFound, Duration::zero());
  }
}

std::string
Admin::NotReadyReason() const
{
  if (m_context.m_stopping) {
    return "stopping";
  }
  const ConfigFeed* config = m_context.m_config->Peek();
  if (config == nullptr || config->Current() == nullptr) {
    return "no configuration yet";
  }
  const std::vector<std::string> down = m_root.DownComponents();
  return down.empty() ? "" : "restarting " + down.front();
}

std::string
Admin::StatusJson() const
{
  using nlohmann::json;
  const DaemonSettings& settings = m_context.m_settings;
  json status = { { "daemon", settings.m_id.Value() },
                  { "zone", settings.m_zone.Value() },
                  { "region", settings.m_region.Value() },
                  { "config_version", 0 },
                  { "preset", "" },
                  { "ready", NotReadyReason().empty() },
                  { "not_ready_because", NotReadyReason() },
                  { "components_down", m_root.DownComponents() },
                  { "members", json::array() },
                  { "upstreams", json::array() } };
  const ConfigFeed* config = m_context.m_config->Peek();
  if (config != nullptr && config->Current() != nullptr) {
    status["config_version"] = config->Current()->version();
    status["preset"] = config->Current()->active_preset();
    status["zones_out"] = json::array();
    for (const std::string& zone : config->Current()->zones_out()) {
      status["zones_out"].push_back(zone);
    }
  }
  if (const FleetView* fleet = m_context.m_fleet->Peek()) {
    for (const MemberView& member : fleet->Members()) {
      status["members"].push_back(MemberJson(member, settings.m_zone));
    }
    for (const auto& [id, vm] : fleet->Upstreams()) {
      const proto::UpstreamState* state = fleet->StateOf(id);
      json upstream = { { "upstream", id.Value() },
                        { "zone", vm.zone() },
                        { "model", vm.model() },
                        { "leaving", vm.leaving() },
                        { "owner", fleet->OwnerOfUpstream(vm).Value() } };
      if (state != nullptr) {
        upstream["in_progress"] = state->in_progress();
        upstream["window"] = state->window();
        upstream["temperature"] =
          state->temperature() == proto::COLD ? "cold" : "warm";
      }
      status["upstreams"].push_back(std::move(upstream));
    }
  }
  if (const Front* front = m_context.m_front->Peek()) {
    status["requests_in_progress"] = front->InProgressCount();
  }
  if (const OrderCoordinator* orders = m_context.m_orders->Peek()) {
    status["orders_log_available"] = orders->LogAvailable();
  }
  return status.dump() + "\n";
}

void
Admin::RespondWithOrderStatus(net::Exchange& aExchange) const
{
  const std::string& query = aExchange.Request().m_query;
  const auto customer = net::QueryValue(query, "customer");
  const auto key = net::QueryValue(query, "key");
  if (!customer || !key) {
    RespondWithError(aExchange, ResultCode::BadRequest, Duration::zero());
    return;
  }
  OrderStatus status;
  const bool asked = m_context.m_orders->Call([&](OrderCoordinator& aOrders) {
    status = aOrders.StatusOf(CustomerId(std::string(*customer)),
                              OrderKey(std::string(*key)));
  });
  if (!asked) {
    RespondWithError(
      aExchange, ResultCode::ClaimsUnavailable, std::chrono::seconds(1));
    return;
  }
  nlohmann::json body = { { "code", static_cast<int>(status.m_code) },
                          { "name", RowOf(status.m_code).m_name },
                          { "ran", NameOf(RowOf(status.m_code).m_ran) },
                          { "meaning", RowOf(status.m_code).m_text },
                          { "current", status.m_current },
                          { "service", status.m_service.Value() } };
  if (status.m_result != nullptr) {
    body["http_status"] = status.m_result->m_httpStatus;
    body["body"] = status.m_result->m_body;
  }
  RespondWithJson(aExchange, kHttpOk, body);
}

} // namespace walnutwing
