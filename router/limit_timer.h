#ifndef WALNUTWING_ROUTER_LIMIT_TIMER_H_
#define WALNUTWING_ROUTER_LIMIT_TIMER_H_

// A timer for the time limits of requests. A limit that passes while this
// process does not run must not be judged before what has arrived meanwhile is
// read: the answer may be there. When the process runs again, the loop reads a
// part of what waits in some of the sockets and then runs the timers. Nothing
// tells for sure that it has just stood still: it may run again right before
// the limit. So each limit is judged a little later, and later still while the
// loop is behind.

#include <cstdint>
#include <functional>
#include <memory>

#include "router/asio.h"

namespace walnutwing::router {

class LimitTimer
{
public:
  // From the limit until it is judged. If that wait ends more than kMaxLateness
  // late, the loop is behind, and it begins again, kMaxReadWaits times in all.
  static constexpr Duration kReadTime = std::chrono::milliseconds(30);
  static constexpr Duration kMaxLateness = std::chrono::milliseconds(5);
  static constexpr int kMaxReadWaits = 3;

  explicit LimitTimer(Loop& aLoop);
  ~LimitTimer() { Cancel(); }
  LimitTimer(const LimitTimer&) = delete;
  LimitTimer& operator=(const LimitTimer&) = delete;

  // Calls aOnPassed once when aTime and what is waited after it have passed,
  // unless Start or Cancel is called before. aOnPassed may call both, and may
  // destroy this object.
  void Start(Duration aTime, std::function<void()> aOnPassed);

  void Cancel();

private:
  // Outlives this object as long as a handler refers to it.
  struct State
  {
    explicit State(Loop& aLoop)
      : m_timer(aLoop.get_executor())
    {
    }
    Timer m_timer;
    int m_readWaits = 0;
    // Of the latest Start: a handler of an earlier one may still come.
    std::uint64_t m_generation = 0;
    std::function<void()> m_onPassed; // empty while it is not started
  };

  static void Wait(const std::shared_ptr<State>& aState, Duration aTime);

  std::shared_ptr<State> m_state;
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_LIMIT_TIMER_H_
