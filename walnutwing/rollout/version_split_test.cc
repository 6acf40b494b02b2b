#include "walnutwing/rollout/version_split.h"

#include <set>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

// Requests without a part of a prompt, or with one that all have, get the share
// in any traffic: no route may be left out because it is every second request.
TEST(VersionSplit, TakesTheShareOfRequestsAlike)
{
  for (const std::uint64_t affinity : { 0U, 77U }) {
    for (const double share : { 0.05, 0.2, 0.7 }) {
      VersionSplit split(0);
      int even = 0;
      int odd = 0;
      for (int i = 0; i < 2000; ++i) {
        (i % 2 == 0 ? even : odd) += split.Takes(affinity, share) ? 1 : 0;
      }
      EXPECT_NEAR(even, 1000 * share, 15);
      EXPECT_NEAR(odd, 1000 * share, 15);
    }
  }
}

// A chat must not lose its cache with each of its requests, nor when the share
// grows, nor at another router.
TEST(VersionSplit, KeepsPartsOfFewRequestsTogether)
{
  VersionSplit split(0);
  VersionSplit other(0);
  std::set<std::uint64_t> taken;
  for (const double share : { 0.1, 0.3 }) {
    for (std::uint64_t part = 1; part <= 1000; ++part) {
      const bool takes = split.Takes(part * 0x9e3779b97f4a7c15U, share);
      EXPECT_TRUE(takes || !taken.contains(part));
      EXPECT_EQ(other.Takes(part * 0x9e3779b97f4a7c15U, share), takes);
      if (takes) {
        taken.insert(part);
      }
    }
    EXPECT_NEAR(static_cast<double>(taken.size()), 1000 * share, 40);
  }
}

} // namespace
} // namespace walnutwing
