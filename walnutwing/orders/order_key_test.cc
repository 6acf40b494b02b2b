#include "walnutwing/orders/order_key.h"

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

using namespace std::chrono_literals;
using enum ResultCode;

const WallTime kNoon = std::chrono::sys_days(std::chrono::year(2026) / 3 / 14) +
                       std::chrono::hours(12);

TEST(OrderKey, CheckRejectsMalformedFutureAndExpiredKeys)
{
  const OrderKeyLimits limits{ .m_lifetime = 1h, .m_maxSkew = 2min };
  const struct
  {
    std::string m_key;
    ResultCode m_code;
  } cases[] = {
    { "20260314T120000Z-a", Ok },
    { "20260314T120000Z-A_b-9", Ok },
    { "20260314T120200Z-a", Ok },
    { "20260314T120201Z-a", OrderKeyMalformed },
    { "20260314T110000Z-a", Ok },
    { "20260314T105959Z-a", OrderKeyExpired },
    { "20240229T000000Z-a", OrderKeyExpired },
    { "20260314T120000Z-" + std::string(64, 'x'), Ok },
    { "20260314T120000Z-" + std::string(65, 'x'), OrderKeyMalformed },
    { "20260314T120000Z-", OrderKeyMalformed },
    { "20260314T120000Z", OrderKeyMalformed },
    { "", OrderKeyMalformed },
    { "20260314T120000Za", OrderKeyMalformed },
    { "20260314t120000Z-a", OrderKeyMalformed },
    { "20260314T120000z-a", OrderKeyMalformed },
    { "20260314T120000Z-a b", OrderKeyMalformed },
    { "20260314T120000Z-a/b", OrderKeyMalformed },
    { "+2260314T120000Z-a", OrderKeyMalformed },
    { "20250229T120000Z-a", OrderKeyMalformed },
    { "20260014T120000Z-a", OrderKeyMalformed },
    { "20260314T240000Z-a", OrderKeyMalformed },
    { "20260314T126000Z-a", OrderKeyMalformed },
    { "20260314T120060Z-a", OrderKeyMalformed },
    { "20260314T1200 0Z-a", OrderKeyMalformed },
  };
  for (const auto& [key, code] : cases) {
    EXPECT_EQ(code, CheckOrderKey(OrderKey(key), kNoon, limits)) << key;
  }
}

TEST(OrderKey, MadeKeyParsesBackAndInvalidIdThrows)
{
  const OrderKey key = MakeOrderKey(kNoon + 61s, "x");
  EXPECT_EQ(OrderKey("20260314T120101Z-x"), key);
  EXPECT_EQ(kNoon + 61s, IssueTimeOf(key));
  EXPECT_THROW(MakeOrderKey(kNoon, "a b"), std::invalid_argument);
}

} // namespace
} // namespace walnutwing
