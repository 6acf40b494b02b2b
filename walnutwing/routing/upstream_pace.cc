#include "walnutwing/routing/upstream_pace.h"

#include <algorithm>
#include <cmath>

namespace walnutwing {
namespace {

// Part of a request's work that is expected to be done at the present pace.
constexpr double kPresentPart = 0.5;

} // namespace

void
UpstreamPace::OnStated(double aPace, Time aNow)
{
  m_stated = std::clamp(aPace, 1 / kMaxFactor, kMaxFactor);
  m_statedAt = aNow;
}

bool
UpstreamPace::IsStated(Time aNow) const
{
  return m_statedAt && aNow - *m_statedAt <= kLifetime;
}

double
UpstreamPace::Value(Time aNow) const
{
  if (!IsStated(aNow)) {
    return 1;
  }
  const std::chrono::duration<double> age = aNow - *m_statedAt;
  const std::chrono::duration<double> halfLife = kHalfLife;
  return 1 + (m_stated - 1) * std::exp2(-age / halfLife);
}

double
PacePenalty(double aPace, std::uint32_t aSlots)
{
  return kPresentPart * (aPace - 1) * aSlots;
}

} // namespace walnutwing
