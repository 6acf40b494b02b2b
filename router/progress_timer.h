#ifndef WALNUTWING_ROUTER_PROGRESS_TIMER_H_
#define WALNUTWING_ROUTER_PROGRESS_TIMER_H_

// Tells when an upstream that works on a request has been silent for too long,
// so that another one may take over.

#include <functional>
#include <memory>

#include "router/limit_timer.h"
#include "walnutwing/base/clock.h"
#include "walnutwing/routing/route_table.h"

namespace walnutwing::router {

class ProgressTimer
{
public:
  explicit ProgressTimer(Loop& aLoop);
  ~ProgressTimer() { Stop(); }
  ProgressTimer(const ProgressTimer&) = delete;
  ProgressTimer& operator=(const ProgressTimer&) = delete;

  // An attempt has started. Calls aOnSilent when the upstream has shown no
  // progress for the time that the route allows, and again and again while it
  // stays silent, until Stop is called.
  void Start(const Route& aRoute, std::function<void()> aOnSilent);

  // The head of the response has arrived: from now on the route's gap between
  // events counts, if it states one.
  void OnHead(const Route& aRoute);

  // A part of the response has arrived that counts as progress.
  void OnProgress() { m_state->m_progressAt = Now(); }

  void Stop();

private:
  // Outlives this object as long as a handler refers to it.
  struct State
  {
    explicit State(Loop& aLoop)
      : m_timer(aLoop)
    {
    }
    LimitTimer m_timer;
    Duration m_timeout{};
    Time m_progressAt;
    std::function<void()> m_onSilent; // empty while it is stopped
  };

  static void Wait(const std::shared_ptr<State>& aState, Duration aTime);

  std::shared_ptr<State> m_state;
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_PROGRESS_TIMER_H_
