// Polls the load report of each owned upstream. An upstream that fails
// kLoadFailuresUntilLeaving polls in a row is treated as leaving until it
// answers again; from then on its reports count. An upstream without a load
// report (404, a plain service) counts as answering, and its load is not known.

#include "daemon/owner_host.h"

#include <utility>
#include <variant>
#include <vector>

#include "daemon/config_feed.h"
#include "daemon/engine_load_report.h"
#include "daemon/fleet_view.h"
#include "daemon/log.h"
#include "daemon/peer_link.h"
#include "daemon/permit_coordinator.h"
#include "walnutwing/config/fleet_config.h"

namespace walnutwing {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(200);
constexpr Duration kLoadPollInterval = std::chrono::milliseconds(1000);
constexpr Duration kLoadTimeout = std::chrono::milliseconds(900);
constexpr std::size_t kMaxLoadReportBytes = 4096;
constexpr int kLoadFailuresUntilLeaving = 3;
constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;

// The active preset's entry for the service that uses aModel; null if no
// service does.
const proto::PresetService*
FindPresetServiceOfModel(const proto::FleetConfig& aConfig,
                         const std::string& aModel)
{
  const proto::Preset* preset = ActivePreset(aConfig);
  if (preset == nullptr) {
    return nullptr;
  }
  for (const proto::PresetService& service : preset->services()) {
    if (service.model() == aModel) {
      return &service;
    }
  }
  return nullptr;
}

OwnerOptions
OptionsOf(const proto::PresetService& aPreset)
{
  OwnerOptions options;
  options.m_slots = aPreset.engine_slots();
  options.m_coldSlots = aPreset.cold_slots();
  options.m_loadBoundPercent = aPreset.load_bound_percent();
  options.m_queueLimit = aPreset.queue_limit();
  return options;
}

} // namespace

struct OwnerHost::OwnedUpstream
{
  proto::VmEntry m_vm;
  UpstreamOwner m_owner;
  bool m_leaving = false;
  int m_loadFailures = 0;
  PlatformClient::CallHandle m_loadCall;
};

OwnerHost::OwnerHost(Context& aContext)
  : m_context(aContext)
  , m_tickTimer(aContext.m_loop)
  , m_pollTimer(aContext.m_loop)
{
  m_tickTimer.Every(kTickInterval, [this] {
    m_context.m_owners->Call([](OwnerHost& aSelf) { aSelf.Tick(); });
  });
  m_pollTimer.Every(kLoadPollInterval, [this] {
    m_context.m_owners->Call([](OwnerHost& aSelf) {
      for (const auto& [id, owned] : aSelf.m_owned) {
        aSelf.PollLoad(*owned);
      }
    });
  });
}

OwnerHost::~OwnerHost() = default;

void
OwnerHost::OnConfigChanged()
{
  OnFleetChanged();
}

void
OwnerHost::OnFleetChanged()
{
  const FleetView* fleet = m_context.m_fleet->Peek();
  const ConfigFeed* config = m_context.m_config->Peek();
  if (fleet == nullptr || config == nullptr || config->Current() == nullptr) {
    return;
  }
  const auto& upstreams = fleet->Upstreams();
  std::erase_if(m_owned, [&](const auto& aEntry) {
    const auto found = upstreams.find(aEntry.first);
    return found == upstreams.end() ||
           fleet->OwnerOfUpstream(found->second) != m_context.m_settings.m_id ||
           FindPresetServiceOfModel(*config->Current(),
                                    found->second.model()) == nullptr;
  });
  for (const auto& [id, vm] : upstreams) {
    if (fleet->OwnerOfUpstream(vm) != m_context.m_settings.m_id ||
        FindPresetServiceOfModel(*config->Current(), vm.model()) == nullptr) {
      continue;
    }
    if (!m_owned.contains(id)) {
      TakeOwnership(vm);
    }
    m_owned.at(id)->m_vm = vm;
    Refresh(*m_owned.at(id));
  }
}

