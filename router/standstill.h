#ifndef WALNUTWING_ROUTER_STANDSTILL_H_
#define WALNUTWING_ROUTER_STANDSTILL_H_

// Notices that this process did not run for a while, because its machine or the
// process was suspended or got no processor time. Messages that waited in its
// sockets meanwhile look new when they are read, and the monotonic clock may
// not have counted the time. So what others say of their state counts only from
// a moment after the process has run again, and a signal may have been sent at
// any time since it last ran.

#include <ctime>

#include "walnutwing/base/clock.h"

namespace walnutwing::router {

class Standstill
{
public:
  // A longer time between two ticks is a standstill, if not stated otherwise.
  static constexpr Duration kMaxGap = std::chrono::milliseconds(600);
  // For signals to stop: less than the reserve of a planned stop, and more than
  // the 200 ms between two ticks.
  static constexpr Duration kMaxSignalGap = std::chrono::milliseconds(250);
  // After it, until what has waited is read.
  static constexpr Duration kCatchUpTime = std::chrono::milliseconds(300);

  explicit Standstill(Duration aMaxGap = kMaxGap)
    : m_maxGap(aMaxGap)
  {
  }

  // Must be called several times a second. aNow counts the time in which the
  // machine was suspended.
  void OnTick(Duration aNow)
  {
    if (aNow - m_lastTick > m_maxGap) {
      m_catchUpUntil = aNow + kCatchUpTime;
      m_begunAt = HasTicked() ? m_lastTick : aNow;
    }
    m_lastTick = aNow;
  }

  // Whether what is read now may have waited.
  bool IsCatchingUp(Duration aNow) const
  {
    return aNow - m_lastTick > m_maxGap || aNow < m_catchUpUntil;
  }

  // How long what is read now may have waited, since the first tick at most;
  // zero if the process has run.
  Duration LongestWait(Duration aNow) const
  {
    if (HasTicked() && aNow - m_lastTick > m_maxGap) {
      return aNow - m_lastTick;
    }
    return aNow < m_catchUpUntil ? aNow - m_begunAt : Duration::zero();
  }

private:
  bool HasTicked() const { return m_lastTick != Duration::zero(); }

  Duration m_maxGap;
  Duration m_lastTick{};
  Duration m_begunAt{}; // of the last standstill
  Duration m_catchUpUntil{};
};

// Time since the machine's start, including the time in which it was suspended.
inline Duration
TimeSinceBoot()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::duration_cast<Duration>(
    std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_STANDSTILL_H_
