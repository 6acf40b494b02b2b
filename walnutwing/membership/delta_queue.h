#ifndef WALNUTWING_MEMBERSHIP_DELTA_QUEUE_H_
#define WALNUTWING_MEMBERSHIP_DELTA_QUEUE_H_

// What is still to be told to whom. A delta names a subject (a member, an
// upstream, a zone); its content is read when it is sent, so that a subject
// that changes again while it waits is sent once, as it is then.

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

// The first in order goes first; within one, the oldest.
enum class DeltaUrgency
{
  Change, // members, links, upstreams that turn cold or leave
  Load,   // figures that are soon replaced by newer ones
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
  // aZoneSends times to each of aZones. One that waits already keeps its place.
  void Put(DeltaKey aKey,
           DeltaUrgency aUrgency,
           std::uint32_t aLocalSends,
           const std::vector<ZoneId>& aZones,
           std::uint32_t aZoneSends);

  void Remove(const DeltaKey& aKey);

  // Offers what waits for a zone, in order, until aTryAdd returns false for
  // want of room. What it takes has been sent once more. The own zone has an
  // empty id.
  template<std::predicate<const DeltaKey&> TryAdd>
  void Send(const ZoneId& aZone, TryAdd aTryAdd);

  // Whether a change waits for a zone; the own zone has an empty id.
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
    std::map<ZoneId, std::uint32_t> m_sendsLeft; // left, by zone
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
