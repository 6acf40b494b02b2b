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
  // The same at least, after the signal was read: what has connected while the
  // process stood still is answered, if only by a refusal.
  static constexpr Duration kBacklogTime = std::chrono::milliseconds(200);
  // Part of the limit that is left for the end of the process.
  static constexpr Duration kReserve = std::chrono::milliseconds(400);
  // How long a connection without a request stays open. A request that crosses
  // its close leaves its caller without an answer.
  static constexpr Duration kIdleTime = std::chrono::milliseconds(200);

  // The daemon was told to stop. aSentAt: when the signal was sent, at the
  // earliest, as the time until the process is killed counts from there.
  // aLimit: that time.
  void Begin(Time aSentAt, Duration aLimit)
  {
    m_begunAt = aSentAt;
    m_timeUntilCut = std::max(aLimit - kReserve, Duration::zero());
  }

  bool IsStopping() const { return m_begunAt.has_value(); }

  // Time since Begin; nothing before it.
  std::optional<Duration> Elapsed(Time aNow) const
  {
    return m_begunAt ? std::optional(aNow - *m_begunAt) : std::nullopt;
  }

  // When the signal has been read: until connections are no longer accepted,
  // and until the requests that are left are cut. Only after Begin.
  Duration TimeUntilAcceptEnd(Time aNow) const
  {
    return std::max(TimeUntil(kAcceptTime, aNow), kBacklogTime);
  }
  Duration TimeUntilCut(Time aNow) const
  {
    return TimeUntil(m_timeUntilCut, aNow);
  }

  // Whether a request that has just been read completely may be sent to an
  // upstream. It ends at aDeadline at the latest, unless it is cut.
  bool MaySend(Time aDeadline, Time aNow) const
  {
    const Duration serveAllTime = std::min(kServeAllTime, m_timeUntilCut / 2);
    return !m_begunAt || aNow - *m_begunAt <= serveAllTime ||
           aDeadline <= *m_begunAt + m_timeUntilCut;
  }

private:
  Duration TimeUntil(Duration aSinceBegin, Time aNow) const
  {
    return std::max(m_begunAt.value() + aSinceBegin - aNow, Duration::zero());
  }

  std::optional<Time> m_begunAt;
  Duration m_timeUntilCut{};
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_PLANNED_STOP_H_
