// Exponential decay is worked out when it is asked for, not by a timer.

#include "walnutwing/membership/flap_damper.h"

#include <cmath>

namespace walnutwing {

void
FlapDamper::Decay(const FlapDamperOptions& aOptions, Time aNow)
{
  if (m_points > 0) {
    const double halfLives = static_cast<double>((aNow - m_decayed).count()) /
                             static_cast<double>(aOptions.m_halfLife.count());
    m_points *= std::exp2(-halfLives);
  }
  m_decayed = aNow;
}

void
FlapDamper::OnLoss(const FlapDamperOptions& aOptions, Time aNow)
{
  Decay(aOptions, aNow);
  m_points += 1;
  m_damped = m_damped || m_points > aOptions.m_limit;
}

bool
FlapDamper::IsDamped(const FlapDamperOptions& aOptions, Time aNow)
{
  if (!m_damped) {
    return false;
  }
  Decay(aOptions, aNow);
  m_damped = m_points > aOptions.m_release;
  return m_damped;
}

} // namespace walnutwing
