#ifndef WALNUTWING_MEMBERSHIP_FLAP_DAMPER_H_
#define WALNUTWING_MEMBERSHIP_FLAP_DAMPER_H_

// Route flap damping (RFC 2439) for one member: each loss (death or restart)
// adds 1 to a penalty that decays exponentially. The member is damped once the
// penalty exceeds the suppress threshold, until it has decayed to the reuse
// threshold.

#include "walnutwing/base/clock.h"

namespace walnutwing {

struct FlapDamperOptions
{
  Duration m_halfLife{ 60000 };
  double m_suppressThreshold = 2.5;
  double m_reuseThreshold = 1.0;
};

class FlapDamper
{
public:
  void OnLoss(const FlapDamperOptions& aOptions, Time aNow);

  // Whether the member is damped. The state is updated only by these calls, so
  // call it regularly.
  bool IsDamped(const FlapDamperOptions& aOptions, Time aNow);

private:
  void Decay(const FlapDamperOptions& aOptions, Time aNow);

  double m_penalty = 0;
  Time m_lastDecay{};
  bool m_damped = false;
};

} // namespace walnutwing

#endif // WALNUTWING_MEMBERSHIP_FLAP_DAMPER_H_
