#include "router/held_signals.h"

#include <ctime>

namespace walnutwing::router {

sigset_t
ControlSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

void
HoldSignals()
{
  const sigset_t signals = ControlSignals();
  sigprocmask(SIG_BLOCK, &signals, nullptr);
}

void
ReleaseSignals()
{
  const sigset_t signals = ControlSignals();
  sigprocmask(SIG_UNBLOCK, &signals, nullptr);
}

bool
WaitForHeldStop(Duration aTime)
{
  sigset_t signals = ControlSignals();
  sigdelset(&signals, SIGHUP);
  const auto seconds = std::chrono::floor<std::chrono::seconds>(aTime);
  const std::chrono::nanoseconds rest = aTime - seconds;
  const timespec time{ static_cast<time_t>(seconds.count()),
                       static_cast<long>(rest.count()) };
  return sigtimedwait(&signals, nullptr, &time) > 0;
}

} // namespace walnutwing::router
