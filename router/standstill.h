#ifndef WALNUTWING_ROUTER_STANDSTILL_H_
#define WALNUTWING_ROUTER_STANDSTILL_H_

// Notices that this process did not run for a while, because its machine or the
// process was suspended or got no processor time. Messages that waited in its
// sockets meanwhile look new when they are read, and the monotonic clock may
// not have counted the time. So what others say of their state counts only from
// a moment after the process has run again.

#include <ctime>

#include "walnutwing/base/clock.h"

namespace walnutwing::router {

class Standstill
{
public:
  // A longer time between two ticks is a standstill.
  static constexpr Duration kMaxGap = std::chrono::milliseconds(600);
  // After it, until what has waited is read.
  static constexpr Duration kCatchUpTime = std::chrono::milliseconds(300);

  // Must be called several times a second. aNow counts the time in which the
  // machine was suspended.
  void OnTick(Duration aNow)
  {
    if (aNow - m_lastTick > kMaxGap) {
      m_catchUpUntil = aNow + kCatchUpTime;
    }
    m_lastTick = aNow;
  }

  // Whether what is read now may have waited.
  bool IsCatchingUp(Duration aNow) const
  {
    return aNow - m_lastTick > kMaxGap || aNow < m_catchUpUntil;
  }

private:
  Duration m_lastTick{};
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
