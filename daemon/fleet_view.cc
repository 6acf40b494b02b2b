// Carries out the actions of Membership and notifies the components that depend
// on the view once for each batch of actions that changed it.

#include "daemon/fleet_view.h"

#include <utility>
#include <variant>

#include "daemon/config_feed.h"
#include "daemon/log.h"
#include "daemon/owner_host.h"
#include "daemon/peer_link.h"
#include "daemon/permit_coordinator.h"
#include "walnutwing/placement/rendezvous.h"

namespace walnutwing {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr Duration kVmListInterval = std::chrono::seconds(2);

MembershipSelf
SelfOf(const DaemonSettings& aSettings, std::uint64_t aIncarnation)
{
  return { aSettings.m_id,
           aSettings.m_zone,
           aSettings.m_region,
           aSettings.m_peerListen,
           aIncarnation };
}

} // namespace

FleetView::FleetView(Context& aContext)
  : m_context(aContext)
  , m_membership(std::make_unique<Membership>(
      MembershipOptions(),
      SelfOf(aContext.m_settings, aContext.NextIncarnation()),
      aContext.m_settings.m_peerSeeds,
      aContext.m_budget,
      std::mt19937_64(aContext.m_random()),
      aContext.m_loop.Now()))
  , m_tickTimer(aContext.m_loop)
  , m_pollTimer(aContext.m_loop)
{
  RefreshMembers();
  m_tickTimer.Every(kTickInterval, [this] {
    m_context.m_fleet->Call([](FleetView& aSelf) {
      MembershipActions actions;
      aSelf.m_membership->OnTick(aSelf.m_context.m_loop.Now(), actions);
      aSelf.CarryOut(actions);
    });
  });
  m_pollTimer.After(Duration::zero(), [this] { PollVmList(); });
}

void
FleetView::PollVmList()
{
  m_vmListCall = m_context.m_platform.ListVms(
    [this](const std::optional<proto::VmList>& aList) {
      m_context.m_fleet->Call([&](FleetView& aSelf) {
        if (aList) {
          aSelf.OnVmList(*aList);
        }
        aSelf.m_pollTimer.After(kVmListInterval,
                                [&aSelf] { aSelf.PollVmList(); });
      });
    });
}

void
FleetView::OnVmList(const proto::VmList& aList)
{
  m_hasVmList = true;
  std::map<UpstreamId, proto::VmEntry> upstreams;
  for (const proto::VmEntry& vm : aList.vms()) {
    if (vm.kind() == proto::VmEntry::ENTRY) {
      continue;
    }
    upstreams[UpstreamId(vm.id())] = vm;
  }
  m_upstreams = std::move(upstreams);
  MembershipActions actions;
  m_membership->OnVmList(aList, m_context.m_loop.Now(), actions);
  CarryOut(actions);
  NotifyComponents();
}

void
FleetView::OnPeerMessage(const DaemonId& aFrom,
                         const proto::PeerMessage& aMessage)
{
  MembershipActions actions;
  m_membership->OnMessage(aFrom, aMessage, m_context.m_loop.Now(), actions);
  CarryOut(actions);
}

void
FleetView::OnStop()
{
  MembershipActions actions;
  m_membership->OnStop(m_context.m_loop.Now(), actions);
  CarryOut(actions);
}

void
FleetView::SetUpstreamState(const proto::UpstreamState& aState)
{
  m_membership->SetUpstreamState(aState, m_context.m_loop.Now());
  m_context.m_permits->Call(
    [&](PermitCoordinator& aPermits) { aPermits.OnUpstreamState(aState); });
}

void
FleetView::CarryOut(const MembershipActions& aActions)
{
  bool changed = false;
  std::vector<DaemonId> gone;
  for (const MembershipAction& action : aActions) {
    if (const auto* send = std::get_if<SendToPeer>(&action)) {
      m_context.m_peers->Call([&](PeerLink& aPeers) {
        aPeers.SendCharged(send->m_address, send->m_messages);
      });
    } else if (const auto* up = std::get_if<MemberUp>(&action)) {
      changed = true;
      LogEvent(LogLevel::Info,
               "member_up",
               { { "daemon", up->m_member.m_daemon.Value() } });
    } else if (const auto* down = std::get_if<MemberDown>(&action)) {
      changed = true;
      gone.push_back(down->m_daemon);
      LogEvent(LogLevel::Info,
               "member_down",
               { { "daemon", down->m_daemon.Value() } });
    } else if (const auto* leaving = std::get_if<MemberLeaving>(&action)) {
      changed = true;
      LogEvent(LogLevel::Info,
               "member_leaving",
               { { "daemon", leaving->m_daemon.Value() } });
    } else if (const auto* upstream = std::get_if<UpstreamChanged>(&action)) {
      m_context.m_permits->Call([&](PermitCoordinator& aPermits) {
        aPermits.OnUpstreamState(upstream->m_state);
      });
    }
  }
  if (!changed) {
    return;
  }
  RefreshMembers();
  for (const DaemonId& daemon : gone) {
    m_context.m_owners->Call(
      [&](OwnerHost& aOwners) { aOwners.OnDaemonGone(daemon); });
  }
  NotifyComponents();
}

void
FleetView::RefreshMembers()
{
  m_addresses.clear();
  m_daemonsUp.clear();
  for (const MemberView& member : m_membership->View()) {
    m_addresses[member.m_daemon] = member.m_peerAddress;
    if (member.m_daemon != m_context.m_settings.m_id) {
      m_context.m_peers->Call(
        [&](PeerLink& aPeers) { aPeers.Connect(member.m_peerAddress); });
    }
    if (member.m_up || member.m_daemon == m_context.m_settings.m_id) {
      m_daemonsUp[member.m_zone].push_back(member.m_daemon);
    }
  }
}

void
FleetView::NotifyComponents()
{
  m_context.m_permits->Call(
    [](PermitCoordinator& aPermits) { aPermits.OnFleetChanged(); });
  m_context.m_owners->Call(
    [](OwnerHost& aOwners) { aOwners.OnFleetChanged(); });
  m_context.m_config->Call(
    [](ConfigFeed& aConfig) { aConfig.OnFleetChanged(); });
}

std::string
FleetView::AddressOf(const DaemonId& aDaemon) const
{
  const auto found = m_addresses.find(aDaemon);
  return found == m_addresses.end() ? "" : found->second;
}

std::vector<DaemonId>
FleetView::DaemonsOf(const ZoneId& aZone) const
{
  const auto found = m_daemonsUp.find(aZone);
  return found == m_daemonsUp.end() ? std::vector<DaemonId>() : found->second;
}

std::vector<DaemonId>
FleetView::PeersUp() const
{
  std::vector<DaemonId> peers;
  for (const auto& [zone, daemons] : m_daemonsUp) {
    for (const DaemonId& daemon : daemons) {
      if (daemon != m_context.m_settings.m_id) {
        peers.push_back(daemon);
      }
    }
  }
  return peers;
}

DaemonId
FleetView::OwnerOfUpstream(const proto::VmEntry& aUpstream) const
{
  return OwnerOf(UpstreamId(aUpstream.id()),
                 DaemonsOf(ZoneId(aUpstream.zone())));
}

const proto::UpstreamState*
FleetView::StateOf(const UpstreamId& aUpstream) const
{
  const auto& states = m_membership->Upstreams();
  const auto found = states.find(aUpstream);
  return found == states.end() ? nullptr : &found->second;
}

} // namespace walnutwing
