#ifndef WALNUTWING_ORDERS_ORDER_KEY_H_
#define WALNUTWING_ORDERS_ORDER_KEY_H_

// Order keys. A caller names each order "YYYYMMDDThhmmssZ-ID": the UTC time at
// which it made the key, then 1 to 64 characters of [A-Za-z0-9_-]. A repeat of
// the order carries the same key.
//
// The issue time lets a daemon without any record tell an old key from a new
// one. The log forgets records after its retention; without the issue time a
// repeat that comes after that would look like a new order and run again.

#include <optional>
#include <string_view>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"
#include "walnutwing/base/result_code.h"

namespace walnutwing {

struct OrderKeyLimits
{
  // How long after its issue time a key may be used. The log must keep records
  // for m_lifetime + m_maxSkew + the longest deadline of an order.
  Duration m_lifetime = std::chrono::hours(24);
  // How far a caller's, a daemon's and the log's clock may differ.
  Duration m_maxSkew = std::chrono::minutes(2);
};

// The issue time in the key, or nothing if the key is malformed.
std::optional<WallTime>
IssueTimeOf(const OrderKey& aKey);

// Ok if the key may be used at aNow; OrderKeyMalformed if it cannot be read or
// comes from the future by more than the skew; OrderKeyExpired if it is older
// than its lifetime.
ResultCode
CheckOrderKey(const OrderKey& aKey,
              WallTime aNow,
              const OrderKeyLimits& aLimits);

// Makes a key. aId must have 1 to 64 characters of [A-Za-z0-9_-]; throws
// std::invalid_argument otherwise.
OrderKey
MakeOrderKey(WallTime aIssued, std::string_view aId);

} // namespace walnutwing

#endif // WALNUTWING_ORDERS_ORDER_KEY_H_
