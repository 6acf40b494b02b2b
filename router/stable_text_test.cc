#include "router/stable_text.h"

#include <gtest/gtest.h>

namespace walnutwing::router {
namespace {

// Guards against settings that are half of a file: its writer was not done when
// it was read, and the keys that were missing got their defaults.
TEST(StableText, HalfWrittenTextIsNeverInForce)
{
  StableText file("old");
  EXPECT_EQ(TextChange::Unstable, file.OnRead("ne"));
  EXPECT_EQ(TextChange::Unstable, file.OnRead("new"));
  EXPECT_EQ(TextChange::Stable, file.OnRead("new"));
  EXPECT_EQ(TextChange::None, file.OnRead("new"));
}

TEST(StableText, TextInForceIsNoChange)
{
  StableText file("old");
  EXPECT_EQ(TextChange::None, file.OnRead("old"));
  EXPECT_EQ(TextChange::Unstable, file.OnRead("half"));
  EXPECT_EQ(TextChange::None, file.OnRead("old"));
  EXPECT_EQ(TextChange::None, file.OnRead("old"));
}

} // namespace
} // namespace walnutwing::router
