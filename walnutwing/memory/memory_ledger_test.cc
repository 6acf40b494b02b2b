#include "walnutwing/memory/memory_ledger.h"

#include <memory>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

using std::chrono::seconds;

constexpr MemoryLimits kLimits{ 1000, 200, 50 };

// Guards against bytes that are counted for ever after their owner has ended.
TEST(MemoryLedger, GivesBackWithTheCharge)
{
  MemoryLedger ledger(kLimits);
  {
    MemoryCharge first(ledger, 1);
    MemoryCharge second(ledger, 2);
    first.Set(100);
    second.Set(30);
    first.Set(20);
    EXPECT_EQ(50U, ledger.HeldBytes());
  }
  EXPECT_EQ(0U, ledger.HeldBytes());
  EXPECT_FALSE(ledger.Victim(Time()));
}

// Guards against large bodies that leave nothing for small requests, and
// against small ones that exceed the limit together.
TEST(MemoryLedger, KeepsAReserveForSmallRequests)
{
  MemoryLedger ledger(kLimits);
  MemoryCharge others(ledger, 3);
  others.Set(799);
  EXPECT_TRUE(ledger.MayGrow(500));
  others.Set(800);
  EXPECT_FALSE(ledger.MayGrow(500));
  EXPECT_TRUE(ledger.MayGrow(49));
  others.Set(1000);
  EXPECT_FALSE(ledger.MayGrow(0));
}

// Guards against a refusal that hits small or new requests while others hold
// much for long, or one that has run.
TEST(MemoryLedger, GivesUpTheLargestUnfinishedSlowestFirst)
{
  PausedClock clock;
  MemoryLedger ledger(kLimits);
  MemoryCharge running(ledger, 4);
  running.Set(900);
  auto unread = std::make_unique<MemoryCharge>(ledger, 5);
  unread->Set(500);
  unread->SetUse(MemoryUse::Sending, clock.Now());
  auto oldest = std::make_unique<MemoryCharge>(ledger, 6);
  oldest->Set(10);
  oldest->SetUse(MemoryUse::Receiving, clock.Now());
  clock.Advance(seconds(1));
  auto slowest = std::make_unique<MemoryCharge>(ledger, 7);
  slowest->Set(100);
  slowest->SetUse(MemoryUse::Receiving, clock.Now());
  clock.Advance(seconds(2));
  auto newest = std::make_unique<MemoryCharge>(ledger, 8);
  newest->Set(110);
  newest->SetUse(MemoryUse::Receiving, clock.Now());
  clock.Advance(seconds(1));
  EXPECT_EQ(7U, ledger.Victim(clock.Now()));
  slowest.reset();
  EXPECT_EQ(8U, ledger.Victim(clock.Now()));
  newest.reset();
  EXPECT_EQ(5U, ledger.Victim(clock.Now()));
  unread.reset();
  EXPECT_EQ(6U, ledger.Victim(clock.Now()));
  oldest.reset();
  EXPECT_FALSE(ledger.Victim(clock.Now()));
}

} // namespace
} // namespace walnutwing
