#ifndef WALNUTWING_NET_OWNED_TIMER_H_
#define WALNUTWING_NET_OWNED_TIMER_H_

// A timer that is cancelled when it is destroyed, so that no callback runs on
// an owner that has been destroyed.

#include <functional>
#include <utility>

#include "net/event_loop.h"

namespace walnutwing::net {

class OwnedTimer
{
public:
  explicit OwnedTimer(EventLoop& aLoop)
    : m_loop(aLoop)
  {
  }
  ~OwnedTimer() { Cancel(); }
  OwnedTimer(const OwnedTimer&) = delete;
  OwnedTimer& operator=(const OwnedTimer&) = delete;

  // As in EventLoop. Both cancel the timer that was set before.
  void After(Duration aDelay, std::function<void()> aCallback)
  {
    Cancel();
    m_timer = m_loop.After(aDelay, std::move(aCallback));
  }
  void Every(Duration aPeriod, std::function<void()> aCallback)
  {
    Cancel();
    m_timer = m_loop.Every(aPeriod, std::move(aCallback));
  }
  void Cancel() { m_loop.Cancel(std::exchange(m_timer, 0)); }

private:
  EventLoop& m_loop;
  TimerId m_timer = 0;
};

} // namespace walnutwing::net

#endif // WALNUTWING_NET_OWNED_TIMER_H_
