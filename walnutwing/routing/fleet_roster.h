#ifndef WALNUTWING_ROUTING_FLEET_ROSTER_H_
#define WALNUTWING_ROUTING_FLEET_ROSTER_H_

// The daemons of the fleet, from the announcements that each of them publishes
// periodically. Fleet-wide budgets are divided by their number; a daemon that
// has left counts until its announcement expires, so shares are too small
// rather than too large. The age of an announcement is measured with the local
// monotonic clock from its first read, because wall clocks of different VMs
// differ and can be set forward or back.

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
  std::string m_address; // "IP:port" for datagrams from other daemons
  double m_weight = 1;   // processor share of its VM
  // Differs from one announcement of a daemon to the next.
  std::uint64_t m_announcementId = 0;
};

class FleetRoster
{
public:
  // aLifetime: how long an announcement is valid after its first read.
  explicit FleetRoster(Duration aLifetime)
    : m_lifetime(aLifetime)
  {
  }

  // An announcement was read. Reading the same one again (the same
  // m_announcementId) does not extend its lifetime.
  void OnAnnounced(const RosterMember& aMember, Time aNow);
  void OnDropped(const DaemonId& aName) { m_members.erase(aName); }

  // Members whose announcement has not expired, sorted by name.
  std::vector<RosterMember> Alive(Time aNow) const;

private:
  struct Announcement
  {
    RosterMember m_member;
    Time m_firstReadAt; // of its latest announcement
  };

  Duration m_lifetime;
  std::map<DaemonId, Announcement> m_members;
};

// The members of a zone in the order in which they serve as its hub: larger
// weight first, then by a hash of the name. All daemons that know the same
// members get the same order.
std::vector<RosterMember>
RankHubs(const std::vector<RosterMember>& aMembers, const ZoneId& aZone);

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_FLEET_ROSTER_H_
