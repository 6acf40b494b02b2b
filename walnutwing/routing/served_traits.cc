#include "walnutwing/routing/served_traits.h"

#include <algorithm>
#include <utility>

#include "walnutwing/routing/request_fingerprint.h"

namespace walnutwing {

ServedTraits::Memory&
ServedTraits::MemoryOf(const TraitId& aTrait)
{
  return IsFingerprint(aTrait) ? m_requests : m_parts;
}

void
ServedTraits::OnServed(const TraitId& aTrait, Time aTime)
{
  const Time last = std::max(LastServed(aTrait).value_or(aTime), aTime);
  Memory& memory = MemoryOf(aTrait);
  if (memory.m_newer.size() >= m_generationSize &&
      !memory.m_newer.contains(aTrait)) {
    memory.m_older = std::exchange(memory.m_newer, {});
  }
  memory.m_newer[aTrait] = last;
}

std::optional<Time>
ServedTraits::LastServed(const TraitId& aTrait) const
{
  const Memory& memory = IsFingerprint(aTrait) ? m_requests : m_parts;
  for (const Generation* generation : { &memory.m_newer, &memory.m_older }) {
    const auto found = generation->find(aTrait);
    if (found != generation->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

} // namespace walnutwing
