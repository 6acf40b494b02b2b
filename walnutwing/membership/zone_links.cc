// Soft state: only "unreachable" reports are repeated, and they expire. If a
// "reachable" report is lost, the zone counts as reachable again when the last
// "unreachable" report expires.

#include "walnutwing/membership/zone_links.h"

#include <algorithm>

namespace walnutwing {

bool
ZoneLinks::Merge(const proto::ZoneLink& aLink, Time aNow)
{
  Report& report = m_reports[ZoneId(aLink.zone())][DaemonId(aLink.reporter())];
  if (aLink.sequence() <= report.m_link.sequence()) {
    return false;
  }
  report = Report{ aLink, aNow };
  return true;
}

const proto::ZoneLink*
ZoneLinks::Find(const ZoneId& aZone, const DaemonId& aReporter) const
{
  const auto zone = m_reports.find(aZone);
  if (zone == m_reports.end()) {
    return nullptr;
  }
  const auto report = zone->second.find(aReporter);
  return report == zone->second.end() ? nullptr : &report->second.m_link;
}

bool
ZoneLinks::Reachable(const ZoneId& aZone,
                     const std::vector<DaemonId>& aRelays,
                     Time aNow) const
{
  const auto zone = m_reports.find(aZone);
  if (zone == m_reports.end() || aRelays.empty()) {
    return true;
  }
  return std::any_of(
    aRelays.begin(), aRelays.end(), [&](const DaemonId& aRelay) {
      const auto report = zone->second.find(aRelay);
      return report == zone->second.end() ||
             report->second.m_link.reachable() ||
             aNow - report->second.m_receivedAt > m_lifetime;
    });
}

void
ZoneLinks::ExtendLifetimes(Duration aPause)
{
  for (auto& [zone, reports] : m_reports) {
    for (auto& [reporter, report] : reports) {
      report.m_receivedAt += aPause;
    }
  }
}

} // namespace walnutwing
