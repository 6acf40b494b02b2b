#ifndef WALNUTWING_ROUTING_PLANNED_STOP_H_
#define WALNUTWING_ROUTING_PLANNED_STOP_H_

// The planned stop of a daemon, from the signal until the process ends.

#include <optional>

#include "walnutwing/base/clock.h"

namespace walnutwing {

class PlannedStop
{
public:
  // The daemon was told to stop.
  void Begin(Time aNow) { m_begunAt = aNow; }

  bool IsStopping() const { return m_begunAt.has_value(); }

  // Time since Begin; nothing before it.
  std::optional<Duration> Elapsed(Time aNow) const
  {
    return m_begunAt ? std::optional(aNow - *m_begunAt) : std::nullopt;
  }

private:
  std::optional<Time> m_begunAt;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_PLANNED_STOP_H_
