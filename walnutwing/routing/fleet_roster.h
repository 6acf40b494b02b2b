#ifndef WALNUTWING_ROUTING_FLEET_ROSTER_H_
#define WALNUTWING_ROUTING_FLEET_ROSTER_H_

// Which daemons there are, by what each announces of itself from time to time.
// Their number shares the fleet's budgets; a daemon that has left counts on for
// a while, which makes shares smaller and never larger. Ages are by the own
// monotonic clock, from when an announcement was first read: wall clocks differ
// and step.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"

namespace walnutwing {

struct RosterMember
{
  DaemonId m_name;
  ZoneId m_zone;
  std::string m_address; // "IP:port" for datagrams of other daemons
  double m_weight = 1;   // processor share of its VM
  std::uint64_t m_announcementId =
    0; // differs from one announcement to the next
};

class FleetRoster
{
public:
  // aLifetime: how long an announcement holds.
  explicit FleetRoster(Duration aLifetime)
    : m_lifetime(aLifetime)
  {
  }

  // An announcement was read; the same one may be read many times.
  void OnAnnounced(const RosterMember& aMember, Time aNow);
  void OnDropped(const DaemonId& aName) { m_members.erase(aName); }

  // Members whose announcement holds, in the order of their names.
  std::vector<RosterMember> Alive(Time aNow) const;

private:
  struct Announced
  {
    RosterMember m_member;
    Time m_firstReadAt; // of its last announcement
  };

  Duration m_lifetime;
  std::map<DaemonId, Announced> m_members;
};

// The members of a zone in the order in which they serve as its hub: the larger
// VM first, then by a hash that differs from zone to zone.
std::vector<RosterMember>
RankHubs(const std::vector<RosterMember>& aMembers, const ZoneId& aZone);

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_FLEET_ROSTER_H_
