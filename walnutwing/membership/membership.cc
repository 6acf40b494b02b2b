// Events, the platform's list, and the actions for the driver. Each event may
// change the member table. Announce then compares each member's state with what
// was last reported to the driver, so that no code that changes the table has
// to report the change itself.

#include "walnutwing/membership/membership.h"

#include <algorithm>
#include <set>
#include <utility>

#include "walnutwing/membership/membership_impl.h"

namespace walnutwing {
namespace {

// A longer gap between ticks, in probe periods, is a pause of this process.
constexpr int kPauseThresholdPeriods = 2;

MemberStatus
StatusOf(proto::MemberState::Status aStatus)
{
  switch (aStatus) {
    case proto::MemberState::ALIVE:
      return MemberStatus::Alive;
    case proto::MemberState::SUSPECT:
      return MemberStatus::Suspect;
    case proto::MemberState::LEAVING:
      return MemberStatus::Leaving;
    default:
      return MemberStatus::Dead;
  }
}

FlapDamperOptions
FlapOptionsOf(const MembershipOptions& aOptions)
{
  return { aOptions.m_flapHalfLife,
           aOptions.m_flapSuppressThreshold,
           aOptions.m_flapReuseThreshold };
}

} // namespace

std::string_view
NameOf(MemberStatus aStatus)
{
  switch (aStatus) {
    case MemberStatus::Alive:
      return "alive";
    case MemberStatus::Suspect:
      return "suspect";
    case MemberStatus::Dead:
      return "dead";
    case MemberStatus::Leaving:
      return "leaving";
  }
  return "unknown";
}

Membership::Impl::Impl(MembershipOptions aOptions,
                       MembershipSelf aSelf,
                       std::vector<std::string> aSeeds,
                       ByteBudget& aBudget,
                       std::mt19937_64 aRandom,
                       Time aNow)
  : m_options(aOptions)
  , m_self(std::move(aSelf))
  , m_seeds(std::move(aSeeds))
  , m_budget(aBudget)
  , m_random(aRandom)
  , m_now(aNow)
  , m_startedAt(aNow)
  , m_lastTick(aNow)
  , m_table(FlapOptionsOf(aOptions), aOptions.m_relaysPerZone)
  , m_links(aOptions.m_linkLifetime)
  , m_linkSequence(m_self.m_incarnation)
  , m_nextSuspicionCheck(aNow)
  , m_nextContact(aNow)
  , m_contactDelay(aOptions.m_probePeriod)
  , m_nextGossip(aNow)
  , m_nextSummary(aNow)
  , m_nextSync(aNow)
  , m_nextAnnounce(aNow)
{
  State state;
  state.set_daemon(m_self.m_daemon.Value());
  state.set_incarnation(m_self.m_incarnation);
  state.set_zone(m_self.m_zone.Value());
  state.set_region(m_self.m_region.Value());
  state.set_peer_address(m_self.m_peerAddress);
  m_table.Set(state, aNow);
  QueueMember(state);
  // Random offsets, so that daemons that start together don't ping in step.
  const auto randomOffset = [this](Duration aPeriod) {
    return Duration(static_cast<std::int64_t>(
      m_random() % static_cast<std::uint64_t>(aPeriod.count())));
  };
  m_nextProbe = aNow + randomOffset(m_options.m_probePeriod);
  m_nextZoneProbe = aNow + randomOffset(m_options.m_zoneProbePeriod);
}

// Sets the time to that of an event. After a pause of this process, replies
// that arrived during the pause have not been handled yet. So pings in flight
// are dropped without a failure, and the pause does not count against suspects
// and link reports.
void
Membership::Impl::AdvanceTime(Time aNow)
{
  const Duration gap = aNow - m_lastTick;
  m_now = aNow;
  if (gap <= kPauseThresholdPeriods * m_options.m_probePeriod) {
    return;
  }
  ++m_counters.m_pauses;
  m_lastTick = aNow;
  m_probes.clear();
  m_links.ExtendLifetimes(gap);
  for (auto& [zone, contact] : m_zoneContacts) {
    contact.m_pending = false;
  }
  for (auto& [daemon, member] : m_table.All()) {
    if (member.m_suspectUntil.has_value()) {
      *member.m_suspectUntil += gap;
    }
  }
}

void
Membership::Impl::OnTick(Time aNow, MembershipActions& aActions)
{
  AdvanceTime(aNow);
  m_lastTick = aNow;
  TickProbes(aActions);
  TickGossip(aActions);
  if (aNow >= m_nextAnnounce) {
    m_nextAnnounce = aNow + m_options.m_probePeriod;
    // Damping, the grace period and links change without a new table version.
    m_announcedVersion = 0;
    ForgetMembers(aNow);
  }
  Announce(aActions);
}

bool
Membership::Impl::OnMessage(const DaemonId& aFrom,
                            const proto::PeerMessage& aMessage,
                            Time aNow,
                            MembershipActions& aActions)
{
  using Kind = proto::PeerMessage::MessageCase;
  AdvanceTime(aNow);
  switch (aMessage.message_case()) {
    case Kind::kPing:
      OnPing(aFrom, aMessage.ping(), aActions);
      break;
    case Kind::kAck:
      OnAck(aFrom, aMessage.ack(), aActions);
      break;
    case Kind::kPingRequest:
      OnPingRequest(aFrom, aMessage.ping_request(), aActions);
      break;
    case Kind::kGossip:
      OnGossip(aFrom, aMessage.gossip(), aActions);
      break;
    default:
      return false;
  }
  Announce(aActions);
  return true;
}

void
Membership::Impl::OnVmList(const proto::VmList& aList,
                           Time aNow,
                           MembershipActions& aActions)
{
  AdvanceTime(aNow);
  ClearUnlistedVms(aList);
  for (const proto::VmEntry& vm : aList.vms()) {
    if (vm.kind() == proto::VmEntry::ENTRY &&
        vm.id() != m_self.m_daemon.Value()) {
      AddListedVm(vm, aNow);
    }
  }
  m_announcedVersion = 0;
  Announce(aActions);
}

void
Membership::Impl::AddListedVm(const proto::VmEntry& aVm, Time aNow)
{
  Member* member = m_table.Find(DaemonId(aVm.id()));
  const bool onlyListed =
    member != nullptr && member->m_state.incarnation() == 0;
  const bool addressChanged =
    onlyListed && member->m_state.peer_address() != aVm.peer_address();
  if (member == nullptr || addressChanged) {
    State state;
    state.set_daemon(aVm.id());
    state.set_zone(aVm.zone());
    state.set_region(aVm.region());
    state.set_peer_address(aVm.peer_address());
    member = &m_table.Set(state, aNow);
  }
  member->m_listed = true;
  member->m_listedLeaving = aVm.leaving();
}

// Records which members are no longer on the list. They stay members while
// their peers hear from them.
void
Membership::Impl::ClearUnlistedVms(const proto::VmList& aList)
{
  std::set<std::string> listed;
  for (const proto::VmEntry& vm : aList.vms()) {
    listed.insert(vm.id());
  }
  for (auto& [daemon, member] : m_table.All()) {
    if (listed.contains(daemon.Value())) {
      continue;
    }
    member.m_listed = false;
    member.m_listedLeaving = false;
  }
}

// Removes unlisted members that were never heard from or have been dead for
// m_forgetAfter. A dead member is kept while it is listed, so that an outdated
// list does not revive it.
void
Membership::Impl::ForgetMembers(Time aNow)
{
  std::vector<DaemonId> forgotten;
  for (const auto& [daemon, member] : m_table.All()) {
    const bool neverHeard = member.m_state.incarnation() == 0;
    const bool longDead =
      member.m_state.status() == State::DEAD &&
      aNow - member.m_statusChangedAt > m_options.m_forgetAfter;
    const bool announced = member.m_announced == Announced::Up ||
                           member.m_announced == Announced::Leaving;
    if (!member.m_listed && !announced && (neverHeard || longDead)) {
      forgotten.push_back(daemon);
    }
  }
  for (const DaemonId& daemon : forgotten) {
    m_queue.Remove({ DeltaKind::Member, daemon.Value() });
    m_queue.Remove({ DeltaKind::MemberVersion, daemon.Value() });
    m_table.Remove(daemon);
  }
}

void
Membership::Impl::OnStop(Time aNow, MembershipActions& aActions)
{
  AdvanceTime(aNow);
  if (IsStopping()) {
    return;
  }
  m_table.SetStatus(Self(), State::LEAVING, aNow);
  QueueMember(Self().m_state);
  // Sends the change at once to random members of the own zone and to a relay
  // of each other zone, which spread it further.
  const std::vector<const Member*> members = ZoneMembers(true);
  for (std::uint32_t i = 0; i < m_options.m_retransmits && !members.empty();
       ++i) {
    SendChanges(ZoneId(), aActions);
  }
  for (const ZoneId& zone : OtherZones()) {
    const Member* relay = PickInZone(zone, true);
    if (relay == nullptr) {
      continue;
    }
    proto::Gossip gossip;
    *gossip.add_members() = MakeCompactUpdate(Self());
    Send(DaemonId(relay->m_state.daemon()),
         relay->m_state.peer_address(),
         zone,
         Traffic::Probe,
         {},
         std::move(gossip),
         aActions);
  }
}

void
Membership::Impl::SetConfigVersion(std::uint64_t aVersion)
{
  if (aVersion <= Self().m_state.config_version()) {
    return;
  }
  State state = Self().m_state;
  state.set_config_version(aVersion);
  m_table.Set(state, m_now);
  QueueForOwnZone(DeltaKind::MemberVersion,
                  m_self.m_daemon.Value(),
                  DeltaUrgency::Load,
                  m_options.m_loadRetransmits);
}

bool
Membership::Impl::IsRelay() const
{
  const std::vector<DaemonId>& relays = m_table.RelaysOf(m_self.m_zone);
  return std::find(relays.begin(), relays.end(), m_self.m_daemon) !=
         relays.end();
}

bool
Membership::Impl::IsStopping() const
{
  return Self().m_state.status() == State::LEAVING;
}

bool
Membership::Impl::ZoneReachable(const ZoneId& aZone) const
{
  return aZone == m_self.m_zone ||
         m_links.Reachable(aZone, m_table.RelaysOf(m_self.m_zone), m_now);
}

// Handles an update about this daemon. If it supersedes the daemon's own state,
// raises the daemon's refutation or incarnation, so that its state supersedes
// the update in turn.
void
Membership::Impl::Refute(const State& aUpdate)
{
  State state = Self().m_state;
  if (!Supersedes(aUpdate, state)) {
    return;
  }
  ++m_counters.m_refutations;
  if (aUpdate.incarnation() > state.incarnation()) {
    // An earlier process with this id had a larger incarnation, for example
    // because its clock was ahead.
    m_self.m_incarnation = aUpdate.incarnation() + 1;
    state.set_incarnation(m_self.m_incarnation);
    state.set_refutation(0);
  } else {
    state.set_refutation(aUpdate.refutation() + 1);
  }
  m_table.Set(state, m_now);
  QueueMember(state);
}

bool
Membership::Impl::ShouldBeUp(Member& aMember, bool aZoneReachable)
{
  const State& state = aMember.m_state;
  const bool running =
    state.status() == State::ALIVE || state.status() == State::SUSPECT;
  const bool known = state.incarnation() > 0 ||
                     m_now - m_startedAt < m_options.m_listGracePeriod;
  const bool damped =
    aMember.m_damper.IsDamped(FlapOptionsOf(m_options), m_now);
  return running && known && !damped && aZoneReachable &&
         !aMember.m_listedLeaving;
}

void
Membership::Impl::Announce(MembershipActions& aActions)
{
  if (m_announcedVersion == m_table.Version()) {
    return;
  }
  m_announcedVersion = m_table.Version();
  std::map<std::string, bool> reachable;
  for (auto& [daemon, member] : m_table.All()) {
    const std::string& zone = member.m_state.zone();
    auto known = reachable.find(zone);
    if (known == reachable.end()) {
      known = reachable.emplace(zone, ZoneReachable(ZoneId(zone))).first;
    }
    if (!IsSelf(daemon)) {
      AnnounceMember(member, known->second, aActions);
    }
  }
}

void
Membership::Impl::AnnounceMember(Member& aMember,
                                 bool aZoneReachable,
                                 MembershipActions& aActions)
{
  const State& state = aMember.m_state;
  const DaemonId daemon(state.daemon());
  const bool up = ShouldBeUp(aMember, aZoneReachable);
  const bool announced = aMember.m_announced == Announced::Up ||
                         aMember.m_announced == Announced::Leaving;
  const bool restarted = announced && aMember.m_announcedIncarnation != 0 &&
                         aMember.m_announcedIncarnation != state.incarnation();
  const bool leaving =
    state.status() == State::LEAVING || aMember.m_listedLeaving;
  const bool gone =
    !up && !(leaving && aZoneReachable && state.status() != State::DEAD);
  if (announced && (restarted || gone)) {
    aMember.m_announced = Announced::Down;
    aActions.emplace_back(MemberDown{ daemon });
  }
  aMember.m_announcedIncarnation = state.incarnation();
  if (up && aMember.m_announced != Announced::Up) {
    aMember.m_announced = Announced::Up;
    aActions.emplace_back(MemberUp{ ViewOf(aMember, aZoneReachable) });
  } else if (!up && !gone && aMember.m_announced == Announced::Up) {
    aMember.m_announced = Announced::Leaving;
    aActions.emplace_back(MemberLeaving{ daemon });
  }
}

MemberView
Membership::Impl::ViewOf(const Member& aMember, bool aZoneReachable) const
{
  const State& state = aMember.m_state;
  MemberView view;
  view.m_daemon = DaemonId(state.daemon());
  view.m_zone = ZoneId(state.zone());
  view.m_region = RegionId(state.region());
  view.m_peerAddress = state.peer_address();
  view.m_incarnation = state.incarnation();
  view.m_status = StatusOf(state.status());
  view.m_reachable = aZoneReachable;
  FlapDamper damper = aMember.m_damper;
  view.m_damped = damper.IsDamped(FlapOptionsOf(m_options), m_now);
  view.m_configVersion = state.config_version();
  view.m_up = IsSelf(view.m_daemon) ? !IsStopping()
                                    : aMember.m_announced == Announced::Up;
  return view;
}

std::vector<MemberView>
Membership::Impl::View() const
{
  std::vector<MemberView> views;
  for (const auto& [daemon, member] : m_table.All()) {
    views.push_back(
      ViewOf(member, ZoneReachable(ZoneId(member.m_state.zone()))));
  }
  return views;
}

// The public class forwards all calls to Impl.

Membership::Membership(MembershipOptions aOptions,
                       MembershipSelf aSelf,
                       std::vector<std::string> aSeeds,
                       ByteBudget& aBudget,
                       std::mt19937_64 aRandom,
                       Time aNow)
  : m_impl(std::make_unique<Impl>(aOptions,
                                  std::move(aSelf),
                                  std::move(aSeeds),
                                  aBudget,
                                  aRandom,
                                  aNow))
{
}

Membership::~Membership() = default;

void
Membership::OnTick(Time aNow, MembershipActions& aActions)
{
  m_impl->OnTick(aNow, aActions);
}

bool
Membership::OnMessage(const DaemonId& aFrom,
                      const proto::PeerMessage& aMessage,
                      Time aNow,
                      MembershipActions& aActions)
{
  return m_impl->OnMessage(aFrom, aMessage, aNow, aActions);
}

void
Membership::OnVmList(const proto::VmList& aList,
                     Time aNow,
                     MembershipActions& aActions)
{
  m_impl->OnVmList(aList, aNow, aActions);
}

void
Membership::OnStop(Time aNow, MembershipActions& aActions)
{
  m_impl->OnStop(aNow, aActions);
}

void
Membership::SetConfigVersion(std::uint64_t aVersion)
{
  m_impl->SetConfigVersion(aVersion);
}

void
Membership::SetUpstreamState(proto::UpstreamState aState, Time aNow)
{
  m_impl->SetUpstreamState(std::move(aState), aNow);
}

std::vector<MemberView>
Membership::View() const
{
  return m_impl->View();
}

std::vector<DaemonId>
Membership::RelaysOf(const ZoneId& aZone) const
{
  return m_impl->RelaysOf(aZone);
}

bool
Membership::ZoneReachable(const ZoneId& aZone) const
{
  return m_impl->ZoneReachable(aZone);
}

const std::map<UpstreamId, proto::UpstreamState>&
Membership::Upstreams() const
{
  return m_impl->Upstreams();
}

const std::map<ZoneId, proto::ZoneSummary>&
Membership::ZoneSummaries() const
{
  return m_impl->ZoneSummaries();
}

std::uint64_t
Membership::Incarnation() const
{
  return m_impl->Incarnation();
}

MembershipCounters
Membership::Counters() const
{
  return m_impl->Counters();
}

} // namespace walnutwing
