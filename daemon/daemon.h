#ifndef WALNUTWING_DAEMON_DAEMON_H_
#define WALNUTWING_DAEMON_DAEMON_H_

// The router process: `walnutwing daemon --config FILE`.

#include <string>

namespace walnutwing {

// Runs until SIGTERM or SIGINT. The first signal starts a graceful stop: the
// daemon reports not ready, other daemons take over its upstreams, and requests
// in progress may complete. A second signal, or the stop limit of the settings,
// terminates the remaining requests. Returns the exit status: 0 after a
// graceful stop, 1 if requests were terminated, components kept failing or an
// address could not be bound, 2 for invalid settings.
int
RunDaemon(const std::string& aSettingsFile);

} // namespace walnutwing

#endif // WALNUTWING_DAEMON_DAEMON_H_
