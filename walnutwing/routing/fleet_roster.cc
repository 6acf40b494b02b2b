#include "walnutwing/routing/fleet_roster.h"

#include <algorithm>
#include <tuple>

#include "walnutwing/placement/rendezvous.h"

namespace walnutwing {

void
FleetRoster::OnAnnounced(const RosterMember& aMember, Time aNow)
{
  const auto [entry, added] = m_members.try_emplace(aMember.m_name);
  Announcement& announcement = entry->second;
  if (added ||
      announcement.m_member.m_announcementId != aMember.m_announcementId) {
    announcement = { aMember, aNow };
  }
}

std::vector<RosterMember>
FleetRoster::Alive(Time aNow) const
{
  std::vector<RosterMember> alive;
  for (const auto& [name, announcement] : m_members) {
    if (aNow - announcement.m_firstReadAt < m_lifetime) {
      alive.push_back(announcement.m_member);
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
