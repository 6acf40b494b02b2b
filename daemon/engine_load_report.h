#ifndef WALNUTWING_DAEMON_ENGINE_LOAD_REPORT_H_
#define WALNUTWING_DAEMON_ENGINE_LOAD_REPORT_H_

// Decodes the load report of an engine: the JSON object that docs/UPSTREAMS.md
// describes.

#include <optional>
#include <string_view>

#include "walnutwing/base/clock.h"
#include "walnutwing/placement/upstream_owner.h"

namespace walnutwing {

// Missing members count as 0 or false. Returns nothing if aJson is no object or
// a member has another type than it should. aNow and aWallNow are the same
// moment by this daemon's clocks.
std::optional<EngineLoad>
DecodeEngineLoad(std::string_view aJson, WallTime aWallNow, Time aNow);

} // namespace walnutwing

#endif // WALNUTWING_DAEMON_ENGINE_LOAD_REPORT_H_
