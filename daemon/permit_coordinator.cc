// An adapter: ChatPlacement ranks the upstreams and PermitClient requests the
// permits; this file feeds both with the fleet view and the configuration.

#include "daemon/permit_coordinator.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "daemon/config_feed.h"
#include "daemon/fleet_view.h"
#include "daemon/peer_link.h"
#include "walnutwing/config/fleet_config.h"

namespace walnutwing {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(25);
constexpr Duration kReportInterval = std::chrono::seconds(10);
constexpr Duration kNoUpstreamRetryAfter = std::chrono::seconds(2);

} // namespace

PermitCoordinator::PermitCoordinator(Context& aContext)
  : m_context(aContext)
  , m_retries(RetryBudgetOptions(), aContext.m_loop.Now())
  , m_tickTimer(aContext.m_loop)
  , m_reportTimer(aContext.m_loop)
{
  m_tickTimer.Every(kTickInterval, [this] {
    m_context.m_permits->Call([](PermitCoordinator& aSelf) {
      PermitClientActions actions;
      aSelf.m_client.OnTick(aSelf.m_context.m_loop.Now(), actions);
      aSelf.CarryOut(actions);
    });
  });
  m_reportTimer.Every(kReportInterval, [this] {
    m_context.m_permits->Call([](PermitCoordinator& aSelf) {
      PermitClientActions actions;
      aSelf.m_client.ReportHeldPermits(actions);
      aSelf.CarryOut(actions);
    });
  });
  RebuildPlacements();
}

RequestId
PermitCoordinator::Search(const PermitSearch& aSearch, DoneCallback aDone)
{
  const RequestId id(++m_context.m_lastSearchId);
  m_retries.OnRequest();
  m_searches.emplace(id, std::move(aDone));
  std::vector<PermitTarget> targets = TargetsFor(aSearch);
  PermitClientActions actions;
  if (targets.empty()) {
    actions.emplace_back(
      PermitRefused{ id, ResultCode::NoUpstream, kNoUpstreamRetryAfter });
  } else {
    m_client.OnRequest({ id,
                         aSearch.m_chat.m_customer,
                         aSearch.m_chat.m_service,
                         aSearch.m_priority,
                         aSearch.m_deadline,
                         std::move(targets) },
                       m_context.m_loop.Now(),
                       actions);
  }
  CarryOut(actions);
  return id;
}

std::vector<PermitTarget>
PermitCoordinator::TargetsFor(const PermitSearch& aSearch) const
{
  std::vector<PermitTarget> targets;
  const FleetView* fleet = m_context.m_fleet->Peek();
  const auto found = m_placements.find(aSearch.m_chat.m_service);
  if (fleet == nullptr || found == m_placements.end()) {
    return targets;
  }
  for (const UpstreamId& upstream : found->second.m_placement.Rank(
         aSearch.m_chat, aSearch.m_hint, aSearch.m_newChat)) {
    const auto vm = fleet->Upstreams().find(upstream);
    if (aSearch.m_triedUpstreams.contains(upstream) ||
        vm == fleet->Upstreams().end()) {
      continue;
    }
    targets.push_back({ upstream,
                        fleet->OwnerOfUpstream(vm->second),
                        SelfPermitLimit(found->second, upstream) });
  }
  return targets;
}

// The number of permits that this daemon may grant itself if the owner does not
// answer: the upstream's last known window, divided by the number of daemons
// that may do the same, but at least 1. It is 1 if no window is known, and 0 if
// the window is 0.
std::uint32_t
PermitCoordinator::SelfPermitLimit(const ServicePlacement& aService,
                                   const UpstreamId& aUpstream) const
{
  const proto::UpstreamState* state = aService.m_placement.StateOf(aUpstream);
  const std::uint32_t window = state == nullptr ? 1 : state->window();
  const auto daemons =
    static_cast<std::uint32_t>(m_context.m_fleet->Peek()->PeersUp().size()) + 1;
  return window == 0 ? 0 : std::max<std::uint32_t>(1, window / daemons);
}

void
PermitCoordinator::CancelSearch(RequestId aSearch)
{
  if (m_searches.erase(aSearch) == 0) {
    return;
  }
  PermitClientActions actions;
  m_client.OnCancel(aSearch, m_context.m_loop.Now(), actions);
  CarryOut(actions);
}

void
PermitCoordinator::ReleasePermit(RequestId aSearch, bool aFailed, bool aCold)
{
  if (m_searches.erase(aSearch) == 0) {
    return;
  }
  PermitClientActions actions;
  m_client.OnFinished(aSearch, aFailed, aCold, actions);
  CarryOut(actions);
}

void
PermitCoordinator::OnUpstreamUnreachable(RequestId aSearch)
{
  PermitClientActions actions;
  m_client.OnUnreachable(aSearch, m_context.m_loop.Now(), actions);
  CarryOut(actions);
}

bool
PermitCoordinator::TryRetry()
{
  return m_retries.TryRetry(m_context.m_loop.Now());
}

void
PermitCoordinator::OnPeerMessage(const DaemonId& aFrom,
                                 const proto::PeerMessage& aMessage)
{
  PermitClientActions actions;
  const Time now = m_context.m_loop.Now();
  if (aMessage.has_permit_grant()) {
    m_client.OnGrant(aFrom, aMessage.permit_grant(), now, actions);
  } else if (aMessage.has_permit_deny()) {
    m_client.OnDeny(aFrom, aMessage.permit_deny(), now, actions);
  }
  CarryOut(actions);
}

