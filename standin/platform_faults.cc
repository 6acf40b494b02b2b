// Faults are kept in the order in which they were set and are looked up by
// kind, so that several kinds can be active together: a slow platform can also
// lose answers.

#include "standin/platform_faults.h"

#include <array>

#include "standin/enum_names.h"

namespace walnutwing::standin {

namespace {

constexpr std::array<EnumName<PlatformFault>, 5> kFaultNames{ {
  { PlatformFault::Down, "down" },
  { PlatformFault::Slow, "slow" },
  { PlatformFault::LoseAnswers, "lose_answers" },
  { PlatformFault::Late, "late" },
  { PlatformFault::Stale, "stale" },
} };

bool
ScopeMatches(const std::string& aScope, std::string_view aName)
{
  return aScope.empty() || aScope == aName;
}

} // namespace

std::optional<PlatformFault>
ParsePlatformFault(std::string_view aName)
{
  return ValueIn<PlatformFault>(kFaultNames, aName);
}

std::optional<ActiveFault>
PlatformFaults::TakeFault(PlatformFault aKind,
                          std::string_view aStream,
                          std::string_view aZone,
                          Time aNow)
{
  std::erase_if(m_faults, [&](const ActiveFault& aFault) {
    return aFault.m_until && *aFault.m_until <= aNow;
  });
  for (auto fault = m_faults.begin(); fault != m_faults.end(); ++fault) {
    if (fault->m_kind != aKind || !ScopeMatches(fault->m_stream, aStream) ||
        !ScopeMatches(fault->m_zone, aZone)) {
      continue;
    }
    ActiveFault hit = *fault;
    if (fault->m_remainingCalls != 0 && --fault->m_remainingCalls == 0) {
      m_faults.erase(fault);
    }
    return hit;
  }
  return std::nullopt;
}

} // namespace walnutwing::standin
