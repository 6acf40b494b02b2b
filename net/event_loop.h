#ifndef WALNUTWING_NET_EVENT_LOOP_H_
#define WALNUTWING_NET_EVENT_LOOP_H_

// The one loop of a process: h2o's event loop with timers on the monotonic
// clock. Everything in a process runs on it, on one thread.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "walnutwing/base/clock.h"

struct st_h2o_evloop_t;

namespace walnutwing::net {

// Watches a descriptor for as long as it lives. Must not outlive its loop, nor
// be destroyed from within its own callback.
class ReadableWatch
{
public:
  virtual ~ReadableWatch() = default;
};

// Names a timer; zero names none.
using TimerId = std::uint64_t;

class EventLoop
{
public:
  // Ignores SIGPIPE for the process: h2o writes to sockets whose peer has gone.
  EventLoop();
  ~EventLoop() = default;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  Time Now() const { return m_clock.Now(); }
  WallTime WallNow() const { return m_clock.WallNow(); }

  // Runs aCallback once, after at least aDelay.
  TimerId After(Duration aDelay, std::function<void()> aCallback);

  // Runs aCallback every aPeriod until cancelled. Turns that were missed while
  // the process was frozen are not made up for.
  TimerId Every(Duration aPeriod, std::function<void()> aCallback);

  // Forgets a timer; harmless when it has fired or never was.
  void Cancel(TimerId aTimer);

  // Calls aOnReadable whenever the descriptor becomes readable, without reading
  // from it, until the returned watch is destroyed. The descriptor stays the
  // caller's. Throws std::system_error when no descriptor is left.
  std::unique_ptr<ReadableWatch> WatchReadable(
    int aDescriptor,
    std::function<void()> aOnReadable);

  // Turns the loop until Stop is called.
  void Run();
  void Stop() { m_stopping = true; }

  // One turn: fires due timers, then waits for events for aMaxWait at most.
  void RunOnce(Duration aMaxWait);

  // h2o's own loop, for the adapters in this directory.
  st_h2o_evloop_t* Raw() { return m_loop; }

private:
  struct Timer
  {
    Time m_due;
    Duration m_period; // zero: fires once
    std::function<void()> m_callback;
  };
  TimerId AddTimer(Time aDue,
                   Duration aPeriod,
                   std::function<void()> aCallback);
  // Whether any timer fired.
  bool FireDueTimers();

  SteadyClock m_clock;
  st_h2o_evloop_t* m_loop;
  bool m_stopping = false;
  TimerId m_lastTimer = 0;
  std::map<TimerId, Timer> m_timers;
  std::multimap<Time, TimerId> m_schedule;
};

} // namespace walnutwing::net

#endif // WALNUTWING_NET_EVENT_LOOP_H_
