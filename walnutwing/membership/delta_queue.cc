// A map ordered by urgency and age, and an index by subject into it. Sizes stay
// in the hundreds: one delta for each subject at most.

#include "walnutwing/membership/delta_queue.h"

#include <algorithm>
#include <utility>

namespace walnutwing {

void
DeltaQueue::Put(DeltaKey aKey,
                DeltaUrgency aUrgency,
                std::uint32_t aLocalSends,
                const std::vector<ZoneId>& aZones,
                std::uint32_t aZoneSends)
{
  std::map<ZoneId, std::uint32_t> sends;
  if (aLocalSends > 0) {
    sends[ZoneId()] = aLocalSends;
  }
  for (const ZoneId& zone : aZones) {
    if (aZoneSends > 0) {
      sends[zone] = aZoneSends;
    }
  }
  if (sends.empty()) {
    return;
  }
  Place place{ aUrgency, m_nextNumber };
  const auto found = m_places.find(aKey);
  if (found != m_places.end()) {
    for (const auto& [zone, left] : m_deltas[found->second].m_sends) {
      sends[zone] = std::max(sends[zone], left);
    }
    if (found->second.m_urgency <= aUrgency) {
      place = found->second;
    }
    Remove(aKey);
  }
  ++m_nextNumber;
  m_places[aKey] = place;
  m_deltas[place] = Delta{ std::move(aKey), std::move(sends) };
}

void
DeltaQueue::Remove(const DeltaKey& aKey)
{
  const auto found = m_places.find(aKey);
  if (found == m_places.end()) {
    return;
  }
  m_deltas.erase(found->second);
  m_places.erase(found);
}

bool
DeltaQueue::ChangeWaits(const ZoneId& aZone) const
{
  return std::any_of(
    m_deltas.begin(), m_deltas.end(), [&aZone](const auto& aDelta) {
      return aDelta.first.m_urgency == DeltaUrgency::Change &&
             aDelta.second.m_sends.contains(aZone);
    });
}

} // namespace walnutwing
