#ifndef WALNUTWING_MEMBERSHIP_ZONE_LINKS_H_
#define WALNUTWING_MEMBERSHIP_ZONE_LINKS_H_

// Which other zones can be reached from the own zone, according to the reports
// of its relays. A zone is unreachable while every relay reports it as such. An
// "unreachable" report expires unless it is repeated; a zone without reports
// counts as reachable.

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "peer.pb.h"
#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"

namespace walnutwing {

class ZoneLinks
{
public:
  explicit ZoneLinks(Duration aLifetime)
    : m_lifetime(aLifetime)
  {
  }

  // Stores a report and returns true if its sequence is larger than that of the
  // last one of the same reporter and zone.
  bool Merge(const proto::ZoneLink& aLink, Time aNow);

  // The last report of aReporter on aZone, expired or not; null if there is
  // none.
  const proto::ZoneLink* Find(const ZoneId& aZone,
                              const DaemonId& aReporter) const;

  // aRelays are the own zone's relays in this view.
  bool Reachable(const ZoneId& aZone,
                 const std::vector<DaemonId>& aRelays,
                 Time aNow) const;

  // Extends the lifetime of all reports by the duration of a pause of this
  // process, in which it could not receive newer ones.
  void ExtendLifetimes(Duration aPause);

private:
  struct Report
  {
    proto::ZoneLink m_link;
    Time m_receivedAt;
  };

  Duration m_lifetime;
  std::map<ZoneId, std::map<DaemonId, Report>> m_reports;
};

} // namespace walnutwing

#endif // WALNUTWING_MEMBERSHIP_ZONE_LINKS_H_
