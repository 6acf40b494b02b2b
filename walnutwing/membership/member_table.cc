// The updates about one daemon are totally ordered, and merging keeps the
// largest, so the result does not depend on the order in which updates arrive
// or on duplicates. Only the member itself raises its incarnation and
// refutation, so a running member can supersede any update about it.

#include "walnutwing/membership/member_table.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

#include "walnutwing/membership/stable_hash.h"

namespace walnutwing {
namespace {

using State = proto::MemberState;

int
RankOf(State::Status aStatus)
{
  switch (aStatus) {
    case State::ALIVE:
      return 0;
    case State::SUSPECT:
      return 1;
    case State::LEAVING:
      return 2;
    default:
      return 3;
  }
}

auto
OrderOf(const State& aState)
{
  return std::make_tuple(
    aState.incarnation(), aState.refutation(), RankOf(aState.status()));
}

bool
IsRunning(const State& aState)
{
  return aState.status() == State::ALIVE || aState.status() == State::SUSPECT;
}

// Whether the member died, or restarted without having announced that it
// leaves.
bool
IsLoss(const State& aBefore, const State& aAfter)
{
  if (aBefore.incarnation() == 0 || !IsRunning(aBefore)) {
    return false;
  }
  return aAfter.status() == State::DEAD ||
         aAfter.incarnation() != aBefore.incarnation();
}

} // namespace

bool
Supersedes(const State& aUpdate, const State& aKnown)
{
  return OrderOf(aUpdate) > OrderOf(aKnown);
}

MemberTable::MemberTable(FlapDamperOptions aFlap, std::uint32_t aRelaysPerZone)
  : m_flap(aFlap)
  , m_relaysPerZone(aRelaysPerZone)
{
}

Member*
MemberTable::Find(const DaemonId& aDaemon)
{
  const auto found = m_members.find(aDaemon);
  return found == m_members.end() ? nullptr : &found->second;
}

const Member*
MemberTable::Find(const DaemonId& aDaemon) const
{
  const auto found = m_members.find(aDaemon);
  return found == m_members.end() ? nullptr : &found->second;
}

MergeResult
MemberTable::Merge(const State& aUpdate, Time aNow)
{
  const Member* known = Find(DaemonId(aUpdate.daemon()));
  if (known == nullptr) {
    if (aUpdate.zone().empty()) {
      return MergeResult::Nothing;
    }
    Set(aUpdate, aNow);
    return MergeResult::Changed;
  }
  State merged = known->m_state;
  const bool newer = Supersedes(aUpdate, merged);
  const bool newerVersion = aUpdate.config_version() > merged.config_version();
  if (!newer && !newerVersion) {
    return MergeResult::Nothing;
  }
  merged.set_config_version(
    std::max(aUpdate.config_version(), merged.config_version()));
  if (newer) {
    merged.set_incarnation(aUpdate.incarnation());
    merged.set_refutation(aUpdate.refutation());
    merged.set_status(aUpdate.status());
  }
  if (newer && !aUpdate.zone().empty()) {
    merged.set_zone(aUpdate.zone());
    merged.set_region(aUpdate.region());
    merged.set_peer_address(aUpdate.peer_address());
  }
  Set(merged, aNow);
  return newer ? MergeResult::Changed : MergeResult::VersionOnly;
}

Member&
MemberTable::Set(const State& aState, Time aNow)
{
  Member& member = m_members[DaemonId(aState.daemon())];
  const bool statusChanged =
    aState.status() != member.m_state.status() ||
    aState.incarnation() != member.m_state.incarnation() ||
    member.m_state.daemon().empty();
  if (IsLoss(member.m_state, aState)) {
    member.m_damper.OnLoss(m_flap, aNow);
  }
  if (statusChanged) {
    member.m_statusChangedAt = aNow;
  }
  if (aState.status() != State::SUSPECT) {
    member.m_suspectUntil.reset();
    member.m_suspectedLocally = false;
  }
  member.m_state = aState;
  UpdateDigest(member);
  ++m_version;
  return member;
}

void
MemberTable::SetStatus(Member& aMember, State::Status aStatus, Time aNow)
{
  State state = aMember.m_state;
  state.set_status(aStatus);
  Set(state, aNow);
}

void
MemberTable::UpdateDigest(Member& aMember)
{
  const std::string& daemon = aMember.m_state.daemon();
  m_digest.Toggle(daemon, aMember.m_digestHash);
  aMember.m_digestHash = ViewDigest::HashOf(aMember.m_state);
  m_digest.Toggle(daemon, aMember.m_digestHash);
}

void
MemberTable::Remove(const DaemonId& aDaemon)
{
  const auto found = m_members.find(aDaemon);
  if (found == m_members.end()) {
    return;
  }
  m_digest.Toggle(aDaemon.Value(), found->second.m_digestHash);
  m_members.erase(found);
  ++m_version;
}

const std::vector<ZoneId>&
MemberTable::Zones() const
{
  RefreshZonesAndRelays();
  return m_zones;
}

const std::vector<DaemonId>&
MemberTable::RelaysOf(const ZoneId& aZone) const
{
  RefreshZonesAndRelays();
  static const std::vector<DaemonId> kNone;
  const auto found = m_relays.find(aZone);
  return found == m_relays.end() ? kNone : found->second;
}

// Recomputes the zones and relays if the table has changed.
void
MemberTable::RefreshZonesAndRelays() const
{
  if (m_zonesAndRelaysVersion == m_version) {
    return;
  }
  m_zonesAndRelaysVersion = m_version;
  std::map<std::string_view, std::vector<std::pair<std::uint64_t, DaemonId>>>
    ranked;
  for (const auto& [daemon, member] : m_members) {
    const std::string& zone = member.m_state.zone();
    if (member.m_state.status() == State::DEAD) {
      continue;
    }
    auto& candidates = ranked[zone];
    if (!IsRunning(member.m_state) || member.m_listedLeaving) {
      continue;
    }
    candidates.emplace_back(StableHash(daemon.Value(), StableHash(zone)),
                            daemon);
  }
  m_zones.clear();
  m_relays.clear();
  for (auto& [zone, members] : ranked) {
    m_zones.emplace_back(std::string(zone));
    std::sort(members.rbegin(), members.rend());
    members.resize(std::min<std::size_t>(members.size(), m_relaysPerZone));
    for (auto& [hash, daemon] : members) {
      m_relays[m_zones.back()].push_back(std::move(daemon));
    }
  }
}

} // namespace walnutwing
