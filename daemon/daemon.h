#ifndef WALNUTWING_DAEMON_DAEMON_H_
#define WALNUTWING_DAEMON_DAEMON_H_

// The router process: `walnutwing daemon --config FILE`.

#include <string>

namespace walnutwing {

// Runs until SIGTERM or SIGINT. The first stops gracefully: readiness goes off,
// other daemons take over what this one owned, requests in progress end by
// themselves. A second signal, or the limit in the settings, cuts those that
// are left. Returns the exit status: 0, 1 when requests were cut or the process
// could not go on, 2 for settings that cannot be used.
int
RunDaemon(const std::string& aSettingsFile);

} // namespace walnutwing

#endif // WALNUTWING_DAEMON_DAEMON_H_
