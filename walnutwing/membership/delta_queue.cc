// A map ordered by urgency and age, with an index by key. There is at most one
// delta per key, so sizes stay in the hundreds.

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
  Position position{ aUrgency, m_nextSequence };
  const auto found = m_positions.find(aKey);
  if (found != m_positions.end()) {
    for (const auto& [zone, left] : m_deltas[found->second].m_sendsLeft) {
      sends[zone] = std::max(sends[zone], left);
    }
    if (found->second.m_urgency <= aUrgency) {
      position = found->second;
    }
    Remove(aKey);
  }
  ++m_nextSequence;
  m_positions[aKey] = position;
  m_deltas[position] = Delta{ std::move(aKey), std::move(sends) };
}

void
DeltaQueue::Remove(const DeltaKey& aKey)
{
  const auto found = m_positions.find(aKey);
  if (found == m_positions.end()) {
    return;
  }
  m_deltas.erase(found->second);
  m_positions.erase(found);
}

bool
DeltaQueue::HasPendingChange(const ZoneId& aZone) const
{
  return std::any_of(
    m_deltas.begin(), m_deltas.end(), [&aZone](const auto& aDelta) {
      return aDelta.first.m_urgency == DeltaUrgency::Change &&
             aDelta.second.m_sendsLeft.contains(aZone);
    });
}

} // namespace walnutwing
