// The decay is computed on each access instead of by a timer.

#include "walnutwing/membership/flap_damper.h"

#include <cmath>

namespace walnutwing {

void
FlapDamper::Decay(const FlapDamperOptions& aOptions, Time aNow)
{
  if (m_penalty > 0) {
    const double halfLives = static_cast<double>((aNow - m_lastDecay).count()) /
                             static_cast<double>(aOptions.m_halfLife.count());
    m_penalty *= std::exp2(-halfLives);
  }
  m_lastDecay = aNow;
}

void
FlapDamper::OnLoss(const FlapDamperOptions& aOptions, Time aNow)
{
  Decay(aOptions, aNow);
  m_penalty += 1;
  m_damped = m_damped || m_penalty > aOptions.m_suppressThreshold;
}

bool
FlapDamper::IsDamped(const FlapDamperOptions& aOptions, Time aNow)
{
  if (!m_damped) {
    return false;
  }
  Decay(aOptions, aNow);
  m_damped = m_penalty > aOptions.m_reuseThreshold;
  return m_damped;
}

} // namespace walnutwing
