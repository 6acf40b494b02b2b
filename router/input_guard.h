#ifndef WALNUTWING_ROUTER_INPUT_GUARD_H_
#define WALNUTWING_ROUTER_INPUT_GUARD_H_

// Keeps a message that this process cannot handle from ending it, with all the
// requests that it holds. Whoever receives bytes from outside handles them in
// RunGuarded and, if that fails, ends the connection or the call that they came
// on. Timers and the loop itself are not guarded: what they would leave undone
// is worth a restart.

#include <exception>
#include <string>
#include <string_view>

#include "router/event_log.h"
#include "walnutwing/base/metrics.h"

namespace walnutwing::router {

// Calls aHandler. If it throws, logs and counts that, and returns false.
// aSource: who sent the input, such as "caller".
template<typename Handler>
bool
RunGuarded(EventLog& aLog,
           Metrics& aMetrics,
           std::string_view aSource,
           Time aNow,
           const Handler& aHandler)
{
  try {
    aHandler();
    return true;
  } catch (const std::exception& error) {
    EventLog::Line(aLog, Event::InputFailed, aNow)
      .Add("source", aSource)
      .Add("error", std::string_view(error.what()));
    ++aMetrics.Counter("inputs_failed_total",
                       "source=\"" + std::string(aSource) + "\"");
    return false;
  }
}

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_INPUT_GUARD_H_
