#ifndef WALNUTWING_ROUTING_PLANNED_STOP_H_
#define WALNUTWING_ROUTING_PLANNED_STOP_H_

// The planned stop of a daemon, from the signal until the process is killed:
// until when it accepts connections, which requests it still sends to an
// upstream, when it closes idle connections, and when it cuts what is left.
// Everything that has to do with a caller asks here, so that a request is sent
// only if the stop leaves it time to end.
//
// Callers still connect for a while, until the platform has noticed that the
// daemon is not ready. Their requests are served: most end long before the
// process does. Later ones are served only if their deadline passes before the
// cut; the others are refused at once, and their callers go to other daemons.

#include <algorithm>
#include <optional>

#include "walnutwing/base/clock.h"

namespace walnutwing {

class PlannedStop
{
public:
  // How long connections are accepted. The platform checks readiness every
  // second and removes the daemon after two failed checks.
  static constexpr Duration kAcceptTime = std::chrono::milliseconds(2600);
  // How long requests are served whatever their deadline: those that were sent
  // on a connection that was accepted last.
  static constexpr Duration kServeAllTime = std::chrono::milliseconds(3000);
  // Part of the limit that is left for the end of the process.
  static constexpr Duration kReserve = std::chrono::milliseconds(400);
  // How long a connection without a request stays open. A request that crosses
  // its close leaves its caller without an answer.
  static constexpr Duration kIdleTime = std::chrono::milliseconds(200);

  // The daemon was told to stop. aLimit: until the process is killed.
  void Begin(Time aNow, Duration aLimit)
  {
    m_begunAt = aNow;
    m_timeUntilCut = std::max(aLimit - kReserve, Duration::zero());
  }

  bool IsStopping() const { return m_begunAt.has_value(); }

  // Time since Begin; nothing before it.
  std::optional<Duration> Elapsed(Time aNow) const
  {
    return m_begunAt ? std::optional(aNow - *m_begunAt) : std::nullopt;
  }

  // From Begin until the requests that are left are cut.
  Duration TimeUntilCut() const { return m_timeUntilCut; }

  // Whether a request that has just been read completely may be sent to an
  // upstream. It ends at aDeadline at the latest, unless it is cut.
  bool MaySend(Time aDeadline, Time aNow) const
  {
    const Duration serveAllTime = std::min(kServeAllTime, m_timeUntilCut / 2);
    return !m_begunAt || aNow - *m_begunAt <= serveAllTime ||
           aDeadline <= *m_begunAt + m_timeUntilCut;
  }

private:
  std::optional<Time> m_begunAt;
  Duration m_timeUntilCut{};
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_PLANNED_STOP_H_
