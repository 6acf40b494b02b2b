#ifndef WALNUTWING_MEMORY_MEMORY_LEDGER_H_
#define WALNUTWING_MEMORY_MEMORY_LEDGER_H_

// The bytes that a process holds for others, such as callers: what they have
// sent, and what they have not taken. It decides who may go on when they come
// near a limit, and who is given up.
//
// Whoever allocates such bytes keeps a MemoryCharge beside them, which it sets
// to what they cost: capacities rather than sizes. The charge ends with the
// bytes. A charge states what its bytes are for:
//
//   Held       in use by a request that runs
//   Receiving  a request that has not arrived whole, if any: it has never run
//   Sending    an answer that its caller has not taken
//
// Up to the limit less a reserve everybody may go on. Above that, only those
// may who hold little, so that small requests are served while large ones wait.
// If those who wait don't get on, Victim names whom to give up. First come
// requests that have not arrived whole and are not small, then answers that are
// not taken, then the small requests; of each kind the largest and slowest,
// which is the one with the most byte-seconds.

#include <cstdint>
#include <list>
#include <optional>

#include "walnutwing/base/clock.h"

namespace walnutwing {

// A caller that has taken nothing of its answer for less is only slow.
inline constexpr Duration kMinUnreadTime = std::chrono::milliseconds(1000);

enum class MemoryUse
{
  Held,
  Receiving,
  Sending,
};

struct MemoryLimits
{
  std::uint64_t m_limitBytes = 0;
  std::uint64_t m_reserveBytes = 0; // of the limit, for small requests
  std::uint64_t m_smallBytes = 0;   // a request that holds less is small
};

// The limits of a process on a machine with that much memory.
MemoryLimits
MemoryLimitsFor(std::uint64_t aMachineBytes);

class MemoryLedger
{
public:
  // Who has the bytes, such as a connection; chosen by the user.
  using OwnerId = std::uint64_t;

  explicit MemoryLedger(MemoryLimits aLimits)
    : m_limits(aLimits)
  {
  }
  MemoryLedger(const MemoryLedger&) = delete;
  MemoryLedger& operator=(const MemoryLedger&) = delete;

  void SetLimits(MemoryLimits aLimits) { m_limits = aLimits; }

  std::uint64_t HeldBytes() const { return m_heldBytes; }

  // Whether large requests have to wait.
  bool IsShort() const
  {
    return m_heldBytes + m_limits.m_reserveBytes >= m_limits.m_limitBytes;
  }

  // Whether nothing may grow.
  bool IsFull() const { return m_heldBytes >= m_limits.m_limitBytes; }

  // Whether somebody who holds aOwnBytes may hold more.
  bool MayGrow(std::uint64_t aOwnBytes) const
  {
    return !IsShort() || (!IsFull() && aOwnBytes < m_limits.m_smallBytes);
  }

  // Whom to give up now; nobody if all that is held is in use.
  std::optional<OwnerId> Victim(Time aNow) const;

private:
  friend class MemoryCharge;
  struct Entry
  {
    OwnerId m_owner = 0;
    std::uint64_t m_bytes = 0;
    MemoryUse m_use = MemoryUse::Held;
    Time m_since{}; // Receiving, Sending: its beginning, or its last progress
  };
  enum class Rank; // of those to give up
  Rank RankOf(const Entry& aEntry, Time aNow) const;

  MemoryLimits m_limits;
  std::uint64_t m_heldBytes = 0;
  std::list<Entry> m_entries;
};

// The bytes of one owner in a ledger, which must outlive it. They are given
// back when it ends.
class MemoryCharge
{
public:
  MemoryCharge(MemoryLedger& aLedger, MemoryLedger::OwnerId aOwner);
  ~MemoryCharge();
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  std::uint64_t Bytes() const { return m_entry->m_bytes; }
  MemoryUse Use() const { return m_entry->m_use; }

  // What the bytes cost now.
  void Set(std::uint64_t aBytes);

  // aSince: when a request began to arrive, or an answer was last taken from.
  void SetUse(MemoryUse aUse, Time aSince);

private:
  MemoryLedger& m_ledger;
  std::list<MemoryLedger::Entry>::iterator m_entry;
};

} // namespace walnutwing

#endif // WALNUTWING_MEMORY_MEMORY_LEDGER_H_
