#ifndef WALNUTWING_BASE_CLOCK_H_
#define WALNUTWING_BASE_CLOCK_H_

// Clocks and time types. The core libraries never read a clock: the current
// time is a parameter of every event, so that tests are deterministic. Daemons
// use SteadyClock; tests use PausedClock and advance it.

#include <chrono>
#include <concepts>

namespace walnutwing {

using Duration = std::chrono::milliseconds;

// Monotonic time within one process. Never sent to another process: messages to
// peers and log records carry durations or wall time instead.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Wall-clock time, for values that are compared across processes (order keys,
// logs, traces).
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

// Reads the machine's monotonic and wall clocks.
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

// A clock for tests. Its time changes only in Advance.
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
