#ifndef WALNUTWING_BASE_CLOCK_H_
#define WALNUTWING_BASE_CLOCK_H_

// The runtime's clock. The core never reads it: time is handed in with every
// event. Daemons use SteadyClock; tests use PausedClock and advance it.

#include <chrono>
#include <concepts>

namespace walnutwing {

using Duration = std::chrono::milliseconds;

// Monotonic time within one process. Never sent to another process: peers and
// the log carry durations or wall time instead.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Wall time, for what is compared across processes (order keys, logs, traces).
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

template<typename T>
concept ClockSource = requires(const T& aClock)
{
  {
    aClock.Now()
    } -> std::same_as<Time>;
  {
    aClock.WallNow()
    } -> std::same_as<WallTime>;
};

// The machine's clocks.
class SteadyClock
{
public:
  Time Now() const
  {
    return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
  }
  WallTime WallNow() const
  {
    return std::chrono::time_point_cast<Duration>(
      std::chrono::system_clock::now());
  }
};

// A clock that stands still until it is advanced.
class PausedClock
{
public:
  Time Now() const { return m_now; }
  WallTime WallNow() const { return m_wallNow; }

  void Advance(Duration aDuration)
  {
    m_now += aDuration;
    m_wallNow += aDuration;
  }

private:
  Time m_now{ std::chrono::hours(1) };
  WallTime m_wallNow{ std::chrono::hours(24 * 365 * 56) };
};

static_assert(ClockSource<SteadyClock> && ClockSource<PausedClock>);

} // namespace walnutwing

#endif // WALNUTWING_BASE_CLOCK_H_