void
OwnerHost::TakeOwnership(const proto::VmEntry& aUpstream)
{
  const UpstreamId id(aUpstream.id());
  const proto::FleetConfig& config = *m_context.m_config->Peek()->Current();
  const proto::UpstreamState* last = m_context.m_fleet->Peek()->StateOf(id);
  // Plain services have no cold start. An engine counts as cold unless its last
  // known state is warm.
  const bool cold = aUpstream.kind() == proto::VmEntry::ENGINE &&
                    (last == nullptr || last->temperature() == proto::COLD);
  UpstreamOwner owner(
    id,
    OptionsOf(*FindPresetServiceOfModel(config, aUpstream.model())),
    m_context.NextIncarnation(),
    cold,
    last == nullptr ? std::nullopt : std::make_optional(*last),
    m_context.m_loop.Now());
  auto owned = std::make_unique<OwnedUpstream>(
    OwnedUpstream{ aUpstream, std::move(owner), false, 0, nullptr });
  OwnedUpstream& added = *owned;
  m_owned.emplace(id, std::move(owned));
  PollLoad(added);
}

// Applies the configuration, the VM entry and the count of failed polls.
void
OwnerHost::Refresh(OwnedUpstream& aOwned)
{
  const proto::FleetConfig& config = *m_context.m_config->Peek()->Current();
  OwnerActions actions;
  aOwned.m_owner.SetOptions(
    OptionsOf(*FindPresetServiceOfModel(config, aOwned.m_vm.model())),
    m_context.m_loop.Now(),
    actions);
  CarryOut(actions);
  std::unordered_map<CustomerId, std::uint32_t> shares;
  for (const proto::Customer& customer : config.customers()) {
    shares[CustomerId(customer.name())] = customer.share();
  }
  aOwned.m_owner.SetShares(std::move(shares));
  SetLeaving(aOwned,
             aOwned.m_vm.leaving() || IsZoneOut(config, aOwned.m_vm.zone()) ||
               aOwned.m_loadFailures >= kLoadFailuresUntilLeaving);
}

void
OwnerHost::SetLeaving(OwnedUpstream& aOwned, bool aLeaving)
{
  if (aLeaving == aOwned.m_leaving) {
    return;
  }
  aOwned.m_leaving = aLeaving;
  LogEvent(LogLevel::Info,
           aLeaving ? "upstream_takes_no_work" : "upstream_takes_work",
           { { "upstream", aOwned.m_vm.id() } });
  OwnerActions actions;
  if (aLeaving) {
    aOwned.m_owner.OnLeaving(m_context.m_loop.Now(), actions);
  } else {
    const bool cold = aOwned.m_vm.kind() == proto::VmEntry::ENGINE;
    aOwned.m_owner.OnReturned(cold, m_context.m_loop.Now(), actions);
  }
  CarryOut(actions);
}

void
OwnerHost::PollLoad(OwnedUpstream& aOwned)
{
  const std::optional<net::Endpoint> endpoint =
    net::Endpoint::Parse(aOwned.m_vm.address());
  if (!endpoint) {
    return;
  }
  net::CallRequest request;
  request.m_endpoint = *endpoint;
  request.m_target = "/load";
  aOwned.m_loadCall =
    net::FetchResponse(m_context.m_http,
                       m_context.m_loop,
                       std::move(request),
                       kLoadTimeout,
                       kMaxLoadReportBytes,
                       [this, id = UpstreamId(aOwned.m_vm.id())](
                         const net::HttpResponse& aResponse) {
                         m_context.m_owners->Call([&](OwnerHost& aSelf) {
                           aSelf.OnLoadResponse(id, aResponse);
                         });
                       });
}

void
OwnerHost::OnLoadResponse(const UpstreamId& aUpstream,
                          const net::HttpResponse& aResponse)
{
  const auto found = m_owned.find(aUpstream);
  if (found == m_owned.end()) {
    return;
  }
  OwnedUpstream& owned = *found->second;
  const bool answered =
    aResponse.m_end.m_stage == net::CallStage::Complete &&
    (aResponse.m_status == kHttpOk || aResponse.m_status == kHttpNotFound);
  owned.m_loadFailures = answered ? 0 : owned.m_loadFailures + 1;
  Refresh(owned);
  if (!answered || aResponse.m_status == kHttpNotFound) {
    return;
  }
  const std::optional<EngineLoad> load = DecodeEngineLoad(
    aResponse.m_body, m_context.m_loop.WallNow(), m_context.m_loop.Now());
  if (!load) {
    ++m_context.m_metrics.Counter("load_reports_malformed_total");
    return;
  }
  OwnerActions actions;
  owned.m_owner.OnLoad(*load, m_context.m_loop.Now(), actions);
  CarryOut(actions);
}

