#include "walnutwing/routing/fleet_roster.h"

#include <algorithm>
#include <tuple>

#include "walnutwing/placement/rendezvous.h"

namespace walnutwing {

void
FleetRoster::OnAnnounced(const RosterMember& aMember)
{
  RosterMember& known = m_members[aMember.m_name];
  if (aMember.m_announcedAt >= known.m_announcedAt) {
    known = aMember;
  }
}

std::vector<RosterMember>
FleetRoster::Alive(WallTime aNow) const
{
  std::vector<RosterMember> alive;
  for (const auto& [name, member] : m_members) {
    if (aNow - member.m_announcedAt < m_lifetime) {
      alive.push_back(member);
    }
  }
  return alive;
}

std::vector<RosterMember>
RankHubs(const std::vector<RosterMember>& aMembers, const ZoneId& aZone)
{
  std::vector<RosterMember> ranked;
  for (const RosterMember& member : aMembers) {
    if (member.m_zone == aZone) {
      ranked.push_back(member);
    }
  }
  const auto key = [](const RosterMember& aMember) {
    return std::tuple(
      -aMember.m_weight, StableHash(aMember.m_name.Value()), aMember.m_name);
  };
  std::sort(ranked.begin(),
            ranked.end(),
            [&](const RosterMember& aLeft, const RosterMember& aRight) {
              return key(aLeft) < key(aRight);
            });
  return ranked;
}

} // namespace walnutwing
