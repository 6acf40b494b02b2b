#ifndef WALNUTWING_ROUTER_ROUTER_H_
#define WALNUTWING_ROUTER_ROUTER_H_

// The process `walnutwing router`: a daemon of a router fleet on the users'
// platform (docs/PLATFORM.md).

#include <string>

namespace walnutwing::router {

// Runs until a planned stop has ended. aSettingsFile "" takes the path from the
// environment variable WALNUTWING_CONFIG. Returns the exit status; what is
// wrong with the settings goes to standard error.
int
RunRouter(std::string aSettingsFile);

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_ROUTER_H_