void
OwnerHost::OnPeerMessage(const DaemonId& aFrom,
                         std::uint64_t aIncarnation,
                         const proto::PeerMessage& aMessage)
{
  UpdateHolderIncarnation(aFrom, aIncarnation);
  const Time now = m_context.m_loop.Now();
  OwnerActions actions;
  const auto ownerOf = [this](const std::string& aUpstream) -> UpstreamOwner* {
    const auto found = m_owned.find(UpstreamId(aUpstream));
    return found == m_owned.end() ? nullptr : &found->second->m_owner;
  };
  if (aMessage.has_permit_request()) {
    const proto::PermitRequest& request = aMessage.permit_request();
    UpstreamOwner* owner = ownerOf(request.upstream());
    if (owner == nullptr) {
      DenyUnowned(aFrom, request);
      return;
    }
    ++m_context.m_metrics.Counter("permit_requests_total");
    owner->OnPermitRequest(aFrom, request, now, actions);
  } else if (aMessage.has_permit_release()) {
    if (UpstreamOwner* owner = ownerOf(aMessage.permit_release().upstream())) {
      owner->OnRelease(aFrom, aMessage.permit_release(), now, actions);
    }
  } else if (aMessage.has_permit_report()) {
    if (UpstreamOwner* owner = ownerOf(aMessage.permit_report().upstream())) {
      owner->OnReport(aFrom, aMessage.permit_report(), now, actions);
    }
  }
  CarryOut(actions);
}

// A daemon with a higher incarnation has restarted and no longer holds the
// permits of its previous incarnation.
void
OwnerHost::UpdateHolderIncarnation(const DaemonId& aFrom,
                                   std::uint64_t aIncarnation)
{
  std::uint64_t& known = m_holderIncarnations[aFrom];
  if (known != 0 && aIncarnation > known) {
    OnDaemonGone(aFrom);
  }
  known = std::max(known, aIncarnation);
}

// Answers a request for an upstream that this daemon does not own in its own
// view. The requester's membership view differs; it tries its next choice.
void
OwnerHost::DenyUnowned(const DaemonId& aTo,
                       const proto::PermitRequest& aRequest)
{
  proto::PeerMessage message;
  proto::PermitDeny& deny = *message.mutable_permit_deny();
  deny.set_request_id(aRequest.request_id());
  deny.set_upstream(aRequest.upstream());
  deny.set_code(static_cast<std::uint32_t>(ResultCode::PermitTimeout));
  deny.set_retry_after_ms(
    static_cast<std::uint32_t>(kLoadPollInterval.count()));
  m_context.m_peers->Call(
    [&](PeerLink& aPeers) { aPeers.Send(aTo, message, true); });
}

void
OwnerHost::OnDaemonGone(const DaemonId& aDaemon)
{
  OwnerActions actions;
  for (const auto& [id, owned] : m_owned) {
    owned->m_owner.OnHolderGone(aDaemon, m_context.m_loop.Now(), actions);
  }
  CarryOut(actions);
}

void
OwnerHost::Tick()
{
  const Time now = m_context.m_loop.Now();
  const PermitCoordinator* permits = m_context.m_permits->Peek();
  OwnerActions actions;
  for (const auto& entry : m_owned) {
    OwnedUpstream* owned = entry.second.get();
    const std::optional<double> mean =
      permits == nullptr ? std::nullopt
                         : permits->MeanLoadOf(owned->m_vm.model());
    if (mean) {
      owned->m_owner.OnMeanLoad(*mean, now, actions);
    }
    owned->m_owner.OnTick(now, actions);
    m_context.m_fleet->Call([&](FleetView& aFleet) {
      aFleet.SetUpstreamState(owned->m_owner.State(now));
    });
  }
  CarryOut(actions);
  m_context.m_metrics.Gauge("upstreams_owned") =
    static_cast<double>(m_owned.size());
}

void
OwnerHost::CarryOut(const OwnerActions& aActions)
{
  for (const OwnerAction& action : aActions) {
    proto::PeerMessage message;
    DaemonId to;
    if (const auto* grant = std::get_if<SendGrant>(&action)) {
      *message.mutable_permit_grant() = grant->m_grant;
      to = grant->m_to;
    } else if (const auto* deny = std::get_if<SendDeny>(&action)) {
      *message.mutable_permit_deny() = deny->m_deny;
      to = deny->m_to;
      ++m_context.m_metrics.Counter("permit_denials_total");
    }
    m_context.m_peers->Call(
      [&](PeerLink& aPeers) { aPeers.Send(to, message, true); });
  }
}

} // namespace walnutwing
