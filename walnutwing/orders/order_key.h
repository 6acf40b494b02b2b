#ifndef WALNUTWING_ORDERS_ORDER_KEY_H_
#define WALNUTWING_ORDERS_ORDER_KEY_H_

// Order keys. A caller names each order "YYYYMMDDThhmmssZ-ID": the UTC time at
// which it created the key, a hyphen, then 1 to 64 characters of
// [A-Za-z0-9_-]. Repeats of the order carry the same key.
//
// The issue time lets a daemon that has no record of a key tell an expired key
// from a new one. The log drops records after its retention time; without the
// issue time, a repeat after that would look like a new order and run again.

#include <optional>
#include <string_view>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"
#include "walnutwing/base/result_code.h"

namespace walnutwing {

struct OrderKeyLimits
{
  // How long after its issue time a key may be used. The log must keep records
  // for at least m_lifetime + m_maxSkew + the longest deadline of an order.
  Duration m_lifetime = std::chrono::hours(24);
  // Largest difference between the clocks of a caller, a daemon and the log.
  Duration m_maxSkew = std::chrono::minutes(2);
};

// Returns the issue time in the key, or nullopt if the key is malformed.
std::optional<WallTime>
IssueTimeOf(const OrderKey& aKey);

// Returns Ok if the key may be used at aNow; OrderKeyMalformed if it cannot be
// parsed or its issue time is more than m_maxSkew after aNow; OrderKeyExpired
// if it is older than m_lifetime.
ResultCode
CheckOrderKey(const OrderKey& aKey,
              WallTime aNow,
              const OrderKeyLimits& aLimits);

// Returns the key for an issue time, truncated to whole seconds, and an id.
// Throws std::invalid_argument unless aId has 1 to 64 characters of
// [A-Za-z0-9_-].
OrderKey
MakeOrderKey(WallTime aIssued, std::string_view aId);

} // namespace walnutwing

#endif // WALNUTWING_ORDERS_ORDER_KEY_H_
