#include "walnutwing/routing/served_parts.h"

#include <algorithm>
#include <utility>

namespace walnutwing {

void
ServedParts::OnServed(const PromptPartId& aPart, Time aTime)
{
  const Time last = std::max(LastServed(aPart).value_or(aTime), aTime);
  if (m_newer.size() >= m_generationSize && !m_newer.contains(aPart)) {
    m_older = std::exchange(m_newer, {});
  }
  m_newer[aPart] = last;
}

std::optional<Time>
ServedParts::LastServed(const PromptPartId& aPart) const
{
  for (const Generation* generation : { &m_newer, &m_older }) {
    const auto found = generation->find(aPart);
    if (found != generation->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

} // namespace walnutwing
