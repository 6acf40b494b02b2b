#ifndef WALNUTWING_NET_EVENT_LOOP_H_
#define WALNUTWING_NET_EVENT_LOOP_H_

// The event loop of a process: h2o's event loop with timers on the monotonic
// clock. All callbacks run on the one thread that runs the loop.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "walnutwing/base/clock.h"

struct st_h2o_evloop_t;

namespace walnutwing::net {

// Watches a descriptor until it is destroyed. Must not outlive its loop, nor be
// destroyed from within its own callback.
class ReadableWatch
{
public:
  virtual ~ReadableWatch() = default;
};

// Identifies a timer; zero identifies none.
using TimerId = std::uint64_t;

class EventLoop
{
public:
  // Ignores SIGPIPE in the whole process, since h2o writes to sockets whose
  // peer may have closed the connection.
  EventLoop();
  ~EventLoop() = default;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  Time Now() const { return m_clock.Now(); }
  WallTime WallNow() const { return m_clock.WallNow(); }

  // Runs aCallback once, after at least aDelay.
  TimerId After(Duration aDelay, std::function<void()> aCallback);

  // Runs aCallback every aPeriod until cancelled. Periods that elapse while the
  // process is suspended or busy are skipped.
  TimerId Every(Duration aPeriod, std::function<void()> aCallback);

  // Cancels a timer. Does nothing if it has fired or does not exist.
  void Cancel(TimerId aTimer);

  // Calls aOnReadable whenever the descriptor becomes readable, without reading
  // from it, until the returned watch is destroyed. The caller keeps ownership
  // of the descriptor. Throws std::system_error if the descriptor cannot be
  // duplicated.
  std::unique_ptr<ReadableWatch> WatchReadable(
    int aDescriptor,
    std::function<void()> aOnReadable);

  // Runs aCallback after each iteration from now on, before the loop waits
  // again. It must be cheap and live as long as the loop.
  void AfterEachIteration(std::function<void()> aCallback)
  {
    m_afterIteration.push_back(std::move(aCallback));
  }

  // Runs the loop until Stop is called.
  void Run();
  void Stop() { m_stopping = true; }

  // One iteration: fires due timers, then waits up to aMaxWait for events.
  void RunOnce(Duration aMaxWait);

  // The underlying h2o loop, for the other files in this directory.
  st_h2o_evloop_t* Raw() { return m_loop; }

private:
  struct Timer
  {
    Time m_due;
    Duration m_period; // zero for a timer that fires once
    std::function<void()> m_callback;
  };
  TimerId AddTimer(Time aDue,
                   Duration aPeriod,
                   std::function<void()> aCallback);
  // Returns whether any timer fired.
  bool FireDueTimers();

  SteadyClock m_clock;
  st_h2o_evloop_t* m_loop;
  bool m_stopping = false;
  TimerId m_lastTimer = 0;
  std::map<TimerId, Timer> m_timers;
  std::multimap<Time, TimerId> m_schedule;
  std::vector<std::function<void()>> m_afterIteration;
};

} // namespace walnutwing::net

#endif // WALNUTWING_NET_EVENT_LOOP_H_