void
PermitCoordinator::OnUpstreamState(const proto::UpstreamState& aState)
{
  for (auto& [service, placement] : m_placements) {
    placement.m_placement.OnUpstreamState(aState);
  }
}

void
PermitCoordinator::OnConfigChanged()
{
  RebuildPlacements();
}

void
PermitCoordinator::OnFleetChanged()
{
  RebuildPlacements();
  UpdateOwners();
}

// Keeps the upstream states of services that are still in the preset.
void
PermitCoordinator::RebuildPlacements()
{
  const FleetView* fleet = m_context.m_fleet->Peek();
  const ConfigFeed* feed = m_context.m_config->Peek();
  if (fleet == nullptr || feed == nullptr || feed->Current() == nullptr) {
    return;
  }
  const proto::FleetConfig& config = *feed->Current();
  const proto::Preset* preset = ActivePreset(config);
  std::map<ServiceId, ServicePlacement> placements;
  for (const proto::PresetService& service : preset->services()) {
    const ServiceId id(service.service());
    const auto known = m_placements.find(id);
    ServicePlacement placement =
      known != m_placements.end()
        ? std::move(known->second)
        : ServicePlacement{ "",
                            ChatPlacement(m_context.m_settings.m_zone,
                                          m_context.m_settings.m_region) };
    placement.m_model = service.model();
    std::vector<PlacementUpstream> upstreams;
    for (const auto& [upstreamId, vm] : fleet->Upstreams()) {
      if (vm.model() != service.model()) {
        continue;
      }
      PlacementUpstream upstream{ upstreamId,
                                  ZoneId(vm.zone()),
                                  RegionId(vm.region()) };
      upstream.m_leaving = vm.leaving();
      upstream.m_zoneOut = IsZoneOut(config, vm.zone());
      upstreams.push_back(std::move(upstream));
    }
    placement.m_placement.SetUpstreams(std::move(upstreams));
    placements.emplace(id, std::move(placement));
  }
  m_placements = std::move(placements);
}

// Reports upstreams whose owner has changed to the PermitClient.
void
PermitCoordinator::UpdateOwners()
{
  const FleetView* fleet = m_context.m_fleet->Peek();
  if (fleet == nullptr) {
    return;
  }
  PermitClientActions actions;
  for (const auto& [upstream, vm] : fleet->Upstreams()) {
    const DaemonId owner = fleet->OwnerOfUpstream(vm);
    const auto [known, added] = m_owners.emplace(upstream, owner);
    if (added || known->second == owner) {
      continue;
    }
    known->second = owner;
    m_client.OnOwnerChanged(upstream, owner, m_context.m_loop.Now(), actions);
  }
  CarryOut(actions);
}

std::optional<double>
PermitCoordinator::MeanLoadOf(const std::string& aModel) const
{
  for (const auto& [service, placement] : m_placements) {
    if (placement.m_model == aModel) {
      return placement.m_placement.MeanLoad();
    }
  }
  return std::nullopt;
}

void
PermitCoordinator::CarryOut(const PermitClientActions& aActions)
{
  for (const PermitClientAction& action : aActions) {
    if (const auto* send = std::get_if<SendToOwner>(&action)) {
      m_context.m_peers->Call([&](PeerLink& aPeers) {
        aPeers.Send(send->m_owner, send->m_message, send->m_urgent);
      });
    } else if (const auto* ready = std::get_if<PermitReady>(&action)) {
      DeliverPermit(*ready);
    } else if (const auto* refused = std::get_if<PermitRefused>(&action)) {
      DeliverResult(refused->m_request,
                    { refused->m_code, refused->m_retryAfter, {}, {} });
    }
  }
}

// Completes the search with the address of its upstream; continues the search
// if the address is unknown.
void
PermitCoordinator::DeliverPermit(const PermitReady& aReady)
{
  if (aReady.m_selfPermitted) {
    ++m_context.m_metrics.Counter("permits_without_owner_total");
  }
  const FleetView* fleet = m_context.m_fleet->Peek();
  std::optional<net::Endpoint> endpoint;
  if (fleet != nullptr && fleet->Upstreams().contains(aReady.m_upstream)) {
    endpoint =
      net::Endpoint::Parse(fleet->Upstreams().at(aReady.m_upstream).address());
  }
  if (!endpoint) {
    OnUpstreamUnreachable(aReady.m_request);
    return;
  }
  DeliverResult(
    aReady.m_request,
    { ResultCode::Ok, Duration::zero(), aReady.m_upstream, *endpoint });
}

// After Ok the search is kept until ReleasePermit.
void
PermitCoordinator::DeliverResult(RequestId aSearch, const PermitResult& aResult)
{
  const auto found = m_searches.find(aSearch);
  if (found == m_searches.end()) {
    return;
  }
  const DoneCallback done = found->second;
  if (aResult.m_code != ResultCode::Ok) {
    m_searches.erase(found);
  }
  m_context.m_loop.After(Duration::zero(), [done, aResult] { done(aResult); });
}

} // namespace walnutwing
