#include "walnutwing/memory/memory_ledger.h"

#include <algorithm>
#include <utility>

namespace walnutwing {
namespace {

// The rest of the machine's memory is for the program, what it knows of the
// fleet, the allocator and the system's socket buffers.
constexpr std::uint64_t kLimitFraction = 2;   // a half of the machine's memory
constexpr std::uint64_t kReserveFraction = 4; // a quarter of the limit
constexpr std::uint64_t kSmallBytes = 64U << 10U;

} // namespace

MemoryLimits
MemoryLimitsFor(std::uint64_t aMachineBytes)
{
  const std::uint64_t limit = aMachineBytes / kLimitFraction;
  return { limit, limit / kReserveFraction, kSmallBytes };
}

// Later ones are given up first.
enum class MemoryLedger::Rank
{
  InUse, // never
  SmallRequest,
  Answer,
  LargeRequest,
};

MemoryLedger::Rank
MemoryLedger::RankOf(const Entry& aEntry, Time aNow) const
{
  switch (aEntry.m_use) {
    case MemoryUse::Held:
      return Rank::InUse;
    case MemoryUse::Receiving:
      return aEntry.m_bytes < m_limits.m_smallBytes ? Rank::SmallRequest
                                                    : Rank::LargeRequest;
    case MemoryUse::Sending:
      return aNow - aEntry.m_since < kMinUnreadTime ? Rank::InUse
                                                    : Rank::Answer;
  }
  return Rank::InUse;
}

std::optional<MemoryLedger::OwnerId>
MemoryLedger::Victim(Time aNow) const
{
  std::optional<OwnerId> victim;
  std::pair<Rank, std::uint64_t> first{ Rank::InUse, 0 };
  for (const Entry& entry : m_entries) {
    const Rank rank = RankOf(entry, aNow);
    if (rank == Rank::InUse || entry.m_bytes == 0) {
      continue;
    }
    const Duration age = std::max(aNow - entry.m_since, Duration(1));
    const std::uint64_t byteTime =
      entry.m_bytes * static_cast<std::uint64_t>(age.count());
    if (std::pair(rank, byteTime) > first) {
      first = { rank, byteTime };
      victim = entry.m_owner;
    }
  }
  return victim;
}

MemoryCharge::MemoryCharge(MemoryLedger& aLedger, MemoryLedger::OwnerId aOwner)
  : m_ledger(aLedger)
  , m_entry(aLedger.m_entries.insert(aLedger.m_entries.end(), { aOwner }))
{
}

MemoryCharge::~MemoryCharge()
{
  Set(0);
  m_ledger.m_entries.erase(m_entry);
}

void
MemoryCharge::Set(std::uint64_t aBytes)
{
  // Unsigned, so the difference may also be negative.
  m_ledger.m_heldBytes += aBytes - m_entry->m_bytes;
  m_entry->m_bytes = aBytes;
}

void
MemoryCharge::SetUse(MemoryUse aUse, Time aSince)
{
  m_entry->m_use = aUse;
  m_entry->m_since = aSince;
}

} // namespace walnutwing
