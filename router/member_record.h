#ifndef WALNUTWING_ROUTER_MEMBER_RECORD_H_
#define WALNUTWING_ROUTER_MEMBER_RECORD_H_

// Codec of the record with which a daemon announces itself in the members'
// topic of the platform's store: a JSON object whose key is the daemon's name.

#include <optional>
#include <string>
#include <string_view>

#include "walnutwing/routing/fleet_roster.h"

namespace walnutwing::router {

std::string
EncodeMember(const RosterMember& aMember);

// Returns nullopt if aJson is not a valid record.
std::optional<RosterMember>
DecodeMember(const DaemonId& aName, std::string_view aJson);

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_MEMBER_RECORD_H_
