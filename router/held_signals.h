#ifndef WALNUTWING_ROUTER_HELD_SIGNALS_H_
#define WALNUTWING_ROUTER_HELD_SIGNALS_H_

// The signals by which operators control a process: SIGTERM, SIGINT and SIGHUP.
// Until a process handles them, each would end it. So they are held back from
// the first line of main on, and delivered once their handlers are in place.

#include <csignal>

#include "walnutwing/base/clock.h"

namespace walnutwing::router {

// SIGTERM, SIGINT and SIGHUP.
sigset_t
ControlSignals();

// Signals that arrive from now on wait for ReleaseSignals. To be called before
// the process has other threads, which inherit this.
void
HoldSignals();

// Delivers what has waited, and whatever arrives from now on.
void
ReleaseSignals();

// Waits for aTime, or until a signal to stop is held back. Returns whether one
// is; it is consumed.
bool
WaitForHeldStop(Duration aTime);

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_HELD_SIGNALS_H_
