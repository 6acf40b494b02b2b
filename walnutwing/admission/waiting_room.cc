#include "walnutwing/admission/waiting_room.h"

#include <algorithm>
#include <set>
#include <utility>

namespace walnutwing {
namespace {

constexpr std::size_t kClassesPerPriority = 2;
constexpr std::uint32_t kLastPriority =
  kWaitingClasses / kClassesPerPriority - 1;

std::uint32_t
CountUpTo(const WaitingCounts& aCounts, std::size_t aClass)
{
  std::uint32_t count = 0;
  for (std::size_t i = 0; i <= aClass; ++i) {
    count += aCounts[i];
  }
  return count;
}

// Of requests that are more urgent.
std::uint32_t
CountBefore(const WaitingCounts& aCounts, std::uint32_t aPriority)
{
  const std::size_t first = WaitingClassOf(aPriority, false);
  return first == 0 ? 0 : CountUpTo(aCounts, first - 1);
}

} // namespace

std::size_t
WaitingClassOf(std::uint32_t aPriority, bool aLate)
{
  return kClassesPerPriority * std::min(aPriority, kLastPriority) +
         (aLate ? 1 : 0);
}

double
WaitingRoom::Ahead(std::uint32_t aPriority, const ServiceRoom& aRoom) const
{
  const std::size_t ownClass = WaitingClassOf(aPriority, false);
  return CountUpTo(m_counts, ownClass) + CountUpTo(aRoom.m_waiting, ownClass);
}

double
WaitingRoom::Fill(std::uint32_t aPriority,
                  const ServiceRoom& aRoom,
                  Time aNow) const
{
  bool moreUrgentCome = CountBefore(aRoom.m_waiting, aPriority) > 0;
  const std::size_t first = WaitingClassOf(aPriority, false);
  for (std::size_t i = 0; i < first; ++i) {
    const bool arrived = m_arrivedAt[i] != Time();
    moreUrgentCome =
      moreUrgentCome ||
      (arrived && aNow - m_arrivedAt[i] < m_options.m_reservationTime);
  }
  const double slotTimeMs =
    std::max(1.0, static_cast<double>(aRoom.m_slotTime.count()));
  const double queue =
    std::min(m_options.m_maxQueue,
             static_cast<double>(m_options.m_queueTime.count()) / slotTimeMs);
  return 1 + queue - (moreUrgentCome ? m_options.m_reservedPart : 0);
}

bool
WaitingRoom::MayBegin(std::uint32_t aPriority,
                      const ServiceRoom& aRoom,
                      Time aNow) const
{
  const std::size_t ownClass = WaitingClassOf(aPriority, false);
  if (CountUpTo(m_counts, ownClass) > 0) {
    return false;
  }
  if (aRoom.m_leastLoad + 1 <= aRoom.m_leastSlots) {
    return true;
  }
  const double fill = Fill(aPriority, aRoom, aNow);
  return CountUpTo(aRoom.m_waiting, ownClass) == 0 &&
         aRoom.m_leastLoad < fill * aRoom.m_leastSlots;
}

WaitingVerdict
WaitingRoom::Offer(const WaitingRequest& aRequest,
                   const ServiceRoom& aRoom,
                   Duration aWait,
                   bool aOnTime,
                   Time aNow)
{
  const std::size_t newClass = WaitingClassOf(aRequest.m_priority, !aOnTime);
  m_arrivedAt[WaitingClassOf(aRequest.m_priority, false)] = aNow;
  if (!aRoom.m_known) {
    return WaitingVerdict::Send;
  }
  const auto lateWait = std::chrono::duration_cast<Duration>(
    m_options.m_lateFraction * (aRequest.m_deadline - aNow));
  const bool hopeless =
    (!aOnTime && aWait > lateWait) || aNow + aWait >= aRequest.m_deadline;
  if (!hopeless && MayBegin(aRequest.m_priority, aRoom, aNow)) {
    return WaitingVerdict::Send;
  }
  if (hopeless || !MakeSpace(aRequest, newClass)) {
    return WaitingVerdict::Refuse;
  }
  Entry entry;
  entry.m_request = aRequest;
  entry.m_refuseAt = aNow + lateWait;
  entry.m_class = newClass;
  entry.m_turn = NextTurn(aRequest.m_customer);
  m_requests[aRequest.m_id] = entry;
  m_bytes += aRequest.m_bytes;
  ++m_counts[newClass];
  return WaitingVerdict::Wait;
}

// The next turn of the customer: one after its last, but none that has passed.
std::uint64_t
WaitingRoom::NextTurn(const CustomerId& aCustomer)
{
  if (m_requests.empty()) {
    m_nextTurns.clear();
    m_turn = 0;
  }
  std::uint64_t& next = m_nextTurns[aCustomer];
  next = std::max(next, m_turn);
  return next++;
}

// Whether there is space for the request, for which those of later classes give
// up their places.
bool
WaitingRoom::MakeSpace(const WaitingRequest& aRequest, std::size_t aClass)
{
  const auto hasSpace = [&] {
    return m_requests.size() < m_options.m_maxRequests &&
           m_bytes + aRequest.m_bytes <= m_options.m_maxBytes;
  };
  while (!hasSpace()) {
    const std::vector<const Entry*> entries = InOrder();
    if (entries.empty() || entries.back()->m_class <= aClass) {
      return false;
    }
    const WaitingId last = entries.back()->m_request.m_id;
    Remove(last);
    m_displaced.push_back(last);
  }
  return true;
}

void
WaitingRoom::Remove(WaitingId aId)
{
  const auto found = m_requests.find(aId);
  if (found == m_requests.end()) {
    std::erase(m_displaced, aId);
    return;
  }
  m_bytes -= found->second.m_request.m_bytes;
  --m_counts[found->second.m_class];
  m_requests.erase(found);
}

// A request that has waited until its target cannot be met counts as late.
void
WaitingRoom::UpdateClasses(Time aNow)
{
  for (auto& [id, entry] : m_requests) {
    if (aNow < entry.m_request.m_startBy) {
      continue;
    }
    --m_counts[entry.m_class];
    entry.m_class = WaitingClassOf(entry.m_request.m_priority, true);
    ++m_counts[entry.m_class];
  }
}

// The turns of a customer's requests of one class go to them in the order of
// their targets.
std::vector<const WaitingRoom::Entry*>
WaitingRoom::InOrder() const
{
  std::vector<const Entry*> entries;
  entries.reserve(m_requests.size());
  std::map<std::pair<std::size_t, CustomerId>, std::multiset<std::uint64_t>>
    freeTurns;
  for (const auto& [id, entry] : m_requests) {
    entries.push_back(&entry);
    freeTurns[{ entry.m_class, entry.m_request.m_customer }].insert(
      entry.m_turn);
  }
  const auto byTarget = [](const Entry* aLeft, const Entry* aRight) {
    return aLeft->TargetRank() < aRight->TargetRank();
  };
  std::sort(entries.begin(), entries.end(), byTarget);
  std::map<WaitingId, std::uint64_t> turns;
  for (const Entry* entry : entries) {
    auto& free = freeTurns[{ entry->m_class, entry->m_request.m_customer }];
    turns[entry->m_request.m_id] = *free.begin();
    free.erase(free.begin());
  }
  const auto byTurn = [&](const Entry* aLeft, const Entry* aRight) {
    return std::pair(aLeft->m_class, turns[aLeft->m_request.m_id]) <
           std::pair(aRight->m_class, turns[aRight->m_request.m_id]);
  };
  std::stable_sort(entries.begin(), entries.end(), byTurn);
  return entries;
}

// This daemon's part of the room, in requests.
double
WaitingRoom::Share(const ServiceRoom& aRoom, Time aNow) const
{
  double share = 0;
  double taken = 0; // by the classes before
  for (std::size_t i = 0; i < kWaitingClasses; ++i) {
    const double own = m_counts[i];
    const double all = own + aRoom.m_waiting[i];
    if (all == 0) {
      continue;
    }
    const auto priority = static_cast<std::uint32_t>(i / kClassesPerPriority);
    const double room =
      m_options.m_usedRoom *
        (Fill(priority, aRoom, aNow) * aRoom.m_slots - aRoom.m_load) -
      taken;
    share += std::clamp(room, 0.0, all) * own / all;
    taken += all;
  }
  return share;
}

WaitingRoom::Turns
WaitingRoom::Advance(const ServiceRoom& aRoom,
                     Time aNow,
                     std::mt19937_64& aRandom)
{
  UpdateClasses(aNow);
  const std::uint32_t ended = std::exchange(m_ended, 0);
  if (aRoom.m_countedAt != m_countedAt) {
    m_countedAt = aRoom.m_countedAt;
    std::uniform_real_distribution<double> rounding(0, 1);
    m_turns =
      static_cast<std::uint32_t>(Share(aRoom, aNow) + rounding(aRandom));
  } else {
    const double room = Fill(0, aRoom, aNow) * aRoom.m_slots - aRoom.m_load;
    m_turns = static_cast<std::uint32_t>(
      std::clamp<double>(m_turns + ended, 0, std::max(0.0, room)));
  }
  m_turns = std::min(m_turns, static_cast<std::uint32_t>(m_requests.size()));
  Turns turns;
  turns.m_refuse = std::exchange(m_displaced, {});
  for (const Entry* entry : InOrder()) {
    if (!aRoom.m_known || m_turns > 0) {
      m_turns -= m_turns > 0 ? 1 : 0;
      turns.m_send.push_back(entry->m_request.m_id);
      m_turn = std::max(m_turn, entry->m_turn);
    } else if (aNow >= entry->m_refuseAt) {
      turns.m_refuse.push_back(entry->m_request.m_id);
    }
  }
  for (const auto* ids : { &turns.m_send, &turns.m_refuse }) {
    for (const WaitingId id : *ids) {
      Remove(id);
    }
  }
  return turns;
}

} // namespace walnutwing
