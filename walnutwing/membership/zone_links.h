#ifndef WALNUTWING_MEMBERSHIP_ZONE_LINKS_H_
#define WALNUTWING_MEMBERSHIP_ZONE_LINKS_H_

// Which other zones the own zone reaches, from the words of its relays. A zone
// is unreachable while every relay says so. "Unreachable" lapses unless it is
// repeated; without a word a zone is taken to be reachable.

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

  // True when the word is newer than what was known and changes or prolongs it.
  bool Merge(const proto::ZoneLink& aLink, Time aNow);

  const proto::ZoneLink* Find(const ZoneId& aZone,
                              const DaemonId& aReporter) const;

  // aRelays are the own zone's relays in this view.
  bool Reachable(const ZoneId& aZone,
                 const std::vector<DaemonId>& aRelays,
                 Time aNow) const;

  // Frozen time does not count against a word's life.
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
