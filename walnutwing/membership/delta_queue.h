#ifndef WALNUTWING_MEMBERSHIP_DELTA_QUEUE_H_
#define WALNUTWING_MEMBERSHIP_DELTA_QUEUE_H_

// The deltas that are still to be sent, with the number of sends left to each
// zone. A delta is only a key (kind and subject, such as a member or an
// upstream); its content is read when it is sent, so that a subject that
// changes again while its delta is queued is sent once, with its latest state.

#include <compare>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "walnutwing/base/id.h"

namespace walnutwing {

enum class DeltaKind
{
  Member,
  ZoneLink,
  Upstream,
  MemberVersion,
  ZoneSummary,
};

// The sending order: the first enumerator goes first; within one urgency, the
// oldest delta.
enum class DeltaUrgency
{
  Change, // members, zone links, changes of upstreams other than of their load
  Load,   // load, configuration versions: soon replaced by newer values
};

struct DeltaKey
{
  DeltaKind m_kind = DeltaKind::Member;
  std::string m_subject;

  auto operator<=>(const DeltaKey&) const = default;
};

class DeltaQueue
{
public:
  // Queues a delta to be sent aLocalSends times within the own zone and
  // aZoneSends times to each of aZones. If it is already queued, the larger
  // number of sends to each zone applies, and it keeps its position unless
  // aUrgency is higher.
  void Put(DeltaKey aKey,
           DeltaUrgency aUrgency,
           std::uint32_t aLocalSends,
           const std::vector<ZoneId>& aZones,
           std::uint32_t aZoneSends);

  void Remove(const DeltaKey& aKey);

  // Calls aTryAdd for each delta pending for aZone, in order, until it returns
  // false because the message is full. Each delta for which it returns true
  // counts as sent once. An empty aZone stands for the own zone.
  template<std::predicate<const DeltaKey&> TryAdd>
  void Send(const ZoneId& aZone, TryAdd aTryAdd);

  // Whether a delta of urgency Change is pending for aZone. An empty aZone
  // stands for the own zone.
  bool HasPendingChange(const ZoneId& aZone) const;

  std::size_t Size() const { return m_positions.size(); }

private:
  struct Position
  {
    DeltaUrgency m_urgency = DeltaUrgency::Change;
    std::uint64_t m_sequence = 0;

    auto operator<=>(const Position&) const = default;
  };
  struct Delta
  {
    DeltaKey m_key;
    std::map<ZoneId, std::uint32_t> m_sendsLeft; // empty id: own zone
  };

  std::map<Position, Delta> m_deltas;
  std::map<DeltaKey, Position> m_positions;
  std::uint64_t m_nextSequence = 0;
};

template<std::predicate<const DeltaKey&> TryAdd>
void
DeltaQueue::Send(const ZoneId& aZone, TryAdd aTryAdd)
{
  for (auto delta = m_deltas.begin(); delta != m_deltas.end();) {
    auto& sends = delta->second.m_sendsLeft;
    const auto left = sends.find(aZone);
    if (left == sends.end()) {
      ++delta;
      continue;
    }
    if (!aTryAdd(delta->second.m_key)) {
      return;
    }
    if (--left->second == 0) {
      sends.erase(left);
    }
    if (!sends.empty()) {
      ++delta;
      continue;
    }
    m_positions.erase(delta->second.m_key);
    delta = m_deltas.erase(delta);
  }
}

} // namespace walnutwing

#endif // WALNUTWING_MEMBERSHIP_DELTA_QUEUE_H_
