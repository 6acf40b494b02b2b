// Soft state, as in routing protocols that repeat what is out of order only: a
// lost "reachable again" heals when the old word lapses.

#include "walnutwing/membership/zone_links.h"

#include <algorithm>

namespace walnutwing {

bool
ZoneLinks::Take(const proto::ZoneLink& aLink, Time aNow)
{
  Word& word = m_words[ZoneId(aLink.zone())][DaemonId(aLink.reporter())];
  if (aLink.sequence() <= word.m_link.sequence()) {
    return false;
  }
  word = Word{ aLink, aNow };
  return true;
}

const proto::ZoneLink*
ZoneLinks::Find(const ZoneId& aZone, const DaemonId& aReporter) const
{
  const auto zone = m_words.find(aZone);
  if (zone == m_words.end()) {
    return nullptr;
  }
  const auto word = zone->second.find(aReporter);
  return word == zone->second.end() ? nullptr : &word->second.m_link;
}

bool
ZoneLinks::Reachable(const ZoneId& aZone,
                     const std::vector<DaemonId>& aRelays,
                     Time aNow) const
{
  const auto zone = m_words.find(aZone);
  if (zone == m_words.end() || aRelays.empty()) {
    return true;
  }
  return std::any_of(
    aRelays.begin(), aRelays.end(), [&](const DaemonId& aRelay) {
      const auto word = zone->second.find(aRelay);
      return word == zone->second.end() || word->second.m_link.reachable() ||
             aNow - word->second.m_heard > m_lifetime;
    });
}

void
ZoneLinks::Prolong(Duration aPause)
{
  for (auto& [zone, words] : m_words) {
    for (auto& [reporter, word] : words) {
      word.m_heard += aPause;
    }
  }
}

} // namespace walnutwing
