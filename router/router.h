#ifndef WALNUTWING_ROUTER_ROUTER_H_
#define WALNUTWING_ROUTER_ROUTER_H_

// The process `walnutwing router`: a daemon of a router fleet on the users'
// platform (docs/PLATFORM.md).

#include <string>

namespace walnutwing::router {

// Runs a router until a planned stop has ended, and returns the exit status. If
// aSettingsFile is empty, the path is taken from the environment variable
// WALNUTWING_CONFIG. Errors in the settings, and an address that cannot be
// bound, are reported on standard error.
int
RunRouter(std::string aSettingsFile);

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_ROUTER_H_
