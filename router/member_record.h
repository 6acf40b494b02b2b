#ifndef WALNUTWING_ROUTER_MEMBER_RECORD_H_
#define WALNUTWING_ROUTER_MEMBER_RECORD_H_

// How a daemon announces itself in the daemons' own topic of the platform's
// store: a JSON object under the daemon's name.

#include <optional>
#include <string>
#include <string_view>

#include "walnutwing/routing/fleet_roster.h"

namespace walnutwing::router {

std::string
EncodeMember(const RosterMember& aMember);

// Nothing when the record cannot be read.
std::optional<RosterMember>
DecodeMember(const DaemonId& aName, std::string_view aJson);

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_MEMBER_RECORD_H_
